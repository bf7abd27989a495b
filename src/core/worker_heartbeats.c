/* What the workers report: machines come up and fall silent, attempts begin, go on and end. */
#include "core/fault.h"
#include "core/model.h"

static void
task_failed (FtScheduler *s, FtAttempt *a, FtExitReason why)
{
  FtJob *job = a->job;
  FtTask *task = &job->tasks[a->index];
  task->fails = MIN (task->fails + 1, FT_FAILS_COUNTED);
  task->avoid = a->machine;
  double pause = MIN (FT_RETRY_FIRST_S * (1u << (task->fails - 1)), FT_RETRY_LONGEST_S);
  task->not_before = s->now + (gint64) (pause * FT_SECOND);
  if (why == FT_EXIT_ERROR)
    ft_fault_task_failed (s, a);
}

static void
attempt_exited (FtScheduler *s, FtAttempt *a, FtExitReason why)
{
  FtMachine *machine = a->machine;
  a->exited = TRUE;
  a->listed = TRUE;
  a->exited_at = s->now;
  ft_attempt_release (a);
  s->placement_due = TRUE;
  if (a->bound && why == FT_EXIT_DONE) {
    ft_fault_task_completed (machine);
    ft_task_set_state (a->job, a->index, FT_TASK_FINISHED);
    if (a->job->state == FT_JOB_CANCELLING)
      ft_task_set_state (a->job, a->index, FT_TASK_CANCELLED);
    if (a->job->state != FT_JOB_OPEN) {
      a->forget_ok = TRUE;
      ft_attempt_end (s, a);
    }
    return;
  }
  if (a->bound) {
    /* Its room is somebody else's for the moment: it does not take it back at once. */
    if (why == FT_EXIT_STOPPED && a->stop_wanted && machine->notice_until == 0)
      a->job->tasks[a->index].not_before = s->now + (gint64) (FT_PREEMPTED_PAUSE_S * FT_SECOND);
    gboolean blameless = why == FT_EXIT_STOPPED || why == FT_EXIT_PEERS || why == FT_EXIT_ALONE;
    if (!blameless && a->job->state == FT_JOB_OPEN)
      task_failed (s, a, why);
    g_message ("task %s/%u: attempt ended on %s (why %d)", a->job_ref, a->index, machine->name, why);
  }
  a->forget_ok = TRUE;
  ft_attempt_end (s, a);
}

static void
attempt_progress (FtScheduler *s, FtAttempt *a, FtTaskPhase state)
{
  static const FtTaskState states[] = { FT_TASK_FETCHING, FT_TASK_FETCHING, FT_TASK_RUNNING, FT_TASK_CHECKPOINTING };
  a->shown = TRUE;
  if (state != FT_TASK_PHASE_FETCHING && !a->has_image) {
    a->has_image = TRUE;
    if (a->job != NULL)
      g_hash_table_add (a->machine->images, g_strdup (a->job->spec->image));
  }
  if (state != FT_TASK_PHASE_FETCHING && state != FT_TASK_PHASE_WAITING && !a->running) {
    a->running = TRUE;
    a->running_at = s->now;
  }
  if (a->bound)
    ft_task_set_state (a->job, a->index, states[state]);
}

/* An attempt in a heartbeat that this leadership did not start. */
static void
adopt (FtScheduler *s, FtMachine *machine, const FtTaskStatus *t)
{
  FtJob *job = g_hash_table_lookup (s->jobs, t->job);
  if (job != NULL && t->index >= job->spec->tasks)
    job = NULL;
  FtTask *task = job != NULL ? &job->tasks[t->index] : NULL;
  FtAttempt *a = ft_attempt_new (machine, job, t->job, t->index, t->attempt);
  a->shown = a->listed = TRUE;
  a->placed_at = s->now;
  gboolean open = job != NULL && job->state == FT_JOB_OPEN;
  gboolean free_task
      = open && task->attempt == NULL && (task->state == FT_TASK_UNKNOWN || task->state == FT_TASK_QUEUED);
  if (t->state == FT_TASK_PHASE_EXITED) {
    a->exited = TRUE;
    a->exited_at = s->now;
    a->by_direct = TRUE; /* for all we know */
    a->forget_ok = !(free_task && t->exit_reason == FT_EXIT_DONE);
    if (free_task && t->exit_reason == FT_EXIT_DONE)
      ft_attempt_bind (a, FT_TASK_FINISHED);
    s->placement_due = TRUE;
    return;
  }
  a->by_direct = TRUE; /* for all we know */
  ft_attempt_reserve (a);
  if (free_task) {
    ft_attempt_bind (a, FT_TASK_FETCHING);
  } else if (job != NULL && job->state == FT_JOB_CANCELLING && task->attempt == NULL
             && task->state == FT_TASK_UNKNOWN) {
    ft_attempt_bind (a, FT_TASK_FETCHING);
    ft_attempt_want_stop (a, 0);
  } else {
    g_warning ("task %s/%u: attempt %" G_GUINT64_FORMAT " on %s is not wanted", t->job, t->index, t->attempt,
               machine->name);
    ft_attempt_want_stop (a, 0);
  }
  attempt_progress (s, a, t->state);
}

static void
apply_task (FtScheduler *s, FtMachine *machine, const FtTaskStatus *t)
{
  FtAttempt *a = ft_machine_attempt (machine, t->job, t->index, t->attempt);
  if (a == NULL) {
    adopt (s, machine, t);
    return;
  }
  a->listed = TRUE;
  if (a->exited)
    return;
  if (t->state != FT_TASK_PHASE_EXITED) {
    attempt_progress (s, a, t->state);
    return;
  }
  a->shown = TRUE;
  attempt_exited (s, a, t->exit_reason);
}

/* An attempt that a newer heartbeat of its incarnation does not show. */
static void
apply_absence (FtScheduler *s, FtAttempt *a, const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat)
{
  if (a->exited) {
    if (a->bound)
      return; /* its result is not committed yet */
    g_hash_table_remove (a->machine->attempts, a);
    return;
  }
  if (a->shown) {
    /* The protocol has no way to this; the start is repeated, on this machine. */
    g_warning ("task %s/%u: vanished from %s", a->job_ref, a->index, a->machine->name);
    if (a->stop_wanted)
      ft_attempt_end (s, a);
    else
      a->shown = FALSE;
    return;
  }
  /* Commands in the answer to a heartbeat are executed before the next heartbeat or
   * never, but a direct start may still be on its way: then only the end of
   * the incarnation proves that it did not happen. */
  gboolean certain = is_heartbeat && a->sent_sequence < heartbeat->sequence;
  if (!a->stop_wanted || !certain || a->direct_in_flight)
    return;
  if (!a->direct_unanswered)
    ft_attempt_end (s, a);
  else if (a->bound && a->job->state == FT_JOB_OPEN)
    a->stop_wanted = FALSE; /* started after all: waiting for the lost start could last for ever */
}

static void
apply_tasks (FtScheduler *s, FtMachine *machine, const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat)
{
  g_autoptr (GList) before = g_hash_table_get_values (machine->attempts);
  for (GList *l = before; l != NULL; l = l->next)
    ((FtAttempt *) l->data)->listed = FALSE;
  for (guint i = 0; i < heartbeat->tasks->len; i++)
    apply_task (s, machine, &g_array_index (heartbeat->tasks, FtTaskStatus, i));
  g_autoptr (GList) after = g_hash_table_get_values (machine->attempts);
  for (GList *l = after; l != NULL; l = l->next)
    if (!((FtAttempt *) l->data)->listed)
      apply_absence (s, l->data, heartbeat, is_heartbeat);
}

/* A spot notice: no more starts; what saves is stopped in time, what is sure
 * to be lost anyway goes elsewhere at once. */
static void
apply_notice (FtScheduler *s, FtMachine *machine, double notice_s)
{
  if (notice_s < 0 || machine->state == FT_MACHINE_TERMINATING)
    return;
  if (machine->notice_until == 0)
    g_message ("machine %s: notice, taken in %.1f s", machine->name, notice_s);
  gboolean first = machine->notice_until == 0;
  machine->notice_until = s->now + (gint64) (notice_s * FT_SECOND);
  if (!first)
    return;
  ft_spot_risk_lost (&s->spot_risk);
  g_autoptr (GList) all = g_hash_table_get_values (machine->attempts);
  for (GList *l = all; l != NULL; l = l->next) {
    FtAttempt *a = l->data;
    if (!a->bound || a->exited)
      continue;
    const FtJobSpec *spec = a->job->spec;
    double ran = a->running ? (double) (s->now - a->running_at) / FT_SECOND : 0;
    if (spec->checkpoint_s > 0 && a->running)
      ft_attempt_want_stop (a, spec->save_s);
    else if (ran + notice_s < FT_NOTICE_LOST_SHARE * spec->estimate_s)
      ft_attempt_want_stop (a, 0);
  }
}

static FtMachine *
machine_of_heartbeat (FtScheduler *s, const FtWorkerHeartbeat *heartbeat)
{
  FtMachine *machine = g_hash_table_lookup (s->machines, heartbeat->machine);
  if (machine == NULL) {
    /* Rented by a former leader, or by a request executed late. It is in no
     * registry, so it has never been sent a command: it holds no task. */
    machine
        = ft_machine_new (s, heartbeat->machine, heartbeat->addr, heartbeat->type, heartbeat->zone, heartbeat->spot);
    ft_machine_set_reconciled (machine);
    machine->last_answer = s->now;
    g_hash_table_insert (s->machines, machine->name, machine);
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
update_receiving (FtScheduler *s, FtMachine *machine, const FtWorkerHeartbeat *heartbeat)
{
  gboolean missing = machine->answered > 0 && heartbeat->token < s->token;
  gboolean expected = FALSE;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *a = value;
    gboolean sent = a->sent_sequence > 0 && a->sent_sequence < heartbeat->sequence;
    expected |= sent;
    missing |= sent && !a->shown && !a->exited;
  }
  if (missing)
    machine->unacknowledged++;
  else if (expected || machine->not_receiving_since == 0)
    machine->unacknowledged = 0;
  if (machine->unacknowledged >= FT_UNACKNOWLEDGED_MAX && machine->not_receiving_since == 0) {
    machine->not_receiving_since = s->now;
    g_message ("machine %s: does not hear us", machine->name);
  } else if (machine->unacknowledged == 0) {
    machine->not_receiving_since = 0;
  }
}

static void
begin_incarnation (FtScheduler *s, FtMachine *machine, guint64 incarnation)
{
  if (machine->incarnation != 0) {
    g_message ("machine %s: session %" G_GUINT64_FORMAT, machine->name, incarnation);
    ft_machine_end_incarnation (s, machine);
  }
  machine->incarnation = incarnation;
  machine->answered = 0;
  machine->in_doubt = FALSE;
}

/* Older than what is known of the machine, or a copy from before it knew us:
 * tokens only rise. Copies may come late by more than a lease. */
static gboolean
outdated (const FtScheduler *s, const FtMachine *machine, const FtWorkerHeartbeat *heartbeat)
{
  return heartbeat->incarnation <= machine->expired_incarnation || heartbeat->incarnation < machine->incarnation
         || (heartbeat->incarnation == machine->incarnation && heartbeat->sequence <= machine->sequence)
         || (machine->acknowledged_token && heartbeat->token < s->token);
}

static void
now_up (FtScheduler *s, FtMachine *machine)
{
  machine->last_status_at = s->now;
  machine->probe_fails = 0;
  if (machine->state != FT_MACHINE_BOOTING && machine->state != FT_MACHINE_SILENT)
    return;
  if (machine->state == FT_MACHINE_BOOTING)
    machine->idle_since = s->now;
  ft_machine_set_state (machine, FT_MACHINE_UP);
  s->placement_due = TRUE;
}

/* Only what was sent after the worker saw our token counts: before that a
 * command of the former leader may still have been executed. */
static void
token_acknowledged (FtScheduler *s, FtMachine *machine, const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat)
{
  if (!machine->acknowledged_token)
    s->placement_due = TRUE;
  machine->acknowledged_token = TRUE;
  s->last_heard = s->now;
  if (!machine->reconciled) {
    ft_machine_set_reconciled (machine);
    g_message ("machine %s: accounted for", machine->name);
  }
  apply_tasks (s, machine, heartbeat, is_heartbeat);
}

/* Takes in a heartbeat's content if it is the newest of its machine. */
void
ft_machine_apply_status (FtScheduler *s, FtMachine *machine, const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat)
{
  if (outdated (s, machine, heartbeat))
    return;
  if (heartbeat->incarnation > machine->incarnation)
    begin_incarnation (s, machine, heartbeat->incarnation);
  machine->sequence = heartbeat->sequence;
  if (is_heartbeat)
    machine->last_heartbeat_at = s->now;
  ft_zone_heard (machine->zone_view, s->now);
  now_up (s, machine);
  ft_registry_add (s, machine);
  if (heartbeat->token >= s->token)
    token_acknowledged (s, machine, heartbeat, is_heartbeat);
  if (is_heartbeat) {
    update_receiving (s, machine, heartbeat);
    apply_notice (s, machine, heartbeat->notice_s);
  } else {
    machine->unacknowledged = 0; /* a command has reached it */
    machine->not_receiving_since = 0;
  }
}

gboolean
ft_scheduler_heartbeat (FtScheduler *s, const FtWorkerHeartbeat *heartbeat, gint64 now)
{
  s->now = now;
  if (heartbeat->token > s->token)
    return FALSE;
  /* Before the registry is read, nobody knows what a machine may hold. */
  if (s->loaded && !g_hash_table_contains (s->gone, heartbeat->machine))
    ft_machine_apply_status (s, machine_of_heartbeat (s, heartbeat), heartbeat, TRUE);
  ft_recovery_tick (s);
  return TRUE;
}
