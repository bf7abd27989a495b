#include "core/cloud_pool.h"

#include "core/context.h"

static void
pool_free (FtCloudPool *pool)
{
  g_free (pool->booking);
  g_free (pool);
}

void
ft_cloud_pools_init (FtCloudPools *pools)
{
  pools->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) pool_free);
  pools->next_booking = 1;
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

void
ft_cloud_pools_request (FtCloudPools *pools, FtCloudPool *pool, guint count, guint64 token, gint64 now)
{
  pool->asked = count;
  /* The token makes the name unique for ever: no other leadership has it. */
  pool->booking = g_strdup_printf ("flintrack-%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, token, pools->next_booking++);
  pool->retry_at = now;
  g_message ("scale out: launch request %s: %u %s in %s%s", pool->booking, count, pool->type, pool->zone,
             pool->spot ? " spot" : "");
}

void
ft_cloud_pool_answered (FtCloudPool *pool)
{
  g_clear_pointer (&pool->booking, g_free);
}

void
ft_cloud_pool_refused (FtCloudPool *pool, gint64 now)
{
  pool->refused_until = now + ft_seconds (FT_REFUSED_PAUSE_S);
}
