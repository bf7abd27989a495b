/* The pools from which the cloud launches machines, and the launch request of each pool.
 *
 * A pool is a machine type in a zone, spot or ordinary. It has at most one launch request at a time. A request that got
 * no answer may have been carried out. It is therefore repeated until it is answered, under the same idempotency key,
 * by which the cloud recognizes the repetition. The scale-out creates requests (scale_out.h); cloud_calls.h sends them.
 */
#pragma once
#include <glib.h>

/* The state of a pool's launch request:
 *
 *     NONE ----> PENDING <----> IN_FLIGHT ----> NONE
 *
 * It returns from IN_FLIGHT to PENDING if the request got no answer. */
typedef enum {
  FT_LAUNCH_REQUEST_NONE,      /* the pool has no request */
  FT_LAUNCH_REQUEST_PENDING,   /* the request is to be sent or repeated from `send_at` on */
  FT_LAUNCH_REQUEST_IN_FLIGHT, /* the request has been sent and is not answered */
} FtLaunchRequest;

typedef struct {
  const char *type, *zone; /* interned */
  gboolean spot;
  gint64 refused_until; /* after a refusal: earliest time of the next launch request, in microseconds */

  FtLaunchRequest request; /* changed by the functions of this module only */
  char *idempotency_key;   /* identifies the request to the cloud; NULL: there is no request */
  guint requested;         /* number of machines in the request */
  gint64 send_at;          /* while PENDING: earliest time at which the request is sent, in microseconds */
} FtCloudPool;

typedef struct {
  GHashTable *pools;       /* "TYPE/ZONE/SPOT", SPOT being 0 or 1 -> FtCloudPool, owned */
  guint64 next_key_number; /* number of the next idempotency key of this leadership */
} FtCloudPools;

/* Initializes the set of pools as empty. */
void ft_cloud_pools_init (FtCloudPools *pools);

/* Frees the pools. */
void ft_cloud_pools_clear (FtCloudPools *pools);

/* Returns the pool and creates it if there is none; borrowed, lives as long as `pools`. */
FtCloudPool *ft_cloud_pools_get (FtCloudPools *pools, const char *type, const char *zone, gboolean spot);

/* Returns the number of machines that the pool's request may still launch; 0 if the pool has no request. */
guint ft_cloud_pool_requested (const FtCloudPool *pool);

/* Creates a launch request for `count` machines, to be sent from `now` (microseconds) on. The pool must have no
 * request. `token`: our fencing token. */
void ft_cloud_pools_request (FtCloudPools *pools, FtCloudPool *pool, guint count, guint64 token, gint64 now);

/* Records that the pool's pending request is being sent. */
void ft_cloud_pool_request_sent (FtCloudPool *pool);

/* Records that the request got no answer. It may have been carried out, and is sent again from `send_at` (microseconds)
 * on. */
void ft_cloud_pool_request_unanswered (FtCloudPool *pool, gint64 send_at);

/* Records that the request has been answered: the pool has no request from then on. */
void ft_cloud_pool_request_answered (FtCloudPool *pool);

/* Records that the cloud has refused all or part of the request. The pool gets no launch request for
 * FT_LAUNCH_REFUSED_PAUSE_S after `now` (microseconds). */
void ft_cloud_pool_refused (FtCloudPool *pool, gint64 now);
