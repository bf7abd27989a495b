/* Probes: requests without commands, whose answer is the worker's status.
 *
 * A machine is probed while it is not reconciled after a failover, while it seems not to receive our answers, and when
 * its heartbeat is overdue: the probe tells whether the machine or only the exchange is lost. The scheduler's tick puts
 * machines in the queue of probes; the command queue takes them out. */
#pragma once
#include "core/direct_command.h"
#include "core/machine.h"

typedef struct {
  guint in_flight; /* bounded, so that machines that do not answer keep out no others */
} FtProbes;

/* The machine is to be probed now. */
gboolean ft_machine_wants_probe (const FtMachine *machine);

/* The next probe to send, of the machines in the queue: new; NULL: none. */
FtDirectRequest *ft_probes_next (FtProbes *probes, FtMachineQueues *queues);

/* A request to the machine got no answer. */
void ft_probes_unanswered (FtMachine *machine);

/* The machine refused a request for its incarnation, which it has named: it is probed again at once. */
void ft_probes_retry_now (FtMachine *machine);
