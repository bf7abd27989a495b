#include "net/job_cache.h"

#include "core/constants.h"
#include "core/recent_map.h"

struct _FtJobCache {
  GHashTable *open;   /* ref -> FtCachedJob; both owned */
  GQueue order;       /* refs in order of insertion; also refs that were removed from `open` since */
  FtRecentMap *ended; /* ref -> end and number of tasks, packed by pack_end() */
};

static void
cached_job_free (FtCachedJob *job)
{
  g_strfreev (job->dependencies);
  g_free (job);
}

FtJobCache *
ft_job_cache_new (void)
{
  FtJobCache *cache = g_new0 (FtJobCache, 1);
  cache->open = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) cached_job_free);
  g_queue_init (&cache->order);
  cache->ended = ft_recent_map_new (FT_JOB_CACHE_ENDED_MAX);
  return cache;
}

void
ft_job_cache_free (FtJobCache *cache)
{
  if (cache == NULL)
    return;
  g_hash_table_unref (cache->open);
  g_queue_clear_full (&cache->order, g_free);
  ft_recent_map_free (cache->ended);
  g_free (cache);
}

static void
evict_oldest (FtJobCache *cache)
{
  g_autofree char *oldest = g_queue_pop_head (&cache->order);
  g_hash_table_remove (cache->open, oldest);
}

FtCachedJob *
ft_job_cache_add_open (FtJobCache *cache, const char *ref, guint64 revision, gboolean has_dependencies)
{
  FtCachedJob *job = ft_job_cache_find (cache, ref);
  if (job == NULL) {
    while (g_queue_get_length (&cache->order) >= FT_JOB_CACHE_OPEN_MAX)
      evict_oldest (cache);
    job = g_new0 (FtCachedJob, 1);
    g_queue_push_tail (&cache->order, g_strdup (ref));
    g_hash_table_insert (cache->open, g_strdup (ref), job);
  }
  job->revision = revision;
  if (!has_dependencies)
    job->dependency_state = FT_DEPENDENCIES_NONE;
  else if (job->dependency_state == FT_DEPENDENCIES_NONE)
    job->dependency_state = FT_DEPENDENCIES_PENDING;
  return job;
}

FtCachedJob *
ft_job_cache_find (const FtJobCache *cache, const char *ref)
{
  return g_hash_table_lookup (cache->open, ref);
}

void
ft_job_cache_remove_open (FtJobCache *cache, const char *ref)
{
  g_hash_table_remove (cache->open, ref);
}

/* Returns a number that holds the end in its lowest bit and the number of tasks in the other bits. */
static guint
pack_end (FtJobEnd end, guint tasks)
{
  return tasks * 2 + (end == FT_JOB_END_DONE);
}

void
ft_job_cache_add_ended (FtJobCache *cache, const char *ref, FtJobEnd end, guint tasks)
{
  ft_recent_map_add (cache->ended, ref, pack_end (end, tasks));
  ft_job_cache_remove_open (cache, ref);
}

gboolean
ft_job_cache_find_end (const FtJobCache *cache, const char *ref, FtJobEnd *end, guint *tasks)
{
  guint packed;
  if (!ft_recent_map_find (cache->ended, ref, &packed))
    return FALSE;
  if (end != NULL)
    *end = packed % 2 ? FT_JOB_END_DONE : FT_JOB_END_CANCELLED;
  if (tasks != NULL)
    *tasks = packed / 2;
  return TRUE;
}
