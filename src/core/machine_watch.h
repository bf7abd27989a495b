/* What becomes of a machine with time alone, without any event: its worker's lease runs out, it falls silent, and what
 * could not be sent when it came up is sent. */
#pragma once
#include "core/machine.h"

/* Called by the scheduler for each machine on each tick, after the zones have been updated. */
void ft_machine_check_timeouts (FtMachine *machine);
