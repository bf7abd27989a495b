/* What the workers report: machines come up and fall silent, attempts begin, go on and end. */
#include "core/fault.h"
#include "core/scheduler_private.h"

static void
task_failed (FtScheduler *scheduler, FtAttempt *attempt, FtExitReason why)
{
  FtJob *job = attempt->job;
  FtTask *task = &job->tasks[attempt->index];
  task->fails = MIN (task->fails + 1, FT_FAILS_COUNTED);
  task->avoid = attempt->machine;
  double pause = MIN (FT_RETRY_FIRST_S * (1u << (task->fails - 1)), FT_RETRY_LONGEST_S);
  task->not_before = scheduler->context.now + (gint64) (pause * FT_SECOND);
  if (why == FT_EXIT_ERROR)
    ft_fault_task_failed (scheduler, attempt);
}

static void
attempt_exited (FtScheduler *scheduler, FtAttempt *attempt, FtExitReason why)
{
  FtMachine *machine = attempt->machine;
  attempt->exited = TRUE;
  attempt->listed = TRUE;
  attempt->exited_at = scheduler->context.now;
  ft_attempt_release (attempt);
  scheduler->context.placement_due = TRUE;
  if (attempt->bound && why == FT_EXIT_DONE) {
    ft_fault_task_completed (machine);
    ft_task_set_state (attempt->job, attempt->index, FT_TASK_FINISHED);
    if (attempt->job->state == FT_JOB_CANCELLING)
      ft_task_set_state (attempt->job, attempt->index, FT_TASK_CANCELLED);
    if (attempt->job->state != FT_JOB_OPEN) {
      attempt->forget_ok = TRUE;
      ft_attempt_end (scheduler, attempt);
    }
    return;
  }
  if (attempt->bound) {
    /* Its room is somebody else's for the moment: it does not take it back at once. */
    if (why == FT_EXIT_STOPPED && attempt->stop_wanted && machine->notice_until == 0)
      attempt->job->tasks[attempt->index].not_before
          = scheduler->context.now + (gint64) (FT_PREEMPTED_PAUSE_S * FT_SECOND);
    gboolean blameless = why == FT_EXIT_STOPPED || why == FT_EXIT_PEERS || why == FT_EXIT_ALONE;
    if (!blameless && attempt->job->state == FT_JOB_OPEN)
      task_failed (scheduler, attempt, why);
    g_message ("task %s/%u: attempt ended on %s (why %d)", attempt->job_ref, attempt->index, machine->name, why);
  }
  attempt->forget_ok = TRUE;
  ft_attempt_end (scheduler, attempt);
}

static void
attempt_progress (FtScheduler *scheduler, FtAttempt *attempt, FtTaskPhase state)
{
  static const FtTaskState states[] = { FT_TASK_FETCHING, FT_TASK_FETCHING, FT_TASK_RUNNING, FT_TASK_CHECKPOINTING };
  attempt->shown = TRUE;
  if (state != FT_TASK_PHASE_FETCHING && !attempt->has_image) {
    attempt->has_image = TRUE;
    if (attempt->job != NULL)
      g_hash_table_add (attempt->machine->images, g_strdup (attempt->job->spec->image));
  }
  if (state != FT_TASK_PHASE_FETCHING && state != FT_TASK_PHASE_WAITING && !attempt->running) {
    attempt->running = TRUE;
    attempt->running_at = scheduler->context.now;
  }
  if (attempt->bound)
    ft_task_set_state (attempt->job, attempt->index, states[state]);
}

/* An attempt in a heartbeat that this leadership did not start. */
static void
adopt (FtScheduler *scheduler, FtMachine *machine, const FtTaskStatus *t)
{
  FtJob *job = g_hash_table_lookup (scheduler->job_table.jobs, t->job);
  if (job != NULL && t->index >= job->spec->tasks)
    job = NULL;
  FtTask *task = job != NULL ? &job->tasks[t->index] : NULL;
  FtAttempt *attempt = ft_attempt_new (machine, job, t->job, t->index, t->attempt);
  attempt->shown = attempt->listed = TRUE;
  attempt->placed_at = scheduler->context.now;
  gboolean open = job != NULL && job->state == FT_JOB_OPEN;
  gboolean free_task
      = open && task->attempt == NULL && (task->state == FT_TASK_UNKNOWN || task->state == FT_TASK_QUEUED);
  if (t->state == FT_TASK_PHASE_EXITED) {
    attempt->exited = TRUE;
    attempt->exited_at = scheduler->context.now;
    attempt->by_direct = TRUE; /* for all we know */
    attempt->forget_ok = !(free_task && t->exit_reason == FT_EXIT_DONE);
    if (free_task && t->exit_reason == FT_EXIT_DONE)
      ft_attempt_bind (attempt, FT_TASK_FINISHED);
    scheduler->context.placement_due = TRUE;
    return;
  }
  attempt->by_direct = TRUE; /* for all we know */
  ft_attempt_reserve (attempt);
  if (free_task) {
    ft_attempt_bind (attempt, FT_TASK_FETCHING);
  } else if (job != NULL && job->state == FT_JOB_CANCELLING && task->attempt == NULL
             && task->state == FT_TASK_UNKNOWN) {
    ft_attempt_bind (attempt, FT_TASK_FETCHING);
    ft_attempt_want_stop (attempt, 0);
  } else {
    g_warning ("task %s/%u: attempt %" G_GUINT64_FORMAT " on %s is not wanted", t->job, t->index, t->attempt,
               machine->name);
    ft_attempt_want_stop (attempt, 0);
  }
  attempt_progress (scheduler, attempt, t->state);
}

static void
apply_task (FtScheduler *scheduler, FtMachine *machine, const FtTaskStatus *task)
{
  FtAttempt *attempt = ft_machine_attempt (machine, task->job, task->index, task->attempt);
  if (attempt == NULL) {
    adopt (scheduler, machine, task);
    return;
  }
  attempt->listed = TRUE;
  if (attempt->exited)
    return;
  if (task->state != FT_TASK_PHASE_EXITED) {
    attempt_progress (scheduler, attempt, task->state);
    return;
  }
  attempt->shown = TRUE;
  attempt_exited (scheduler, attempt, task->exit_reason);
}

/* An attempt that a newer heartbeat of its incarnation does not show. */
static void
apply_absence (FtScheduler *scheduler, FtAttempt *attempt, const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat)
{
  if (attempt->exited) {
    if (attempt->bound)
      return; /* its result is not committed yet */
    g_hash_table_remove (attempt->machine->attempts, attempt);
    return;
  }
  if (attempt->shown) {
    /* The protocol has no way to this; the start is repeated, on this machine. */
    g_warning ("task %s/%u: vanished from %s", attempt->job_ref, attempt->index, attempt->machine->name);
    if (attempt->stop_wanted)
      ft_attempt_end (scheduler, attempt);
    else
      attempt->shown = FALSE;
    return;
  }
  /* Commands in the answer to a heartbeat are executed before the next heartbeat or
   * never, but a direct start may still be on its way: then only the end of
   * the incarnation proves that it did not happen. */
  gboolean certain = is_heartbeat && attempt->sent_sequence < heartbeat->sequence;
  if (!attempt->stop_wanted || !certain || attempt->direct_in_flight)
    return;
  if (!attempt->direct_unanswered)
    ft_attempt_end (scheduler, attempt);
  else if (attempt->bound && attempt->job->state == FT_JOB_OPEN)
    attempt->stop_wanted = FALSE; /* started after all: waiting for the lost start could last for ever */
}

static void
apply_tasks (FtScheduler *scheduler, FtMachine *machine, const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat)
{
  g_autoptr (GList) before = g_hash_table_get_values (machine->attempts);
  for (GList *link = before; link != NULL; link = link->next)
    ((FtAttempt *) link->data)->listed = FALSE;
  for (guint i = 0; i < heartbeat->tasks->len; i++)
    apply_task (scheduler, machine, &g_array_index (heartbeat->tasks, FtTaskStatus, i));
  g_autoptr (GList) after = g_hash_table_get_values (machine->attempts);
  for (GList *link = after; link != NULL; link = link->next)
    if (!((FtAttempt *) link->data)->listed)
      apply_absence (scheduler, link->data, heartbeat, is_heartbeat);
}

/* A spot notice: no more starts; what saves is stopped in time, what is sure
 * to be lost anyway goes elsewhere at once. */
static void
apply_notice (FtScheduler *scheduler, FtMachine *machine, double notice_s)
{
  if (notice_s < 0 || machine->state == FT_MACHINE_TERMINATING)
    return;
  if (machine->notice_until == 0)
    g_message ("machine %s: notice, taken in %.1f s", machine->name, notice_s);
  gboolean first = machine->notice_until == 0;
  machine->notice_until = scheduler->context.now + (gint64) (notice_s * FT_SECOND);
  if (!first)
    return;
  ft_spot_risk_lost (&scheduler->autoscaler.spot_risk);
  g_autoptr (GList) all = g_hash_table_get_values (machine->attempts);
  for (GList *link = all; link != NULL; link = link->next) {
    FtAttempt *attempt = link->data;
    if (!attempt->bound || attempt->exited)
      continue;
    const FtJobSpec *spec = attempt->job->spec;
    double ran = attempt->running ? (double) (scheduler->context.now - attempt->running_at) / FT_SECOND : 0;
    if (spec->checkpoint_s > 0 && attempt->running)
      ft_attempt_want_stop (attempt, spec->save_s);
    else if (ran + notice_s < FT_NOTICE_LOST_SHARE * spec->estimate_s)
      ft_attempt_want_stop (attempt, 0);
  }
}

static FtMachine *
machine_of_heartbeat (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat)
{
  FtMachine *machine = g_hash_table_lookup (scheduler->machine_table.machines, heartbeat->machine);
  if (machine == NULL) {
    /* Rented by a former leader, or by a request executed late. It is in no
     * registry, so it has never been sent a command: it holds no task. */
    machine = ft_machine_new (scheduler, heartbeat->machine, heartbeat->addr, heartbeat->type, heartbeat->zone,
                              heartbeat->spot);
    ft_machine_set_reconciled (machine);
    machine->last_answer = scheduler->context.now;
    g_hash_table_insert (scheduler->machine_table.machines, machine->name, machine);
    g_message ("machine %s: first heard of by its report", machine->name);
  }
  if (g_strcmp0 (machine->addr, heartbeat->addr) != 0) {
    g_free (machine->addr);
    machine->addr = g_strdup (heartbeat->addr);
  }
  return machine;
}

/* An answer is heard if the next heartbeat shows what it brought: our token, the
 * tasks it started. A lost packet looks the same once, hence the count. */
static void
update_receiving (FtScheduler *scheduler, FtMachine *machine, const FtWorkerHeartbeat *heartbeat)
{
  gboolean missing = machine->answered > 0 && heartbeat->token < scheduler->context.token;
  gboolean expected = FALSE;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    gboolean sent = attempt->sent_sequence > 0 && attempt->sent_sequence < heartbeat->sequence;
    expected |= sent;
    missing |= sent && !attempt->shown && !attempt->exited;
  }
  if (missing)
    machine->unacknowledged++;
  else if (expected || machine->not_receiving_since == 0)
    machine->unacknowledged = 0;
  if (machine->unacknowledged >= FT_UNACKNOWLEDGED_MAX && machine->not_receiving_since == 0) {
    machine->not_receiving_since = scheduler->context.now;
    g_message ("machine %s: does not hear us", machine->name);
  } else if (machine->unacknowledged == 0) {
    machine->not_receiving_since = 0;
  }
}

static void
begin_incarnation (FtScheduler *scheduler, FtMachine *machine, guint64 incarnation)
{
  if (machine->incarnation != 0) {
    g_message ("machine %s: session %" G_GUINT64_FORMAT, machine->name, incarnation);
    ft_machine_end_incarnation (scheduler, machine);
  }
  machine->incarnation = incarnation;
  machine->answered = 0;
  machine->in_doubt = FALSE;
}

/* Older than what is known of the machine, or a copy from before it knew us:
 * tokens only rise. Copies may come late by more than a lease. */
static gboolean
outdated (const FtScheduler *scheduler, const FtMachine *machine, const FtWorkerHeartbeat *heartbeat)
{
  return heartbeat->incarnation <= machine->expired_incarnation || heartbeat->incarnation < machine->incarnation
         || (heartbeat->incarnation == machine->incarnation && heartbeat->sequence <= machine->sequence)
         || (machine->acknowledged_token && heartbeat->token < scheduler->context.token);
}

static void
now_up (FtScheduler *scheduler, FtMachine *machine)
{
  machine->last_status_at = scheduler->context.now;
  machine->probe_fails = 0;
  if (machine->state != FT_MACHINE_BOOTING && machine->state != FT_MACHINE_SILENT)
    return;
  if (machine->state == FT_MACHINE_BOOTING)
    machine->idle_since = scheduler->context.now;
  ft_machine_set_state (machine, FT_MACHINE_UP);
  scheduler->context.placement_due = TRUE;
}

/* Only what was sent after the worker saw our token counts: before that a
 * command of the former leader may still have been executed. */
static void
token_acknowledged (FtScheduler *scheduler, FtMachine *machine, const FtWorkerHeartbeat *heartbeat,
                    gboolean is_heartbeat)
{
  if (!machine->acknowledged_token)
    scheduler->context.placement_due = TRUE;
  machine->acknowledged_token = TRUE;
  scheduler->context.last_heard = scheduler->context.now;
  if (!machine->reconciled) {
    ft_machine_set_reconciled (machine);
    g_message ("machine %s: accounted for", machine->name);
  }
  apply_tasks (scheduler, machine, heartbeat, is_heartbeat);
}

/* Takes in a heartbeat's content if it is the newest of its machine. */
void
ft_machine_apply_status (FtScheduler *scheduler, FtMachine *machine, const FtWorkerHeartbeat *heartbeat,
                         gboolean is_heartbeat)
{
  if (outdated (scheduler, machine, heartbeat))
    return;
  if (heartbeat->incarnation > machine->incarnation)
    begin_incarnation (scheduler, machine, heartbeat->incarnation);
  machine->sequence = heartbeat->sequence;
  if (is_heartbeat)
    machine->last_heartbeat_at = scheduler->context.now;
  ft_zone_heard (machine->zone_view, scheduler->context.now);
  now_up (scheduler, machine);
  ft_registry_add (&scheduler->registry, machine);
  if (heartbeat->token >= scheduler->context.token)
    token_acknowledged (scheduler, machine, heartbeat, is_heartbeat);
  if (is_heartbeat) {
    update_receiving (scheduler, machine, heartbeat);
    apply_notice (scheduler, machine, heartbeat->notice_s);
  } else {
    machine->unacknowledged = 0; /* a command has reached it */
    machine->not_receiving_since = 0;
  }
}

gboolean
ft_scheduler_heartbeat (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now)
{
  scheduler->context.now = now;
  if (heartbeat->token > scheduler->context.token)
    return FALSE;
  /* Before the registry is read, nobody knows what a machine may hold. */
  if (ft_recovery_is_loaded (&scheduler->recovery)
      && !g_hash_table_contains (scheduler->machine_table.gone, heartbeat->machine))
    ft_machine_apply_status (scheduler, machine_of_heartbeat (scheduler, heartbeat), heartbeat, TRUE);
  ft_recovery_tick (&scheduler->recovery);
  return TRUE;
}
