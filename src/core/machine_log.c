#include "core/machine_log.h"

static gboolean
is_due (const FtMachine *machine, gint64 logged_at)
{
  return logged_at == 0 || machine->context->now - logged_at >= ft_seconds (FT_MACHINE_LOG_EVERY_S);
}

static double
seconds_since (const FtMachine *machine, gint64 at)
{
  return (double) (machine->context->now - at) / FT_SECOND;
}

/* ---- direct commands ---- */

/* Returns why the machine gets no direct commands, as a text for the log. */
static const char *
commands_reason (const FtMachine *machine, FtCommandsAllowed allowed)
{
  switch (allowed) {
  case FT_COMMANDS_ALLOWED:
    break;
  case FT_COMMANDS_NO_ADDRESS:
    return "its address is not known";
  case FT_COMMANDS_NOT_UP:
    return ft_machine_state_name (machine->state);
  case FT_COMMANDS_UNRECONCILED:
    return "not reconciled";
  case FT_COMMANDS_EXPIRED:
    return "its incarnation is over";
  }
  return "no reason";
}

void
ft_machine_log_commands_allowed (FtMachine *machine, FtCommandsAllowed allowed)
{
  FtMachineLog *log = &machine->log;
  gboolean is_first = log->commands_at == 0;
  if (machine->state == FT_MACHINE_BOOTING || (!is_first && allowed == log->commands)
      || !is_due (machine, log->commands_at))
    return;
  log->commands = allowed;
  log->commands_at = machine->context->now;
  if (allowed != FT_COMMANDS_ALLOWED && !is_first)
    g_message ("machine %s: gets no direct commands (%s)", machine->name, commands_reason (machine, allowed));
  else if (log->commands_stopped)
    g_message ("machine %s: gets direct commands again", machine->name);
  log->commands_stopped = allowed != FT_COMMANDS_ALLOWED && !is_first;
}

/* ---- heartbeats that are not applied ---- */

static const char *
unapplied_reason (FtHeartbeatOutcome outcome)
{
  switch (outcome) {
  case FT_HEARTBEAT_OLDER:
    return "older than its newest status";
  case FT_HEARTBEAT_FORMER_INCARNATION:
    return "of a former incarnation";
  case FT_HEARTBEAT_EXPIRED_INCARNATION:
    return "its incarnation is over";
  case FT_HEARTBEAT_FORMER_TOKEN:
    return "a lower token than it has shown";
  case FT_HEARTBEAT_SUPERSEDED:
  case FT_HEARTBEAT_APPLIED:
  case FT_HEARTBEAT_MACHINE_GONE:
  case FT_HEARTBEAT_NOT_LOADED:
    break; /* not logged for a machine */
  }
  return "no reason";
}

/* Tells how many heartbeats were not applied since the last line about them, and counts anew. */
static void
tell_unapplied (FtMachine *machine)
{
  FtMachineLog *log = &machine->log;
  if (log->unapplied_count > 1)
    g_message ("machine %s: %u heartbeats not applied (%s; the first %.1f s ago, the last %.1f s ago)", machine->name,
               log->unapplied_count, unapplied_reason (log->unapplied), seconds_since (machine, log->unapplied_since),
               seconds_since (machine, log->unapplied_last_at));
  log->unapplied_count = 0;
}

void
ft_machine_log_heartbeat (FtMachine *machine, FtHeartbeatOutcome outcome)
{
  FtMachineLog *log = &machine->log;
  gint64 now = machine->context->now;
  if (outcome == FT_HEARTBEAT_APPLIED || outcome != log->unapplied)
    tell_unapplied (machine);
  if (outcome == FT_HEARTBEAT_APPLIED)
    return;
  log->unapplied = outcome;
  log->unapplied_last_at = now;
  if (log->unapplied_count++ > 0)
    return;
  log->unapplied_since = now;
  if (!is_due (machine, log->unapplied_at))
    return;
  log->unapplied_at = now;
  g_message ("machine %s: heartbeat not applied (%s), %s", machine->name, unapplied_reason (outcome),
             outcome == FT_HEARTBEAT_OLDER ? "answered" : "refused");
}

void
ft_machine_log_refused (FtMachine *machine, const char *reason)
{
  if (!is_due (machine, machine->log.refused_at))
    return;
  machine->log.refused_at = machine->context->now;
  g_message ("machine %s: heartbeat refused (%s)", machine->name, reason);
}

/* ---- stops ---- */

void
ft_machine_log_stops (FtMachine *machine, const GArray *commands, const char *way)
{
  guint count = 0;
  if (!is_due (machine, machine->log.stops_at))
    return;
  g_autoptr (GString) tasks = NULL;
  for (guint i = 0; i < commands->len; i++) {
    const FtCommand *command = &g_array_index (commands, FtCommand, i);
    if (command->op != FT_COMMAND_STOP || ++count > FT_MACHINE_LOG_TASKS)
      continue;
    if (tasks == NULL)
      tasks = g_string_new (NULL);
    g_string_append_printf (tasks, " %s/%u", command->job, command->index);
  }
  if (tasks == NULL)
    return;
  machine->log.stops_at = machine->context->now;
  g_message ("machine %s: %u stops sent in %s:%s%s", machine->name, count, way, tasks->str,
             count > FT_MACHINE_LOG_TASKS ? " and more" : "");
}

/* ---- the cloud ---- */

void
ft_machine_log_return (FtMachine *machine, FtCloudResult result)
{
  FtMachineLog *log = &machine->log;
  if (result == FT_CLOUD_OK) {
    if (log->returns_failed > 0)
      g_message ("machine %s: returned after %u calls that failed", machine->name, log->returns_failed);
    return;
  }
  if (log->returns_failed++ == 0)
    g_message ("machine %s: not returned yet (%s)", machine->name,
               result == FT_CLOUD_REFUSED ? "the cloud refuses" : "the cloud does not answer");
}
