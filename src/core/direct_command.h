/* A direct request to one machine: the type alone. Made by the core (direct_commands.h, probes.h), sent by the network
 * layer, which returns it with the result. A probe is one without commands: it only asks for the worker's status. */
#pragma once
#include <glib.h>

typedef struct {
  char *machine, *addr;
  guint64 incarnation; /* the worker refuses the request under another one */
  GArray *commands;    /* FtCommand; empty: a probe */
} FtDirectRequest;

/* Frees the request; NULL is allowed. */
void ft_direct_request_free (FtDirectRequest *direct);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtDirectRequest, ft_direct_request_free)

typedef enum {
  FT_DIRECT_OK,
  FT_DIRECT_CONFLICT,   /* all commands refused, for its incarnation or its token */
  FT_DIRECT_UNANSWERED, /* perhaps carried out, or still to be */
} FtDirectResult;
