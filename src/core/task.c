#include "core/scheduler_private.h"

static const char *const names[]
    = { "unknown", "queued", "starting", "fetching", "running", "saving", "finished", "done", "dropped" };

#define BIT(state) (1u << (state))
#define LIVE (BIT (FT_TASK_STARTING) | BIT (FT_TASK_FETCHING) | BIT (FT_TASK_RUNNING) | BIT (FT_TASK_CHECKPOINTING))

/* States from which each state may be reached. A heartbeat may be the first to
 * tell of several steps at once, so steps on a machine can be skipped. */
static const guint allowed_from[] = {
  [FT_TASK_UNKNOWN] = 0,
  [FT_TASK_QUEUED] = BIT (FT_TASK_UNKNOWN) | LIVE,
  [FT_TASK_STARTING] = BIT (FT_TASK_QUEUED) | BIT (FT_TASK_FETCHING),
  [FT_TASK_FETCHING] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | BIT (FT_TASK_STARTING),
  [FT_TASK_RUNNING] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | BIT (FT_TASK_STARTING) | BIT (FT_TASK_FETCHING),
  [FT_TASK_CHECKPOINTING] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | BIT (FT_TASK_STARTING)
                            | BIT (FT_TASK_FETCHING) | BIT (FT_TASK_RUNNING),
  [FT_TASK_FINISHED] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | LIVE,
  [FT_TASK_DONE] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_FINISHED),
  [FT_TASK_CANCELLED] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | LIVE | BIT (FT_TASK_FINISHED),
};

static void
count_unknown (FtJob *job, double sign)
{
  if (job->team == NULL)
    return;
  job->team->unknown_cpus += sign * job->spec->cpus;
  job->team->unknown_gpus += sign * job->spec->gpus;
}

/* The one place where a task's state changes. */
gboolean
ft_task_set_state (FtJob *job, guint index, FtTaskState to)
{
  FtTask *task = &job->tasks[index];
  FtTaskState from = task->state;
  if (from == to)
    return TRUE;
  if ((allowed_from[to] & BIT (from)) == 0) {
    g_warning ("task %s/%u: refused move %s -> %s", job->spec->ref, index, names[from], names[to]);
    return FALSE;
  }
  g_debug ("task %s/%u: %s -> %s", job->spec->ref, index, names[from], names[to]);
  if (from == FT_TASK_UNKNOWN)
    count_unknown (job, -1);
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
    ft_job_mark_chunk_dirty (job, index);
  return TRUE;
}
