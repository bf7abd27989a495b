/* Time-driven changes of a machine: its worker lease expires, or it becomes silent. This module also queues the machine
 * for commands that could not be sent earlier, and for probes that are due. */
#pragma once
#include "core/machine.h"

/* Checks the machine's worker lease and its silence, and queues it for the requests that it needs. Called by the
 * scheduler for each machine on each tick, after ft_zones_update(). */
void ft_machine_check_timeouts (FtMachine *machine);
