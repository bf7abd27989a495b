/* The commands in the answer to a worker heartbeat. The worker executes them before it sends its next heartbeat, or
 * never.
 *
 * Called by the scheduler once the heartbeat has been applied. */
#pragma once
#include "core/machine_table.h"
#include "core/placement.h"

/* Returns the commands for the answer to the heartbeat: a new array of FtCommand. NULL: the heartbeat must not be
 * answered with status 200, which would renew the worker's lease, since it has not been applied and no newer status of
 * its incarnation has. The commands stop each task that the heartbeat shows and that may not run. Room on the machine
 * that the heartbeat has shown to be free is filled first. */
GArray *ft_heartbeat_answer (FtMachineTable *table, FtPlacement *placement, const FtWorkerHeartbeat *heartbeat);

/* Returns the worker token that the answer to the heartbeat carries. Called after ft_heartbeat_answer(), which may
 * renew the token of the machine. */
guint64 ft_heartbeat_answer_token (const FtMachineTable *table, const FtWorkerHeartbeat *heartbeat);
