#include "core/cloud_pool.h"

#include "core/context.h"

static void
pool_free (FtCloudPool *pool)
{
  g_free (pool->idempotency_key);
  g_free (pool);
}

void
ft_cloud_pools_init (FtCloudPools *pools)
{
  pools->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) pool_free);
  pools->next_key_number = 1;
}

void
ft_cloud_pools_clear (FtCloudPools *pools)
{
  g_clear_pointer (&pools->pools, g_hash_table_unref);
}

FtCloudPool *
ft_cloud_pools_get (FtCloudPools *pools, const char *type, const char *zone, gboolean spot)
{
  g_autofree char *key = g_strdup_printf ("%s/%s/%d", type, zone, spot);
  FtCloudPool *pool = g_hash_table_lookup (pools->pools, key);
  if (pool == NULL) {
    pool = g_new0 (FtCloudPool, 1);
    pool->type = g_intern_string (type);
    pool->zone = g_intern_string (zone);
    pool->spot = spot;
    g_hash_table_insert (pools->pools, g_steal_pointer (&key), pool);
  }
  return pool;
}

static gboolean
transition_allowed (FtLaunchRequest from, FtLaunchRequest to)
{
  switch (to) {
  case FT_LAUNCH_REQUEST_NONE:
    return TRUE;
  case FT_LAUNCH_REQUEST_PENDING:
    return from == FT_LAUNCH_REQUEST_NONE || from == FT_LAUNCH_REQUEST_IN_FLIGHT;
  case FT_LAUNCH_REQUEST_IN_FLIGHT:
    return from == FT_LAUNCH_REQUEST_PENDING;
  }
  return FALSE;
}

/* Changes the state of the pool's request; no other function does. Returns FALSE if a request does not have this
 * transition; the state then stays. */
static gboolean
set_request (FtCloudPool *pool, FtLaunchRequest to)
{
  g_return_val_if_fail (transition_allowed (pool->request, to), FALSE);
  pool->request = to;
  return TRUE;
}

guint
ft_cloud_pool_requested (const FtCloudPool *pool)
{
  return pool->request != FT_LAUNCH_REQUEST_NONE ? pool->requested : 0;
}

void
ft_cloud_pools_request (FtCloudPools *pools, FtCloudPool *pool, guint count, guint64 token, gint64 now)
{
  if (!set_request (pool, FT_LAUNCH_REQUEST_PENDING))
    return;
  pool->requested = count;
  /* The fencing token makes the idempotency key unique across leaderships. */
  pool->idempotency_key
      = g_strdup_printf ("flintrack-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, token, pools->next_key_number++);
  pool->send_at = now;
  g_message ("scale out: launch request %s: %u %s in %s%s", pool->idempotency_key, count, pool->type, pool->zone,
             pool->spot ? " spot" : "");
}

void
ft_cloud_pool_request_sent (FtCloudPool *pool)
{
  set_request (pool, FT_LAUNCH_REQUEST_IN_FLIGHT);
}

void
ft_cloud_pool_request_unanswered (FtCloudPool *pool, gint64 send_at)
{
  if (set_request (pool, FT_LAUNCH_REQUEST_PENDING))
    pool->send_at = send_at;
}

void
ft_cloud_pool_request_answered (FtCloudPool *pool)
{
  set_request (pool, FT_LAUNCH_REQUEST_NONE);
  g_clear_pointer (&pool->idempotency_key, g_free);
}

void
ft_cloud_pool_refused (FtCloudPool *pool, gint64 now)
{
  pool->refused_until = now + ft_seconds (FT_LAUNCH_REFUSED_PAUSE_S);
}
