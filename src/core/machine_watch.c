#include "core/machine_watch.h"

#include "core/direct_commands.h"
#include "core/machine_log.h"
#include "core/probes.h"
#include "core/zone.h"

/* Expires the machine's incarnation when its worker lease has run out; no command is sent to an expired incarnation.
 * The attempts are not ended here: a running worker has stopped its tasks by now, but a hung worker has not. The
 * attempts end when a heartbeat of a later incarnation arrives or the machine is gone. */
static void
check_lease (FtMachine *machine)
{
  if (machine->incarnation <= machine->expired_incarnation
      || !ft_reachability_lease_over (&machine->reachability, machine->context))
    return;
  g_message ("machine %s: incarnation %" G_GUINT64_FORMAT
             " expired (its worker lease has run out; reckoned from %s, %.1f s ago)",
             machine->name, machine->incarnation, ft_reachability_lease_event (&machine->reachability),
             (double) (machine->context->now - machine->reachability.lease_from) / FT_SECOND);
  machine->expired_incarnation = machine->incarnation;
}

static void
check_silence (FtMachine *machine)
{
  if (machine->state == FT_MACHINE_UP
      && ft_reachability_silent (&machine->reachability, machine->context, machine->zone_view->unreachable,
                                 machine->reconciled))
    ft_machine_set_state (machine, FT_MACHINE_SILENT, "no heartbeat");
}

void
ft_machine_check_timeouts (FtMachine *machine)
{
  if (machine->state == FT_MACHINE_GONE)
    return; /* a machine that is gone gets no requests */
  check_lease (machine);
  check_silence (machine);
  ft_machine_log_commands_allowed (machine, ft_direct_commands_allowed (machine));
  if (ft_direct_commands_wanted (machine))
    ft_machine_queue_direct_request (machine);
  if (ft_machine_wants_probe (machine))
    ft_machine_queue_probe (machine);
}
