/* The pools of the cloud that machines are launched from, and the launch request of each.
 *
 * A pool is a machine type in a zone, spot or ordinary. It has at most one request at a time. A request that got no
 * answer may have been carried out: it is repeated under the same booking, by which the cloud recognises it, until it
 * is answered. The scale-out makes requests (scale_out.h), the cloud calls send them (cloud_calls.h). */
#pragma once
#include <glib.h>

/* The launch request of a pool:
 *
 *     NONE ----> PENDING <----> IN_FLIGHT ----> NONE       back to PENDING if it got no answer */
typedef enum {
  FT_LAUNCH_REQUEST_NONE,
  FT_LAUNCH_REQUEST_PENDING, /* to be sent, for the first time or again, from `send_at` on */
  FT_LAUNCH_REQUEST_IN_FLIGHT,
} FtLaunchRequest;

typedef struct {
  const char *type, *zone; /* interned */
  gboolean spot;
  gint64 refused_until; /* the cloud has refused a launch: no launch request before that time */

  FtLaunchRequest request; /* changed by the functions of this module only */
  char *booking;           /* identifies the request; NULL if there is none */
  guint asked;             /* machines that the request is for */
  gint64 send_at;          /* while pending: earliest time at which it is sent, in microseconds */
} FtCloudPool;

typedef struct {
  GHashTable *pools; /* "type/zone/kind" -> FtCloudPool, owned */
  guint64 next_booking;
} FtCloudPools;

/* No pools and no requests. */
void ft_cloud_pools_init (FtCloudPools *pools);

/* Frees the pools. */
void ft_cloud_pools_clear (FtCloudPools *pools);

/* The pool, made at its first mention; borrowed, lives as long as `pools`. */
FtCloudPool *ft_cloud_pools_get (FtCloudPools *pools, const char *type, const char *zone, gboolean spot);

/* The machines that the pool's request may still bring; 0 if it has none. */
guint ft_cloud_pool_requested (const FtCloudPool *pool);

/* Makes a request for `count` machines; the pool must have none. `token`: our fencing token. */
void ft_cloud_pools_request (FtCloudPools *pools, FtCloudPool *pool, guint count, guint64 token, gint64 now);

/* The pool's request, which was pending, is being sent. */
void ft_cloud_pool_request_sent (FtCloudPool *pool);

/* The request got no answer: it may have been carried out, and is sent again from `send_at` on. */
void ft_cloud_pool_request_unanswered (FtCloudPool *pool, gint64 send_at);

/* The pool's request has been answered: it has none any more. */
void ft_cloud_pool_request_answered (FtCloudPool *pool);

/* The cloud has refused all or part of the request: the pool gets no launch request for FT_LAUNCH_REFUSED_PAUSE_S. */
void ft_cloud_pool_refused (FtCloudPool *pool, gint64 now);
