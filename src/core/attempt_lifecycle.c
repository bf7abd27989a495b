#include "core/attempt_lifecycle.h"

#include "core/job.h"
#include "core/team.h"

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

/* Adds the attempt's resources to the use of its machine and its team (`sign` 1), or subtracts them (`sign` -1). */
static void
add_use (FtAttempt *attempt, double sign)
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
    add_use (attempt, 1);
  attempt->reserved = TRUE;
}

void
ft_attempt_release (FtAttempt *attempt)
{
  if (attempt->reserved)
    add_use (attempt, -1);
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

/* Unbinds the attempt from its task. Unless the task has finished, it is queued for another attempt, or cancelled if
 * its job is being cancelled. */
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
ft_attempt_request_stop (FtAttempt *attempt, double grace_s)
{
  if (ft_attempt_stop_requested (attempt) && attempt->grace_s <= grace_s)
    return;
  attempt->stop = FT_ATTEMPT_STOP_REQUESTED;
  attempt->grace_s = grace_s;
  ft_machine_queue_direct_request (attempt->machine);
}

void
ft_attempt_direct_start_unanswered (FtAttempt *attempt)
{
  attempt->direct_start = FT_DIRECT_START_UNANSWERED;
  attempt->machine->fitness.start_unanswered = TRUE;
}

/* Returns whether no start of the attempt can be executed any more: no start was sent, or starts were sent in direct
 * requests only, all of these were answered, and no status shows the attempt. */
static gboolean
cannot_start (const FtAttempt *attempt)
{
  return attempt->state == FT_ATTEMPT_PLACED && attempt->sent_sequence == 0
         && attempt->direct_start != FT_DIRECT_START_IN_FLIGHT && attempt->direct_start != FT_DIRECT_START_UNANSWERED;
}

void
ft_attempt_job_cancelled (FtAttempt *attempt)
{
  if (ft_attempt_has_exited (attempt))
    return;
  ft_attempt_request_stop (attempt, 0);
  if (cannot_start (attempt))
    ft_attempt_end (attempt);
}

void
ft_attempt_job_ended (FtAttempt *attempt)
{
  attempt->job = NULL;
  attempt->bound = FALSE;
  if (ft_attempt_has_exited (attempt))
    ft_attempt_set_state (attempt, FT_ATTEMPT_FORGETTABLE);
  else
    ft_attempt_request_stop (attempt, 0);
}

void
ft_attempt_result_committed (FtAttempt *attempt)
{
  ft_attempt_set_state (attempt, FT_ATTEMPT_FORGETTABLE);
  ft_attempt_end (attempt);
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
  if (!(ft_attempt_has_exited (attempt) && attempt->listed))
    g_hash_table_remove (machine->attempts, attempt);
}

void
ft_attempt_end_incarnation (FtMachine *machine)
{
  g_autoptr (GList) all = g_hash_table_get_values (machine->attempts);
  for (GList *link = all; link != NULL; link = link->next) {
    FtAttempt *attempt = link->data;
    attempt->listed = FALSE;
    ft_attempt_end (attempt);
  }
  machine->expired_incarnation = MAX (machine->expired_incarnation, machine->incarnation);
}
