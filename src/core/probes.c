#include "core/probes.h"

#include "core/worker_commands.h"

/* Whether it is uncertain that the machine runs, or that messages pass in both directions. */
static gboolean
needs_probes (const FtMachine *machine)
{
  return !machine->reconciled || ft_machine_not_receiving (machine)
         || (machine->state == FT_MACHINE_UP && ft_reachability_overdue (&machine->reachability, machine->context));
}

gboolean
ft_machine_wants_probe (const FtMachine *machine)
{
  return needs_probes (machine) && machine->context->now >= machine->reachability.probe_at && machine->addr != NULL
         && !machine->requests.command_in_flight && machine->state != FT_MACHINE_GONE;
}

static FtDirectRequest *
probe (FtProbes *probes, FtMachine *machine)
{
  ft_reachability_probe_sent (&machine->reachability, machine->context->now);
  probes->in_flight++;
  return ft_worker_command_request_new (machine, ft_commands_new ());
}

FtDirectRequest *
ft_probes_next (FtProbes *probes, FtMachineQueues *queues)
{
  FtMachine *machine;
  while (probes->in_flight < FT_PROBES_MAX && (machine = g_queue_pop_head (&queues->probes)) != NULL) {
    machine->requests.probe_queued = FALSE;
    machine->context->examined_count++;
    if (ft_machine_wants_probe (machine))
      return probe (probes, machine);
  }
  return NULL;
}

void
ft_probes_unanswered (FtMachine *machine)
{
  if (!machine->reconciled || ft_machine_not_receiving (machine)
      || ft_reachability_overdue (&machine->reachability, machine->context))
    ft_reachability_request_unanswered (&machine->reachability);
}

void
ft_probes_retry_now (FtMachine *machine)
{
  ft_reachability_probe_now (&machine->reachability, machine->context->now);
  ft_machine_queue_probe (machine);
}
