/* Applies the task list of a worker heartbeat to the attempts on the worker's machine: attempts appear, progress, exit
 * or are missing from the list.
 *
 * An attempt of an earlier leadership is adopted if its task has no other attempt, and stopped if it has one. A failed
 * task is placed again only after a backoff, and its failure may count against the machine (see fault.h). The worker
 * heartbeats call this module for each status that shows this leader's fencing token. */
#pragma once
#include "core/job_table.h"
#include "core/machine_table.h"

/* Applies the task list of the machine's newest status. `is_heartbeat` is TRUE for a heartbeat, and FALSE for the
 * answer to a direct request. */
void ft_attempt_reports_apply (const FtMachineTable *table, const FtJobTable *job_table, FtMachine *machine,
                               const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat);
