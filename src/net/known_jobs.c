#include "net/known_jobs.h"

#include "core/constants.h"
#include "core/recent_map.h"

struct _FtKnownJobs {
  GHashTable *open;   /* ref -> FtKnownJob, owned */
  GQueue order;       /* refs, the oldest first; also those of jobs that were forgotten since */
  FtRecentMap *ended; /* ref -> end and count of tasks, see pack() */
};

static void
known_job_free (FtKnownJob *job)
{
  g_strfreev (job->needs);
  g_free (job);
}

FtKnownJobs *
ft_known_jobs_new (void)
{
  FtKnownJobs *known = g_new0 (FtKnownJobs, 1);
  known->open = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, (GDestroyNotify) known_job_free);
  g_queue_init (&known->order);
  known->ended = ft_recent_map_new (FT_FINAL_CACHE);
  return known;
}

void
ft_known_jobs_free (FtKnownJobs *known)
{
  if (known == NULL)
    return;
  g_hash_table_unref (known->open);
  g_queue_clear_full (&known->order, g_free);
  ft_recent_map_free (known->ended);
  g_free (known);
}

static void
drop_oldest (FtKnownJobs *known)
{
  g_autofree char *oldest = g_queue_pop_head (&known->order);
  g_hash_table_remove (known->open, oldest);
}

FtKnownJob *
ft_known_jobs_open (FtKnownJobs *known, const char *ref, guint64 revision, gboolean has_needs)
{
  FtKnownJob *job = ft_known_jobs_find (known, ref);
  if (job == NULL) {
    while (g_queue_get_length (&known->order) >= FT_KNOWN_OPEN_MAX)
      drop_oldest (known);
    job = g_new0 (FtKnownJob, 1);
    g_queue_push_tail (&known->order, g_strdup (ref));
    g_hash_table_insert (known->open, g_strdup (ref), job);
  }
  job->revision = revision;
  job->has_needs = has_needs;
  return job;
}

FtKnownJob *
ft_known_jobs_find (const FtKnownJobs *known, const char *ref)
{
  return g_hash_table_lookup (known->open, ref);
}

void
ft_known_jobs_forget (FtKnownJobs *known, const char *ref)
{
  g_hash_table_remove (known->open, ref);
}

/* One number holds the count of tasks and, in its last bit, the end. */
static guint
pack (FtJobEnd end, guint tasks)
{
  return tasks * 2 + (end == FT_JOB_END_DONE);
}

void
ft_known_jobs_ended (FtKnownJobs *known, const char *ref, FtJobEnd end, guint tasks)
{
  ft_recent_map_add (known->ended, ref, pack (end, tasks));
  ft_known_jobs_forget (known, ref);
}

gboolean
ft_known_jobs_end (const FtKnownJobs *known, const char *ref, FtJobEnd *end, guint *tasks)
{
  guint packed;
  if (!ft_recent_map_find (known->ended, ref, &packed))
    return FALSE;
  if (end != NULL)
    *end = packed % 2 ? FT_JOB_END_DONE : FT_JOB_END_CANCELLED;
  if (tasks != NULL)
    *tasks = packed / 2;
  return TRUE;
}
