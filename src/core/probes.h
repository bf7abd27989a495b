/* Probes: direct requests without commands. The worker answers a probe with its status.
 *
 * A machine is probed while it is not reconciled after a failover, while it seems not to receive our answers, and while
 * its heartbeat is overdue. A probe shows whether the machine is lost or only its heartbeats or our answers are. The
 * scheduler's tick puts machines into the queue of probes; ft_probes_next() takes them out. */
#pragma once
#include "core/direct_command.h"
#include "core/machine.h"

typedef struct {
  guint in_flight; /* at most FT_PROBES_MAX, so that unanswered probes do not block other requests */
} FtProbes;

/* Whether a probe of the machine is needed and due now. */
gboolean ft_machine_wants_probe (const FtMachine *machine);

/* Returns the next probe to send to a machine in the queue; new. NULL: no probe is due, or too many are in flight. */
FtDirectRequest *ft_probes_next (FtProbes *probes, FtMachineQueues *queues);

/* Records that a request to the machine got no answer. It counts only if the machine needs probes. */
void ft_probes_unanswered (FtMachine *machine);

/* Queues the machine for another probe at once, after it has refused a request and its answer has named its current
 * incarnation. */
void ft_probes_retry_now (FtMachine *machine);
