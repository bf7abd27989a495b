/* The jobs that a leader knows to be open: how they come, wait for others, are cancelled and end. */
#include "core/scheduler_private.h"

/* ---- jobs that wait for others ---- */

static void
open_job (FtScheduler *scheduler, FtJob *job)
{
  ft_job_set_state (job, FT_JOB_OPEN);
  job->ready_at
      = MAX (job->accepted_at, ft_dependency_graph_met_at (scheduler->job_table.dependencies, job->spec->ref));
  scheduler->context.placement_due = TRUE;
}

/* What it needs has ended, or those that need it have changed. */
static void
on_dependency_changed (const char *ref, gpointer data)
{
  FtScheduler *scheduler = data;
  FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, ref);
  const FtUrgency *urgency = ft_dependency_graph_urgency (scheduler->job_table.dependencies, ref);
  if (job == NULL || urgency == NULL)
    return;
  job->priority = urgency->priority;
  job->deadline_at = urgency->deadline_at;
  FtWait wait = ft_dependency_graph_wait (scheduler->job_table.dependencies, ref);
  if (wait == FT_WAIT_NONE && job->state == FT_JOB_WAITING)
    open_job (scheduler, job);
  if (wait == FT_WAIT_CANCELLED && !job->dependency_cancelled) {
    job->dependency_cancelled = TRUE;
    ft_job_queue_write (job);
  }
}

/* TRUE if its end is known to be committed. */
static gboolean
known_end (const FtScheduler *scheduler, const char *ref, FtJobEnd *end)
{
  const FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, ref);
  guint value;
  if (job != NULL) {
    *end = FT_JOB_END_CANCELLED;
    return job->state == FT_JOB_CANCELLING && job->cancellation_read;
  }
  if (!ft_recent_map_find (scheduler->job_table.ended_jobs, ref, &value))
    return FALSE;
  *end = (FtJobEnd) value;
  return TRUE;
}

static void
add_dependencies (FtScheduler *scheduler, FtJob *job)
{
  const FtJobSpec *spec = job->spec;
  g_autoptr (GPtrArray) unsettled = g_ptr_array_new ();
  gboolean cancelled = FALSE;
  /* Marks are only raised for jobs whose needs were done: then there is nothing to read. */
  GStrv dependencies = spec->dispatch_watermark > 0 ? NULL : spec->dependencies;
  for (guint i = 0; dependencies != NULL && dependencies[i] != NULL; i++) {
    FtJobEnd end;
    if (!known_end (scheduler, dependencies[i], &end))
      g_ptr_array_add (unsettled, dependencies[i]);
    else
      cancelled |= end == FT_JOB_END_CANCELLED;
  }
  g_ptr_array_add (unsettled, NULL);
  FtUrgency own = { spec->priority, job->deadline_at };
  ft_dependency_graph_add (scheduler->job_table.dependencies, spec->ref, (const char *const *) unsettled->pdata,
                           cancelled, &own);
}

const char *
ft_scheduler_next_unread_job (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.now = now;
  return ft_recovery_is_loaded (&scheduler->recovery) ? ft_dependency_graph_next_unread (
             scheduler->job_table.dependencies, now, ft_seconds (FT_DEPENDENCY_READ_EVERY_S))
                                                      : NULL;
}

void
ft_scheduler_job_end_read (FtScheduler *scheduler, const char *ref, FtJobEnd end, gint64 age_us, gint64 now)
{
  scheduler->context.now = now;
  /* An open job's end comes by its own write, or with its cancellation. */
  if (g_hash_table_contains (scheduler->job_table.jobs, ref))
    return;
  ft_recent_map_add (scheduler->job_table.ended_jobs, ref, end);
  ft_dependency_graph_settle (scheduler->job_table.dependencies, ref, end, age_us >= 0 ? now - age_us : 0);
}

/* ---- life of a job ---- */

void
ft_open_jobs_init (FtScheduler *scheduler)
{
  scheduler->job_table.jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) ft_job_free);
  scheduler->job_table.ended_jobs = ft_recent_map_new (FT_JOB_CACHE_ENDED_MAX);
  scheduler->job_table.dependencies = ft_dependency_graph_new (on_dependency_changed, scheduler);
}

void
ft_open_jobs_clear (FtScheduler *scheduler)
{
  g_hash_table_unref (scheduler->job_table.jobs);
  ft_recent_map_free (scheduler->job_table.ended_jobs);
  ft_dependency_graph_free (scheduler->job_table.dependencies);
}

static FtJob *
add_job (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, FtTaskState initial, gint64 wall_ms)
{
  /* An event of the watch may be older than the job's end: a job ends once. */
  if (g_hash_table_contains (scheduler->job_table.jobs, spec->ref)
      || ft_recent_map_find (scheduler->job_table.ended_jobs, spec->ref, NULL)) {
    ft_job_spec_free (spec);
    return NULL;
  }
  FtJob *job = ft_job_new (spec, ft_quota_team (scheduler, spec->team), revision, initial);
  job->scheduler = scheduler;
  /* Each leader's starts are bounded by marks that it commits first, and the
   * fence lets no former one raise a dispatch watermark: what lies beyond was never sent. */
  for (guint i = spec->dispatch_watermark; initial == FT_TASK_UNKNOWN && i < spec->tasks; i++)
    ft_task_set_state (job, i, FT_TASK_QUEUED);
  gint64 age_us = MAX (0, wall_ms - spec->submitted_wall_ms) * 1000;
  job->accepted_at = job->ready_at = scheduler->context.now - age_us;
  job->deadline_at = spec->deadline_s > 0 ? job->accepted_at + (gint64) (spec->deadline_s * FT_SECOND) : 0;
  scheduler->job_table.open_tasks += spec->tasks;
  scheduler->context.placement_due = TRUE;
  g_hash_table_insert (scheduler->job_table.jobs, spec->ref, job);
  add_dependencies (scheduler, job);
  g_message ("job %s: %s of %s, %u tasks, %.1f s ago, estimate %.1f s, due within %.1f s", spec->ref, spec->job_class,
             spec->team, spec->tasks, (double) age_us / FT_SECOND, spec->estimate_s, spec->deadline_s);
  return job;
}

void
ft_scheduler_load_job (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms)
{
  scheduler->context.now = now;
  add_job (scheduler, spec, revision, FT_TASK_UNKNOWN, wall_ms);
}

void
ft_scheduler_load_done (FtScheduler *scheduler, const char *ref, guint chunk, const char *bits)
{
  FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, ref);
  if (job == NULL) {
    /* Left over from a job that was finished in two transactions. */
    FtWrite *drop = ft_write_new (FT_WRITE_CHUNK_DELETE, ref);
    drop->chunk = chunk;
    g_queue_push_tail (&scheduler->write_queue.chunk_deletions, drop);
    return;
  }
  g_autoptr (GArray) tasks = ft_job_chunk_tasks (job, chunk, bits);
  for (guint i = 0; i < tasks->len; i++)
    ft_task_set_state (job, g_array_index (tasks, guint, i), FT_TASK_DONE);
  g_hash_table_add (job->written, GUINT_TO_POINTER (chunk));
}

void
ft_scheduler_job_added (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms)
{
  scheduler->context.now = now;
  add_job (scheduler, spec, revision, ft_recovery_is_done (&scheduler->recovery) ? FT_TASK_QUEUED : FT_TASK_UNKNOWN,
           wall_ms);
}

/* Nothing of a cancelled job starts any more; what runs is stopped. */
void
ft_job_cancel (FtScheduler *scheduler, FtJob *job, gint64 at)
{
  if (job->state >= FT_JOB_CANCELLING) {
    job->cancelled_at = MIN (job->cancelled_at, at);
    return;
  }
  job->cancelled_at = at;
  ft_job_set_state (job, FT_JOB_CANCELLING);
  for (guint i = 0; i < job->spec->tasks; i++) {
    FtAttempt *a = job->tasks[i].attempt;
    if (job->tasks[i].state == FT_TASK_QUEUED)
      ft_task_set_state (job, i, FT_TASK_CANCELLED);
    if (a == NULL || a->exited)
      continue;
    ft_attempt_want_stop (a, 0);
    /* A start that never left this process needs no stop. */
    if (!a->shown && a->sent_sequence == 0 && !a->direct_in_flight && !a->direct_unanswered)
      ft_attempt_end (scheduler, a);
  }
  scheduler->context.placement_due = TRUE;
}

void
ft_scheduler_job_cancelled (FtScheduler *scheduler, const char *ref, gint64 age_us, gint64 now)
{
  scheduler->context.now = now;
  FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, ref);
  if (job == NULL)
    return;
  ft_job_cancel (scheduler, job, now - age_us);
  job->cancellation_read = TRUE;
  ft_job_queue_write (job);
  ft_dependency_graph_settle (scheduler->job_table.dependencies, ref, FT_JOB_END_CANCELLED, now);
}

void
ft_scheduler_cancellation_advised (FtScheduler *scheduler, const char *ref, gint64 now)
{
  scheduler->context.now = now;
  FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, ref);
  if (job != NULL)
    ft_job_cancel (scheduler, job, now);
}

void
ft_job_end (FtScheduler *scheduler, FtJob *job, FtJobEnd end)
{
  g_autoptr (GList) all = g_hash_table_get_keys (job->attempts);
  ft_job_set_state (job, FT_JOB_ENDED);
  ft_recent_map_add (scheduler->job_table.ended_jobs, job->spec->ref, end);
  for (GList *link = all; link != NULL; link = link->next) {
    FtAttempt *attempt = link->data;
    attempt->job = NULL;
    attempt->bound = FALSE;
    attempt->forget_ok = attempt->exited;
    if (!attempt->exited)
      ft_attempt_want_stop (attempt, 0);
  }
  for (guint i = 0; i < job->spec->tasks && job->counts[FT_TASK_UNKNOWN] > 0; i++)
    if (job->tasks[i].state == FT_TASK_UNKNOWN)
      ft_task_set_state (job, i, FT_TASK_CANCELLED);
  scheduler->job_table.open_tasks -= job->spec->tasks;
  scheduler->context.placement_due = TRUE;
  ft_placement_forget (scheduler, job);
  if (job->write_queued)
    g_queue_remove (&scheduler->write_queue.pending_jobs, job);
  g_autofree char *ref = g_strdup (job->spec->ref);
  g_hash_table_remove (scheduler->job_table.jobs, ref);
  ft_dependency_graph_settle (scheduler->job_table.dependencies, ref, end, scheduler->context.now);
}

FtJobProgress
ft_scheduler_view (const FtScheduler *scheduler, const char *ref)
{
  FtJobProgress view = { 0 };
  const FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, ref);
  if (job == NULL)
    return view;
  view.known = TRUE;
  view.cancelled = job->state == FT_JOB_CANCELLING;
  view.done = ft_job_finished (job);
  view.running = ft_job_live (job) - job->counts[FT_TASK_STARTING];
  return view;
}

guint
ft_scheduler_open_tasks (const FtScheduler *scheduler)
{
  return scheduler->job_table.open_tasks;
}
