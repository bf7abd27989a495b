#include "core/attempt_reports.h"

#include "core/attempt_lifecycle.h"
#include "core/fault.h"
#include "core/start_copies.h"

/* ---- an attempt exits ---- */

/* Records a failure of the task: it is not placed for a backoff, and for some time after that not on this machine. */
static void
task_failed (const FtMachineTable *table, FtAttempt *attempt, FtExitReason reason)
{
  FtTask *task = &attempt->job->tasks[attempt->index];
  task->failures = MIN (task->failures + 1, FT_TASK_FAILURES_MAX);
  task->avoided_machine = attempt->machine;
  double backoff_s = MIN (FT_RETRY_FIRST_S * (1u << (task->failures - 1)), FT_RETRY_LONGEST_S);
  task->not_before = table->context->now + ft_seconds (backoff_s);
  if (reason == FT_EXIT_ERROR)
    ft_fault_task_failed (table, attempt);
}

static void
task_finished (FtAttempt *attempt)
{
  ft_fault_task_completed (attempt->machine);
  ft_task_set_state (attempt->job, attempt->index, FT_TASK_FINISHED);
  if (attempt->job->state == FT_JOB_CANCELLING)
    ft_task_set_state (attempt->job, attempt->index, FT_TASK_CANCELLED);
  if (attempt->job->state == FT_JOB_OPEN)
    return; /* the attempt ends when its result is committed */
  ft_attempt_set_state (attempt, FT_ATTEMPT_FORGETTABLE);
  ft_attempt_end (attempt);
}

/* Handles an attempt that has exited without a result. */
static void
exited_without_result (const FtMachineTable *table, FtAttempt *attempt, FtExitReason reason)
{
  const FtMachine *machine = attempt->machine;
  /* The attempt was preempted: its task pauses, so that it does not take the room that another job needs. */
  if (reason == FT_EXIT_STOPPED && ft_attempt_stop_requested (attempt) && machine->notice_until == 0)
    attempt->job->tasks[attempt->index].not_before = table->context->now + ft_seconds (FT_PREEMPTED_PAUSE_S);
  gboolean not_a_failure
      = reason == FT_EXIT_STOPPED || reason == FT_EXIT_GANG_TASK_ENDED || reason == FT_EXIT_GANG_INCOMPLETE;
  if (!not_a_failure && attempt->job->state == FT_JOB_OPEN)
    task_failed (table, attempt, reason);
  g_message ("task %s/%u: attempt ended on %s (%s)", attempt->job_ref, attempt->index, machine->name,
             ft_exit_reason_name (reason));
}

static void
attempt_exited (const FtMachineTable *table, FtAttempt *attempt, FtExitReason reason)
{
  ft_attempt_set_exited (attempt, table->context->now);
  attempt->listed = TRUE;
  ft_attempt_release (attempt);
  table->context->placement_due = TRUE;
  if (attempt->bound && reason == FT_EXIT_DONE) {
    task_finished (attempt);
    return;
  }
  if (attempt->bound)
    exited_without_result (table, attempt, reason);
  ft_attempt_set_state (attempt, FT_ATTEMPT_FORGETTABLE);
  ft_attempt_end (attempt);
}

/* ---- an attempt progresses ---- */

static void
attempt_progress (FtAttempt *attempt, FtTaskPhase phase)
{
  static const FtTaskState states[] = { FT_TASK_FETCHING, FT_TASK_FETCHING, FT_TASK_RUNNING, FT_TASK_CHECKPOINTING };
  ft_attempt_set_state (attempt, FT_ATTEMPT_ON_WORKER);
  if (phase != FT_TASK_PHASE_FETCHING && !attempt->has_image) {
    attempt->has_image = TRUE;
    if (attempt->job != NULL)
      g_hash_table_add (attempt->machine->images, g_strdup (attempt->job->spec->image));
  }
  if (phase != FT_TASK_PHASE_FETCHING && phase != FT_TASK_PHASE_WAITING && !attempt->running) {
    attempt->running = TRUE;
    attempt->running_at = attempt->machine->context->now;
  }
  if (attempt->bound)
    ft_task_set_state (attempt->job, attempt->index, states[phase]);
}

/* ---- an attempt that this leadership did not start ---- */

/* Returns whether the task belongs to an open job and is bound to no attempt, so that this one can be adopted. */
static gboolean
task_needs_attempt (const FtJob *job, guint index)
{
  if (job == NULL || job->state != FT_JOB_OPEN)
    return FALSE;
  const FtTask *task = &job->tasks[index];
  return task->attempt == NULL && (task->state == FT_TASK_UNKNOWN || task->state == FT_TASK_QUEUED);
}

/* Returns whether the task belongs to a job that is being cancelled and may be the one that this attempt runs. */
static gboolean
task_is_being_cancelled (const FtJob *job, guint index)
{
  if (job == NULL || job->state != FT_JOB_CANCELLING)
    return FALSE;
  const FtTask *task = &job->tasks[index];
  return task->attempt == NULL && task->state == FT_TASK_UNKNOWN;
}

static void
adopt_exited (FtAttempt *attempt, gboolean task_unbound, FtExitReason reason)
{
  FtCoreContext *context = attempt->machine->context;
  gboolean has_result = task_unbound && reason == FT_EXIT_DONE;
  ft_attempt_set_exited (attempt, context->now);
  if (has_result)
    ft_attempt_bind (attempt, FT_TASK_FINISHED);
  else
    ft_attempt_set_state (attempt, FT_ATTEMPT_FORGETTABLE);
  context->placement_due = TRUE;
}

static void
adopt_live (FtAttempt *attempt, gboolean task_unbound, FtTaskPhase phase)
{
  ft_attempt_reserve (attempt);
  if (task_unbound) {
    ft_attempt_bind (attempt, FT_TASK_FETCHING);
  } else if (task_is_being_cancelled (attempt->job, attempt->index)) {
    ft_attempt_bind (attempt, FT_TASK_FETCHING);
    ft_attempt_request_stop (attempt, 0);
  } else {
    g_warning ("task %s/%u: attempt %" G_GUINT64_FORMAT " on %s is stopped (its task has another attempt or is over)",
               attempt->job_ref, attempt->index, attempt->id, attempt->machine->name);
    ft_attempt_request_stop (attempt, 0);
  }
  attempt_progress (attempt, phase);
}

static void
adopt (const FtJobTable *job_table, FtMachine *machine, const FtTaskStatus *status)
{
  FtJob *job = g_hash_table_lookup (job_table->jobs, status->job);
  if (job != NULL && status->index >= job->spec->tasks)
    job = NULL;
  gboolean task_unbound = task_needs_attempt (job, status->index);
  FtAttempt *attempt = ft_attempt_new (machine, job, status->job, status->index, status->attempt);
  attempt->listed = TRUE;
  attempt->placed_at = machine->context->now;
  /* A former leader's direct requests carried tokens below ours, and the status shows one of ours. */
  gboolean is_ours = ft_attempt_number_token (status->attempt) >= machine->context->token;
  ft_attempt_direct_start_unknown (attempt, is_ours ? machine->worker_token.current : 0);
  if (status->state == FT_TASK_PHASE_EXITED)
    adopt_exited (attempt, task_unbound, status->exit_reason);
  else
    adopt_live (attempt, task_unbound, status->state);
}

/* ---- the task list ---- */

static void
apply_status (const FtMachineTable *table, const FtJobTable *job_table, FtMachine *machine, const FtTaskStatus *status)
{
  FtAttempt *attempt = ft_machine_attempt (machine, status->job, status->index, status->attempt);
  if (attempt == NULL) {
    adopt (job_table, machine, status);
    return;
  }
  attempt->listed = TRUE;
  if (ft_attempt_has_exited (attempt))
    return;
  if (status->state != FT_TASK_PHASE_EXITED) {
    attempt_progress (attempt, status->state);
    return;
  }
  attempt_exited (table, attempt, status->exit_reason);
}

/* Handles an attempt that an earlier status showed and a newer one of the same incarnation does not. The protocol does
 * not allow this. The start is repeated on this machine, unless the attempt is to stop. */
static void
attempt_vanished (FtAttempt *attempt)
{
  g_warning ("task %s/%u: vanished from %s (not in its task list)", attempt->job_ref, attempt->index,
             attempt->machine->name);
  if (ft_attempt_stop_requested (attempt))
    ft_attempt_end (attempt);
  else
    ft_attempt_set_state (attempt, FT_ATTEMPT_PLACED);
}

/* Handles an attempt that a status of its incarnation does not list. */
static void
apply_missing (FtAttempt *attempt, const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat)
{
  if (ft_attempt_has_exited (attempt)) {
    if (!attempt->bound) /* the result of a bound attempt is not committed yet */
      g_hash_table_remove (attempt->machine->attempts, attempt);
    return;
  }
  if (attempt->state == FT_ATTEMPT_ON_WORKER) {
    attempt_vanished (attempt);
    return;
  }
  /* A worker executes the commands in the answer to a heartbeat before its next heartbeat, or never. A direct start may
   * arrive later: if it was not answered, only the end of the incarnation proves that it was not executed, or a status
   * that shows a higher token than the start carried: the worker refuses it from then on. */
  gboolean answer_start_expired = is_heartbeat && attempt->sent_sequence < heartbeat->sequence;
  if (!ft_attempt_stop_requested (attempt) || !answer_start_expired
      || attempt->direct_start == FT_DIRECT_START_IN_FLIGHT)
    return;
  if (attempt->direct_start != FT_DIRECT_START_UNANSWERED || !ft_start_copies_possible (attempt))
    ft_attempt_end (attempt);
  else if (attempt->bound && attempt->job->state == FT_JOB_OPEN)
    ft_attempt_clear_stop (attempt); /* the start is sent again: the unanswered one may never be executed */
}

void
ft_attempt_reports_apply (const FtMachineTable *table, const FtJobTable *job_table, FtMachine *machine,
                          const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat)
{
  g_autoptr (GList) before = g_hash_table_get_values (machine->attempts);
  for (GList *link = before; link != NULL; link = link->next)
    ((FtAttempt *) link->data)->listed = FALSE;
  for (guint i = 0; i < heartbeat->tasks->len; i++)
    apply_status (table, job_table, machine, &g_array_index (heartbeat->tasks, FtTaskStatus, i));
  g_autoptr (GList) after = g_hash_table_get_values (machine->attempts);
  for (GList *link = after; link != NULL; link = link->next)
    if (!((FtAttempt *) link->data)->listed)
      apply_missing (link->data, heartbeat, is_heartbeat);
}
