/* The pools of the cloud that machines are launched from, and the launch request of each.
 *
 * A pool is a machine type in a zone, spot or ordinary. It has at most one request at a time. A request that got no
 * answer may have been carried out: it is repeated under the same booking, by which the cloud recognises it, until it
 * is answered. The scale-out makes requests (scale_out.h), the cloud calls send them (cloud_calls.h). */
#pragma once
#include <glib.h>

typedef struct {
  const char *type, *zone; /* interned */
  gboolean spot;
  gint64 refused_until; /* the cloud has refused a launch: not asked again before that time */
  guint asked;          /* machines asked for in the request under way */
  char *booking;        /* identifies the request under way or to repeat; NULL: none */
  gboolean in_flight;   /* the request has been sent and is not answered */
  gint64 retry_at;      /* earliest next sending of the request */
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

/* Makes a request for `count` machines; the pool has none under way. `token`: our fencing token. */
void ft_cloud_pools_request (FtCloudPools *pools, FtCloudPool *pool, guint count, guint64 token, gint64 now);

/* The pool's request has been answered: it has none under way. */
void ft_cloud_pool_answered (FtCloudPool *pool);

/* The cloud has refused all or part of the request: the pool is not asked again for a while. */
void ft_cloud_pool_refused (FtCloudPool *pool, gint64 now);
