/* The commands in the answer to a worker heartbeat. They are executed before the next heartbeat or never.
 *
 * Called by the scheduler once the heartbeat has been taken in. */
#pragma once
#include "core/machine_table.h"
#include "core/placement.h"

/* The commands for that heartbeat's answer: a new array of FtCommand, empty for a heartbeat that is not its machine's
 * newest. What the heartbeat has freed is filled first. */
GArray *ft_heartbeat_answer (FtMachineTable *table, FtPlacement *placement, const FtWorkerHeartbeat *heartbeat);
