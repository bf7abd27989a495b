#include "core/attempt.h"

#include "core/job.h"
#include "core/machine.h"
#include "core/quota.h"

const char *
ft_exit_reason_name (FtExitReason reason)
{
  static const char *const names[] = { "no reason",
                                       "done",
                                       "stopped",
                                       "error",
                                       "no room",
                                       "machine busy",
                                       "unknown reason",
                                       "a task of its gang ended",
                                       "its gang did not come together" };
  return (guint) reason < G_N_ELEMENTS (names) ? names[reason] : "unknown reason";
}

guint
ft_attempt_hash (gconstpointer key)
{
  const FtAttempt *attempt = key;
  return (guint) attempt->id * 31u + attempt->index;
}

gboolean
ft_attempt_equal (gconstpointer first, gconstpointer second)
{
  const FtAttempt *one = first, *other = second;
  return one->id == other->id && one->index == other->index && g_strcmp0 (one->job_ref, other->job_ref) == 0;
}

void
ft_attempt_free (FtAttempt *attempt)
{
  if (attempt->job != NULL)
    g_hash_table_remove (attempt->job->attempts, attempt);
  g_free (attempt->job_ref);
  g_free (attempt);
}

FtAttempt *
ft_attempt_new (FtMachine *machine, FtJob *job, const char *ref, guint index, guint64 id)
{
  FtAttempt *attempt = g_new0 (FtAttempt, 1);
  attempt->id = id;
  attempt->job = job;
  attempt->job_ref = g_strdup (ref);
  attempt->index = index;
  attempt->machine = machine;
  attempt->incarnation = machine->incarnation;
  if (job != NULL) {
    attempt->team = job->team;
    attempt->cpus = job->spec->cpus;
    attempt->gpus = job->spec->gpus;
    attempt->memory_gb = job->spec->memory_gb;
  }
  g_hash_table_insert (machine->attempts, attempt, attempt);
  if (job != NULL)
    g_hash_table_add (job->attempts, attempt);
  return attempt;
}

/* Adds the attempt to what its machine and its team use, or takes it away (`sign` -1). */
static void
count (FtAttempt *attempt, double sign)
{
  attempt->machine->cpus += sign * attempt->cpus;
  attempt->machine->gpus += sign * attempt->gpus;
  attempt->machine->memory_gb += sign * attempt->memory_gb;
  if (attempt->team != NULL) {
    attempt->team->cpus += sign * attempt->cpus;
    attempt->team->gpus += sign * attempt->gpus;
  }
}

void
ft_attempt_reserve (FtAttempt *attempt)
{
  if (!attempt->reserved)
    count (attempt, 1);
  attempt->reserved = TRUE;
}

void
ft_attempt_release (FtAttempt *attempt)
{
  if (attempt->reserved)
    count (attempt, -1);
  attempt->reserved = FALSE;
}

void
ft_attempt_bind (FtAttempt *attempt, FtTaskState state)
{
  FtTask *task = &attempt->job->tasks[attempt->index];
  g_return_if_fail (task->attempt == NULL);
  if (!ft_task_set_state (attempt->job, attempt->index, state))
    return;
  task->attempt = attempt;
  attempt->bound = TRUE;
}

/* The task is free again, unless it has finished: it waits for another attempt, or is cancelled
 * with its job. */
static void
unbind (FtAttempt *attempt)
{
  if (!attempt->bound)
    return;
  FtJob *job = attempt->job;
  FtTask *task = &job->tasks[attempt->index];
  attempt->bound = FALSE;
  task->attempt = NULL;
  if (task->state == FT_TASK_FINISHED || task->state == FT_TASK_DONE)
    return;
  ft_task_set_state (job, attempt->index, job->state < FT_JOB_CANCELLING ? FT_TASK_QUEUED : FT_TASK_CANCELLED);
}

void
ft_attempt_want_stop (FtAttempt *attempt, double grace_s)
{
  if (attempt->stop_wanted && attempt->grace_s <= grace_s)
    return;
  attempt->stop_wanted = TRUE;
  attempt->stop_sent = FALSE;
  attempt->grace_s = grace_s;
  ft_machine_queue_direct (attempt->machine);
}

void
ft_attempt_end (FtAttempt *attempt)
{
  FtMachine *machine = attempt->machine;
  ft_attempt_release (attempt);
  unbind (attempt);
  machine->context->placement_due = TRUE;
  if (ft_machine_idle (machine))
    machine->idle_since = machine->context->now;
  if (!(attempt->exited && attempt->listed))
    g_hash_table_remove (machine->attempts, attempt);
}
