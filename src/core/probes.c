#include "core/probes.h"

#include "core/worker_commands.h"

gint64
ft_machine_silent_since (const FtMachine *machine)
{
  return MAX (machine->last_status_at, machine->context->on_time_since);
}

gboolean
ft_machine_heartbeat_overdue (const FtMachine *machine)
{
  const FtCoreContext *context = machine->context;
  return context->now - ft_machine_silent_since (machine) > ft_machine_overdue_us (context);
}

gboolean
ft_machine_wants_probe (const FtMachine *machine)
{
  gboolean in_question = !machine->reconciled || ft_machine_not_receiving (machine)
                         || (machine->state == FT_MACHINE_UP && ft_machine_heartbeat_overdue (machine));
  return in_question && machine->context->now >= machine->probe_at && machine->addr != NULL
         && !machine->command_in_flight && machine->state != FT_MACHINE_GONE;
}

static FtDirect *
probe (FtProbes *probes, FtMachine *machine)
{
  guint pause = 1u << MIN (machine->probe_fails, FT_PROBE_DOUBLINGS);
  machine->probe_at = machine->context->now + ft_seconds (FT_PROBE_EVERY_S * pause);
  probes->in_flight++;
  return ft_worker_command_direct (machine, ft_commands_new ());
}

FtDirect *
ft_probes_next (FtProbes *probes, FtMachineQueues *queues)
{
  FtMachine *machine;
  while (probes->in_flight < FT_PROBES_MAX && (machine = g_queue_pop_head (&queues->probes)) != NULL) {
    machine->probe_queued = FALSE;
    machine->context->looked_at++;
    if (ft_machine_wants_probe (machine))
      return probe (probes, machine);
  }
  return NULL;
}

void
ft_probes_unanswered (FtMachine *machine)
{
  if (ft_machine_heartbeat_overdue (machine) || !machine->reconciled || ft_machine_not_receiving (machine))
    machine->probe_fails++;
}

void
ft_probes_again (FtMachine *machine)
{
  machine->probe_at = machine->context->now;
  ft_machine_queue_probe (machine);
}
