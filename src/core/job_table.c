#include "core/job_table.h"

#include "core/attempt_lifecycle.h"

FtJob *
ft_job_table_find (const FtJobTable *table, const char *ref)
{
  return g_hash_table_lookup (table->jobs, ref);
}

/* ---- jobs that wait for their dependencies ---- */

static void
open_job (FtJobTable *table, FtJob *job)
{
  ft_job_set_state (job, FT_JOB_OPEN, "all dependencies done");
  job->ready_at = MAX (job->accepted_at, ft_dependency_graph_met_at (table->dependencies, job->spec->ref));
  table->context->placement_due = TRUE;
}

/* Updates a job after one of its dependencies has ended or its dependents have changed. */
static void
on_dependency_changed (const char *ref, gpointer data)
{
  FtJobTable *table = data;
  FtJob *job = ft_job_table_find (table, ref);
  const FtUrgency *urgency = ft_dependency_graph_urgency (table->dependencies, ref);
  if (job == NULL || urgency == NULL)
    return;
  job->priority = urgency->priority;
  job->deadline_at = urgency->deadline_at;
  FtWait wait = ft_dependency_graph_wait (table->dependencies, ref);
  if (wait == FT_WAIT_NONE && job->state == FT_JOB_WAITING)
    open_job (table, job);
  if (wait == FT_WAIT_CANCELLED && !job->dependency_cancelled) {
    job->dependency_cancelled = TRUE;
    ft_job_queue_write (job);
  }
}

/* Returns whether the job's end is known to be committed, and sets `end` to it. */
static gboolean
find_committed_end (const FtJobTable *table, const char *ref, FtJobEnd *end)
{
  const FtJob *job = ft_job_table_find (table, ref);
  guint value;
  if (job != NULL) {
    *end = FT_JOB_END_CANCELLED;
    return job->state == FT_JOB_CANCELLING && job->cancellation_read;
  }
  if (!ft_recent_map_find (table->ended_jobs, ref, &value))
    return FALSE;
  *end = (FtJobEnd) value;
  return TRUE;
}

static void
add_dependencies (FtJobTable *table, FtJob *job)
{
  const FtJobSpec *spec = job->spec;
  g_autoptr (GPtrArray) unmet = g_ptr_array_new ();
  gboolean cancelled = FALSE;
  /* A dispatch watermark above 0 shows that all dependencies are done, since a task is placed only after that. */
  GStrv dependencies = spec->dispatch_watermark > 0 ? NULL : spec->dependencies;
  for (guint i = 0; dependencies != NULL && dependencies[i] != NULL; i++) {
    FtJobEnd end;
    if (!find_committed_end (table, dependencies[i], &end))
      g_ptr_array_add (unmet, dependencies[i]);
    else
      cancelled |= end == FT_JOB_END_CANCELLED;
  }
  g_ptr_array_add (unmet, NULL);
  FtUrgency own = { spec->priority, job->deadline_at };
  ft_dependency_graph_add (table->dependencies, spec->ref, (const char *const *) unmet->pdata, cancelled, &own);
}

const char *
ft_job_table_next_unread (FtJobTable *table)
{
  return ft_dependency_graph_next_unread (table->dependencies, table->context->now,
                                          ft_seconds (FT_DEPENDENCY_READ_EVERY_S));
}

void
ft_job_table_end_read (FtJobTable *table, const char *ref, FtJobEnd end, gint64 at)
{
  /* The end of an open job is recorded elsewhere: when the write of the end is committed, or when the row of its
   * cancellation is read. */
  if (g_hash_table_contains (table->jobs, ref))
    return;
  ft_recent_map_add (table->ended_jobs, ref, end);
  ft_dependency_graph_job_ended (table->dependencies, ref, end, at);
}

/* ---- adding jobs ---- */

void
ft_job_table_init (FtJobTable *table, FtCoreContext *context, const FtQuota *quota, FtJobRemoved removed,
                   gpointer removed_data)
{
  table->context = context;
  table->quota = quota;
  table->removed = removed;
  table->removed_data = removed_data;
  table->jobs = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) ft_job_free);
  table->ended_jobs = ft_recent_map_new (FT_JOB_CACHE_ENDED_MAX);
  table->dependencies = ft_dependency_graph_new (on_dependency_changed, table);
  g_queue_init (&table->pending_writes);
}

void
ft_job_table_clear (FtJobTable *table)
{
  g_hash_table_unref (table->jobs);
  ft_recent_map_free (table->ended_jobs);
  ft_dependency_graph_free (table->dependencies);
  g_queue_clear (&table->pending_writes);
}

static FtJob *
new_job (FtJobTable *table, FtJobSpec *spec, guint64 revision, FtTaskState initial, gint64 age_us)
{
  FtJob *job = ft_job_new (spec, ft_quota_team (table->quota, spec->team), revision, initial);
  job->pending_writes = &table->pending_writes;
  /* A leader starts a task only if its index is below a dispatch watermark that the leader has committed. Former
   * leaders can raise no watermark any more, since each write is conditional on the leader's fence row. So tasks from
   * the watermark on were never sent and cannot run on any machine. */
  for (guint i = spec->dispatch_watermark; initial == FT_TASK_UNKNOWN && i < spec->tasks; i++)
    ft_task_set_state (job, i, FT_TASK_QUEUED);
  job->accepted_at = job->ready_at = table->context->now - age_us;
  job->deadline_at = spec->deadline_s > 0 ? job->accepted_at + ft_seconds (spec->deadline_s) : 0;
  return job;
}

void
ft_job_table_add (FtJobTable *table, FtJobSpec *spec, guint64 revision, FtTaskState initial, gint64 wall_ms)
{
  if (g_hash_table_contains (table->jobs, spec->ref) || ft_recent_map_find (table->ended_jobs, spec->ref, NULL)) {
    ft_job_spec_free (spec);
    return;
  }
  gint64 age_us = MAX (0, wall_ms - spec->submitted_wall_ms) * 1000;
  FtJob *job = new_job (table, spec, revision, initial, age_us);
  table->open_tasks += spec->tasks;
  table->context->placement_due = TRUE;
  g_hash_table_insert (table->jobs, spec->ref, job);
  add_dependencies (table, job);
  g_message ("job %s: %s (class %s, team %s, %u tasks, submitted %.1f s ago, estimate %.1f s, deadline %.1f s)",
             spec->ref, ft_job_state_name (job->state), spec->job_class, spec->team, spec->tasks,
             (double) age_us / FT_SECOND, spec->estimate_s, spec->deadline_s);
}

gboolean
ft_job_table_load_done (FtJobTable *table, const char *ref, guint chunk, const char *bits)
{
  FtJob *job = ft_job_table_find (table, ref);
  if (job == NULL)
    return FALSE;
  g_autoptr (GArray) tasks = ft_job_chunk_tasks (job, chunk, bits);
  for (guint i = 0; i < tasks->len; i++)
    ft_task_set_state (job, g_array_index (tasks, guint, i), FT_TASK_DONE);
  g_hash_table_add (job->stored_chunks, GUINT_TO_POINTER (chunk));
  return TRUE;
}

/* ---- cancelling jobs ---- */

static void
cancel_task (FtJob *job, guint index)
{
  FtAttempt *attempt = job->tasks[index].attempt;
  if (job->tasks[index].state == FT_TASK_QUEUED)
    ft_task_set_state (job, index, FT_TASK_CANCELLED);
  if (attempt != NULL)
    ft_attempt_job_cancelled (attempt);
}

void
ft_job_table_cancel (FtJobTable *table, FtJob *job, gint64 at)
{
  if (job->state >= FT_JOB_CANCELLING) {
    job->cancelled_at = MIN (job->cancelled_at, at);
    return;
  }
  job->cancelled_at = at;
  ft_job_set_state (job, FT_JOB_CANCELLING, "cancelled");
  for (guint i = 0; i < job->spec->tasks; i++)
    cancel_task (job, i);
  table->context->placement_due = TRUE;
}

void
ft_job_table_cancellation_read (FtJobTable *table, const char *ref, gint64 at)
{
  FtJob *job = ft_job_table_find (table, ref);
  if (job == NULL)
    return;
  ft_job_table_cancel (table, job, at);
  job->cancellation_read = TRUE;
  ft_job_queue_write (job);
  ft_dependency_graph_job_ended (table->dependencies, ref, FT_JOB_END_CANCELLED, table->context->now);
}

void
ft_job_table_advisory_cancellation (FtJobTable *table, const char *ref)
{
  FtJob *job = ft_job_table_find (table, ref);
  if (job != NULL)
    ft_job_table_cancel (table, job, table->context->now);
}

/* ---- ends of jobs ---- */

/* Detaches the job's attempts, which their machines keep until they have exited. */
static void
detach_attempts (FtJob *job)
{
  g_autoptr (GList) attempts = g_hash_table_get_keys (job->attempts);
  for (GList *link = attempts; link != NULL; link = link->next)
    ft_attempt_job_ended (link->data);
}

/* Cancels the job's unknown tasks, so that they no longer count against the team's limit. */
static void
cancel_unknown_tasks (FtJob *job)
{
  for (guint i = 0; i < job->spec->tasks && job->counts[FT_TASK_UNKNOWN] > 0; i++)
    if (job->tasks[i].state == FT_TASK_UNKNOWN)
      ft_task_set_state (job, i, FT_TASK_CANCELLED);
}

void
ft_job_table_end (FtJobTable *table, FtJob *job, FtJobEnd end)
{
  g_autofree char *ref = g_strdup (job->spec->ref);
  ft_job_set_state (job, FT_JOB_ENDED, end == FT_JOB_END_DONE ? "done" : "cancelled");
  ft_recent_map_add (table->ended_jobs, ref, end);
  detach_attempts (job);
  cancel_unknown_tasks (job);
  table->open_tasks -= job->spec->tasks;
  table->context->placement_due = TRUE;
  table->removed (job, table->removed_data);
  if (job->write_queued)
    g_queue_remove (&table->pending_writes, job);
  g_hash_table_remove (table->jobs, ref);
  ft_dependency_graph_job_ended (table->dependencies, ref, end, table->context->now);
}
