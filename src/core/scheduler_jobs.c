/* The scheduler's events and queries that concern jobs and the rows of the store. Each function sets the time of the
 * event and passes the event to the module that it concerns. */
#include "core/scheduler_private.h"

/* ---- rows read from the store ---- */

void
ft_scheduler_load_job (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms)
{
  scheduler->context.now = now;
  ft_job_table_add (&scheduler->job_table, spec, revision, FT_TASK_UNKNOWN, wall_ms);
}

void
ft_scheduler_load_done (FtScheduler *scheduler, const char *ref, guint chunk, const char *bits)
{
  /* A chunk without a job is left over from a job whose end was committed before its chunks were deleted. */
  if (!ft_job_table_load_done (&scheduler->job_table, ref, chunk, bits))
    ft_write_queue_delete_chunk (&scheduler->write_queue, ref, chunk);
}

const char *
ft_scheduler_next_unread_job (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.now = now;
  return ft_recovery_is_loaded (&scheduler->recovery) ? ft_job_table_next_unread (&scheduler->job_table) : NULL;
}

void
ft_scheduler_job_end_read (FtScheduler *scheduler, const char *ref, FtJobEnd end, gint64 age_us, gint64 now)
{
  scheduler->context.now = now;
  ft_job_table_end_read (&scheduler->job_table, ref, end, age_us >= 0 ? now - age_us : 0);
}

/* ---- jobs ---- */

void
ft_scheduler_job_added (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms)
{
  scheduler->context.now = now;
  /* Until the recovery is done, a former leader may already have started tasks of the job. */
  FtTaskState initial = ft_recovery_is_done (&scheduler->recovery) ? FT_TASK_QUEUED : FT_TASK_UNKNOWN;
  ft_job_table_add (&scheduler->job_table, spec, revision, initial, wall_ms);
}

void
ft_scheduler_job_cancelled (FtScheduler *scheduler, const char *ref, gint64 age_us, gint64 now)
{
  scheduler->context.now = now;
  ft_job_table_cancellation_read (&scheduler->job_table, ref, now - age_us);
}

void
ft_scheduler_advisory_cancellation (FtScheduler *scheduler, const char *ref, gint64 now)
{
  scheduler->context.now = now;
  ft_job_table_advisory_cancellation (&scheduler->job_table, ref);
}

FtJobProgress
ft_scheduler_job_progress (const FtScheduler *scheduler, const char *ref)
{
  FtJobProgress progress = { 0 };
  const FtJob *job = ft_job_table_find (&scheduler->job_table, ref);
  if (job == NULL)
    return progress;
  progress.open_at_leader = TRUE;
  progress.cancelled = job->state == FT_JOB_CANCELLING;
  progress.done = ft_job_finished_tasks (job);
  progress.running = ft_job_bound_tasks (job) - job->counts[FT_TASK_STARTING];
  return progress;
}

guint
ft_scheduler_open_tasks (const FtScheduler *scheduler)
{
  return scheduler->job_table.open_tasks;
}

/* ---- writes to the store ---- */

GPtrArray *
ft_scheduler_next_writes (FtScheduler *scheduler, guint ops, gboolean spare, gint64 now)
{
  scheduler->context.now = now;
  if (!ft_recovery_is_loaded (&scheduler->recovery))
    return g_ptr_array_new_with_free_func ((GDestroyNotify) ft_write_free);
  return ft_write_queue_next (&scheduler->write_queue, ops, spare);
}

void
ft_scheduler_writes_committed (FtScheduler *scheduler, GPtrArray *writes, gint64 now)
{
  scheduler->context.now = now;
  ft_write_queue_committed (&scheduler->write_queue, writes);
}

void
ft_scheduler_writes_failed (FtScheduler *scheduler, GPtrArray *writes, const char *conflicted, gint64 now)
{
  scheduler->context.now = now;
  ft_write_queue_failed (&scheduler->write_queue, writes, conflicted);
}

void
ft_scheduler_lower_value_limit (FtScheduler *scheduler)
{
  ft_registry_lower_value_limit (&scheduler->registry);
}

void
ft_scheduler_job_still_open (FtScheduler *scheduler, const char *ref, guint64 revision, gint64 now)
{
  scheduler->context.now = now;
  ft_write_queue_job_still_open (&scheduler->write_queue, ref, revision);
}

void
ft_scheduler_job_conflict_resolved (FtScheduler *scheduler, const char *ref, gboolean done, gint64 now)
{
  scheduler->context.now = now;
  ft_write_queue_conflict_resolved (&scheduler->write_queue, ref, done);
}
