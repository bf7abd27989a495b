/* What workers are told: commands in the answers to their heartbeats, and directly. */
#include "core/scheduler_private.h"

static void
add_command (GArray *commands, FtCommandOp op, const FtAttempt *a)
{
  FtCommand c = { .op = op, .job = g_strdup (a->job_ref), .index = a->index, .attempt = a->id, .grace_s = a->grace_s };
  g_array_append_val (commands, c);
}

static gboolean
wants_start (const FtScheduler *scheduler, const FtMachine *machine, const FtAttempt *attempt)
{
  return scheduler->context.may_start && machine->registered && attempt->bound
         && attempt->index < attempt->job->spec->dispatch_watermark && !attempt->shown && !attempt->exited
         && !attempt->stop_wanted && machine->state != FT_MACHINE_TERMINATING && attempt->job->state == FT_JOB_OPEN;
}

/* A copy of a direct start may come late. While the worker knows the attempt it
 * does nothing; forgotten, it would start the task anew: beside another attempt,
 * or, if it is done, beyond the team's limit for a moment. */
static gboolean
may_forget (const FtScheduler *scheduler, const FtAttempt *attempt)
{
  if (!attempt->exited || !attempt->forget_ok || attempt->direct_unanswered || attempt->direct_in_flight)
    return FALSE;
  return !attempt->by_direct
         || scheduler->context.now - attempt->exited_at
                > ft_seconds (FT_COPY_LEASES * scheduler->context.settings->lease_s);
}

void
ft_scheduler_allow (FtScheduler *scheduler, gboolean may_start)
{
  scheduler->context.may_start = may_start;
}

GArray *
ft_scheduler_answer (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now)
{
  GArray *commands = ft_commands_new ();
  FtMachine *machine = g_hash_table_lookup (scheduler->machine_table.machines, heartbeat->machine);
  scheduler->context.now = now;
  if (machine == NULL)
    return commands;
  machine->last_answer = now;
  /* It shows our token in its next heartbeat, in half a second. */
  if (!machine->reconciled)
    machine->probe_at = MAX (machine->probe_at, now + ft_seconds (FT_PROBE_FIRST_S));
  if (heartbeat->incarnation != machine->incarnation || heartbeat->sequence != machine->sequence
      || heartbeat->token < scheduler->context.token || machine->incarnation <= machine->expired_incarnation) {
    if (heartbeat->incarnation == machine->incarnation)
      machine->answered = MAX (machine->answered, heartbeat->sequence);
    return commands;
  }
  machine->answered = heartbeat->sequence;
  /* What the heartbeat has freed is filled by this very answer. */
  ft_placement_fill (scheduler, machine);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtAttempt *attempt = value;
    if (attempt->stop_wanted && attempt->shown && !attempt->exited)
      add_command (commands, FT_COMMAND_STOP, attempt);
    else if (scheduler->context.may_start && may_forget (scheduler, attempt))
      add_command (commands, FT_COMMAND_FORGET, attempt);
  }
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtAttempt *attempt = value;
    if (!wants_start (scheduler, machine, attempt))
      continue;
    attempt->sent_sequence = heartbeat->sequence;
    add_command (commands, FT_COMMAND_START, attempt);
  }
  return commands;
}

/* ---- direct commands ---- */

void
ft_direct_free (FtDirect *direct)
{
  if (direct == NULL)
    return;
  g_free (direct->machine);
  g_free (direct->addr);
  if (direct->commands != NULL)
    g_array_unref (direct->commands);
  g_free (direct);
}

static FtDirect *
direct_new (FtMachine *machine, GArray *commands)
{
  FtDirect *direct = g_new0 (FtDirect, 1);
  direct->machine = g_strdup (machine->name);
  direct->addr = g_strdup (machine->addr);
  direct->incarnation = machine->incarnation;
  direct->commands = commands;
  machine->command_in_flight = TRUE;
  return direct;
}

gint64
ft_machine_silent_since (const FtScheduler *scheduler, const FtMachine *machine)
{
  return MAX (machine->last_status_at, scheduler->context.on_time_since);
}

gboolean
ft_machine_heartbeat_overdue (const FtScheduler *scheduler, const FtMachine *machine)
{
  return scheduler->context.now - ft_machine_silent_since (scheduler, machine) > ft_machine_overdue_us (scheduler);
}

gboolean
ft_machine_wants_probe (const FtScheduler *scheduler, const FtMachine *machine)
{
  gboolean ask = !machine->reconciled || ft_machine_not_receiving (machine)
                 || (machine->state == FT_MACHINE_UP && ft_machine_heartbeat_overdue (scheduler, machine));
  return ask && scheduler->context.now >= machine->probe_at && machine->addr != NULL && !machine->command_in_flight
         && machine->state != FT_MACHINE_GONE;
}

static FtDirect *
probe (FtScheduler *scheduler, FtMachine *machine)
{
  guint pause = 1u << MIN (machine->probe_fails, FT_PROBE_DOUBLINGS);
  machine->probe_at = scheduler->context.now + (gint64) (FT_PROBE_EVERY_S * pause * FT_SECOND);
  scheduler->command_queue.probes_in_flight++;
  return direct_new (machine, ft_commands_new ());
}

static FtDirect *
direct_to (FtScheduler *scheduler, FtMachine *machine)
{
  if (machine->command_in_flight || machine->addr == NULL)
    return NULL;
  if (machine->state != FT_MACHINE_UP || !machine->reconciled || machine->incarnation <= machine->expired_incarnation)
    return NULL;
  GArray *commands = ft_commands_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtAttempt *attempt = value;
    if (attempt->stop_wanted && attempt->shown && !attempt->exited && !attempt->stop_sent) {
      attempt->stop_sent = TRUE;
      add_command (commands, FT_COMMAND_STOP, attempt);
    } else if (ft_machine_usable (scheduler, machine) && wants_start (scheduler, machine, attempt)
               && attempt->sent_sequence == 0 && !attempt->direct_unanswered) {
      attempt->direct_in_flight = attempt->by_direct = TRUE;
      add_command (commands, FT_COMMAND_START, attempt);
    }
  }
  if (commands->len > 0)
    return direct_new (machine, commands);
  g_array_unref (commands);
  return NULL;
}

FtDirect *
ft_scheduler_next_direct (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.now = now;
  FtMachine *machine;
  while ((machine = g_queue_pop_head (&scheduler->command_queue.directs)) != NULL) {
    machine->direct_queued = FALSE;
    scheduler->context.looked_at++;
    FtDirect *direct = direct_to (scheduler, machine);
    if (direct != NULL)
      return direct;
  }
  /* Those that do not answer keep their place for long: commands go first, and
   * only so many are asked at a time. */
  while (scheduler->command_queue.probes_in_flight < FT_PROBES_MAX
         && (machine = g_queue_pop_head (&scheduler->command_queue.probes)) != NULL) {
    machine->probe_queued = FALSE;
    scheduler->context.looked_at++;
    if (ft_machine_wants_probe (scheduler, machine))
      return probe (scheduler, machine);
  }
  return NULL;
}

static void
settle_direct (FtScheduler *scheduler, FtMachine *machine, const FtDirect *direct, FtDirectResult result)
{
  for (guint i = 0; i < direct->commands->len; i++) {
    const FtCommand *command = &g_array_index (direct->commands, FtCommand, i);
    FtAttempt *attempt = ft_machine_attempt (machine, command->job, command->index, command->attempt);
    if (attempt == NULL || command->op != FT_COMMAND_START)
      continue;
    attempt->direct_in_flight = FALSE;
    if (result == FT_DIRECT_UNANSWERED && attempt->incarnation == direct->incarnation)
      attempt->direct_unanswered = machine->in_doubt = TRUE;
    /* Refused as a whole: this copy was not executed and never will be. */
    if (result == FT_DIRECT_CONFLICT && attempt->stop_wanted && !attempt->shown && attempt->sent_sequence == 0
        && !attempt->exited)
      ft_attempt_end (scheduler, attempt);
  }
}

gboolean
ft_scheduler_direct_done (FtScheduler *scheduler, const FtDirect *direct, FtDirectResult result,
                          const FtWorkerHeartbeat *heartbeat, gint64 now)
{
  scheduler->context.now = now;
  FtMachine *machine = g_hash_table_lookup (scheduler->machine_table.machines, direct->machine);
  if (direct->commands->len == 0)
    scheduler->command_queue.probes_in_flight--;
  if (heartbeat != NULL && heartbeat->token > scheduler->context.token)
    return FALSE;
  if (machine == NULL)
    return TRUE;
  machine->command_in_flight = FALSE;
  ft_machine_queue_direct (machine); /* what has come up meanwhile */
  if (result == FT_DIRECT_UNANSWERED
      && (ft_machine_heartbeat_overdue (scheduler, machine) || !machine->reconciled
          || ft_machine_not_receiving (machine)))
    machine->probe_fails++;
  settle_direct (scheduler, machine, direct, result);
  if (heartbeat == NULL || g_strcmp0 (heartbeat->machine, machine->name) != 0)
    return TRUE;
  if (machine->state != FT_MACHINE_TERMINATING || !machine->reconciled)
    ft_machine_apply_status (scheduler, machine, heartbeat, FALSE);
  /* Refused for its incarnation: ask again at once with the right one. */
  if (result == FT_DIRECT_CONFLICT && !machine->reconciled) {
    machine->probe_at = now;
    ft_machine_queue_probe (machine);
  }
  ft_recovery_tick (&scheduler->recovery);
  return TRUE;
}
