/* A call to the cloud that the leader has decided on: the type alone. Made by the core (cloud_calls.h), sent by the
 * network layer, which hands it back with the result. */
#pragma once
#include <glib.h>

typedef enum { FT_CLOUD_SCALE_OUT, FT_CLOUD_SCALE_IN } FtCloudOp;

typedef struct {
  FtCloudOp op;
  char *booking, *type, *zone; /* of a launch; the booking makes it idempotent */
  gboolean spot;
  guint count;      /* machines to launch */
  GPtrArray *names; /* of the machines to return, or that were launched */
} FtCloudCall;

/* Frees the call; NULL is allowed. */
void ft_cloud_call_free (FtCloudCall *call);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtCloudCall, ft_cloud_call_free)

typedef enum {
  FT_CLOUD_OK,
  FT_CLOUD_REFUSED,    /* not carried out */
  FT_CLOUD_UNANSWERED, /* no answer: perhaps carried out */
} FtCloudResult;
