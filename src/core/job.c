#include "core/job.h"

FtJob *
ft_job_new (FtJobSpec *spec, FtTeam *team, guint64 revision, FtTaskState initial)
{
  FtJob *job = g_new0 (FtJob, 1);
  job->spec = spec;
  job->team = team;
  job->revision = revision;
  job->priority = spec->priority;
  job->state = spec->dependencies != NULL ? FT_JOB_WAITING : FT_JOB_OPEN;
  job->tasks = g_new0 (FtTask, spec->tasks);
  for (guint i = 0; i < spec->tasks; i++)
    job->tasks[i].state = initial;
  job->counts[initial] = spec->tasks;
  if (initial == FT_TASK_UNKNOWN && team != NULL) {
    team->unknown_cpus += spec->cpus * spec->tasks;
    team->unknown_gpus += spec->gpus * spec->tasks;
  }
  job->stored_chunks = g_hash_table_new (g_direct_hash, g_direct_equal);
  job->dirty_chunks = g_hash_table_new (g_direct_hash, g_direct_equal);
  job->attempts = g_hash_table_new (g_direct_hash, g_direct_equal);
  return job;
}

void
ft_job_free (FtJob *job)
{
  if (job == NULL)
    return;
  g_hash_table_unref (job->stored_chunks);
  g_hash_table_unref (job->dirty_chunks);
  g_hash_table_unref (job->attempts);
  g_free (job->tasks);
  ft_job_spec_free (job->spec);
  g_free (job);
}

const char *
ft_job_state_name (FtJobState state)
{
  static const char *const names[] = { "waiting", "open", "withdrawn", "closed" };
  return names[state];
}

gboolean
ft_job_set_state (FtJob *job, FtJobState to, const char *reason)
{
  if (job->state == to)
    return TRUE;
  if (to < job->state) {
    g_warning ("job %s: refused move %s -> %s (%s)", job->spec->ref, ft_job_state_name (job->state),
               ft_job_state_name (to), reason);
    return FALSE;
  }
  g_message ("job %s: %s -> %s (%s)", job->spec->ref, ft_job_state_name (job->state), ft_job_state_name (to), reason);
  job->state = to;
  ft_job_queue_write (job);
  return TRUE;
}

/* ---- tasks ---- */

/* Subtracts an unknown task from the resources that the team's unknown tasks may use. */
static void
uncount_unknown (FtJob *job)
{
  if (job->team == NULL)
    return;
  job->team->unknown_cpus -= job->spec->cpus;
  job->team->unknown_gpus -= job->spec->gpus;
}

static void
mark_chunk_dirty (FtJob *job, guint index)
{
  g_hash_table_add (job->dirty_chunks, GUINT_TO_POINTER (index / FT_DONE_CHUNK_TASKS));
}

gboolean
ft_task_set_state (FtJob *job, guint index, FtTaskState to)
{
  FtTask *task = &job->tasks[index];
  FtTaskState from = task->state;
  if (from == to)
    return TRUE;
  if (!ft_task_move_allowed (from, to)) {
    g_warning ("task %s/%u: refused move %s -> %s", job->spec->ref, index, ft_task_state_name (from),
               ft_task_state_name (to));
    return FALSE;
  }
  g_debug ("task %s/%u: %s -> %s", job->spec->ref, index, ft_task_state_name (from), ft_task_state_name (to));
  if (from == FT_TASK_UNKNOWN)
    uncount_unknown (job);
  job->counts[from]--;
  job->counts[to]++;
  task->state = to;
  if (to != FT_TASK_QUEUED && to != FT_TASK_CANCELLED)
    job->begun = TRUE;
  if (to >= FT_TASK_FINISHED)
    ft_job_queue_write (job);
  if (to == FT_TASK_QUEUED)
    job->scan_from = MIN (job->scan_from, index);
  if (to == FT_TASK_FINISHED)
    mark_chunk_dirty (job, index);
  return TRUE;
}

guint
ft_job_bound_tasks (const FtJob *job)
{
  return job->counts[FT_TASK_STARTING] + job->counts[FT_TASK_FETCHING] + job->counts[FT_TASK_RUNNING]
         + job->counts[FT_TASK_CHECKPOINTING];
}

guint
ft_job_finished_tasks (const FtJob *job)
{
  return job->counts[FT_TASK_FINISHED] + job->counts[FT_TASK_DONE];
}

/* ---- writes to the store ---- */

void
ft_job_queue_write (FtJob *job)
{
  if (job->write_queued || job->pending_writes == NULL || job->state == FT_JOB_ENDED)
    return;
  job->write_queued = TRUE;
  g_queue_push_tail (job->pending_writes, job);
}

void
ft_job_set_end_write (FtJob *job, FtJobEndWrite to)
{
  /* A conflict is recorded only after its batch has failed, when no write of the job is in flight. */
  g_return_if_fail (job->end_write == to || job->end_write == FT_JOB_END_WRITE_IDLE || to == FT_JOB_END_WRITE_IDLE);
  job->end_write = to;
}

guint
ft_job_chunk_count (const FtJob *job)
{
  return (job->spec->tasks + FT_DONE_CHUNK_TASKS - 1) / FT_DONE_CHUNK_TASKS;
}

GArray *
ft_job_chunk_tasks (const FtJob *job, guint chunk, const char *bits)
{
  GArray *tasks = g_array_new (FALSE, FALSE, sizeof (guint));
  gsize size = 0;
  g_autofree guchar *data = g_base64_decode (bits, &size);
  guint first = chunk * FT_DONE_CHUNK_TASKS;
  for (guint i = 0; i < FT_DONE_CHUNK_TASKS && i / 8 < size && first + i < job->spec->tasks; i++) {
    guint index = first + i;
    if (data[i / 8] & (1u << (i % 8)))
      g_array_append_val (tasks, index);
  }
  return tasks;
}

char *
ft_job_chunk_bits (const FtJob *job, guint chunk)
{
  guint first = chunk * FT_DONE_CHUNK_TASKS;
  guint n = MIN (FT_DONE_CHUNK_TASKS, job->spec->tasks - first);
  g_autofree guchar *bits = g_new0 (guchar, (n + 7) / 8);
  for (guint i = 0; i < n; i++) {
    FtTaskState state = job->tasks[first + i].state;
    if (state == FT_TASK_FINISHED || state == FT_TASK_DONE)
      bits[i / 8] |= (guchar) (1u << (i % 8));
  }
  // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): freed by g_auto cleanup, which the analyzer does not follow
  return g_base64_encode (bits, (n + 7) / 8);
}
