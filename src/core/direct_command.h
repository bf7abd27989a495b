/* The type of a direct request to one machine. The core creates requests (direct_commands.h, probes.h); the network
 * layer sends them and returns them with their results. A request without commands is a probe, which only requests the
 * worker's status. */
#pragma once
#include <glib.h>

typedef struct {
  char *machine, *addr;
  guint64 token;       /* the worker refuses the request if it has seen a higher token */
  guint64 incarnation; /* the worker refuses the request if its own incarnation differs */
  GArray *commands;    /* FtCommand, owned; empty: the request is a probe */
} FtDirectRequest;

/* Frees the request; NULL is allowed. */
void ft_direct_request_free (FtDirectRequest *direct);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtDirectRequest, ft_direct_request_free)

typedef enum {
  FT_DIRECT_OK,         /* the worker has accepted the request */
  FT_DIRECT_CONFLICT,   /* the worker has refused all commands, because of the incarnation or the fencing token */
  FT_DIRECT_UNANSWERED, /* no answer: the commands may have been executed, or may still be executed */
} FtDirectResult;
