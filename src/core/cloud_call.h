/* The type of a call to the cloud. The core creates calls (cloud_calls.h); the network layer sends them and returns
 * them with their results. */
#pragma once
#include <glib.h>

typedef enum { FT_CLOUD_SCALE_OUT, FT_CLOUD_SCALE_IN } FtCloudOp;

typedef struct {
  FtCloudOp op;
  char *idempotency_key, *type, *zone; /* set for a launch, NULL for a return; the key makes a launch idempotent */
  gboolean spot;
  guint count;      /* machines to launch */
  GPtrArray *names; /* names of the machines to return, or of the machines that the cloud has launched; owned */
} FtCloudCall;

/* Frees the call; NULL is allowed. */
void ft_cloud_call_free (FtCloudCall *call);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtCloudCall, ft_cloud_call_free)

typedef enum {
  FT_CLOUD_OK,         /* the cloud has carried out the call; a launch may have brought fewer machines than requested */
  FT_CLOUD_REFUSED,    /* the cloud has not carried out the call */
  FT_CLOUD_UNANSWERED, /* the call got no usable answer; the cloud may have carried it out */
} FtCloudResult;
