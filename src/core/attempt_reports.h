/* What the task list of a worker heartbeat says of the attempts on its machine: they begin, go on, end, or are not
 * there.
 *
 * Attempts of an earlier leadership are adopted if their task is free, and stopped if it is not. Failed tasks
 * are put off and count against their machine (fault.h). Called for each heartbeat that shows our token. */
#pragma once
#include "core/job_table.h"
#include "core/machine_table.h"

/* Takes in the list of the machine's newest heartbeat. `is_heartbeat`: it came by itself, not as the answer to a
 * direct command. */
void ft_attempt_reports_apply (const FtMachineTable *table, const FtJobTable *job_table, FtMachine *machine,
                               const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat);
