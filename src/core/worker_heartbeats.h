/* Applies the statuses of workers, which arrive in heartbeats and in the answers to direct requests.
 *
 * A status counts only if it is the newest of its machine: incarnations and sequences only rise, and so do the tokens
 * that a worker has seen. A status updates the machine's state and incarnation, the attempts on the machine
 * (attempt_reports.h), and the machine's reachability (reachability.h). A heartbeat may also carry an interruption
 * notice (interruption_notice.h). Called by the scheduler. */
#pragma once
#include "core/job_table.h"
#include "core/machine_table.h"
#include "core/spot_risk.h"

typedef struct {
  FtCoreContext *context; /* all fields are borrowed */
  FtMachineTable *machine_table;
  const FtJobTable *job_table;
  FtSpotRisk *spot_risk;
} FtWorkerHeartbeats;

/* Returns the machine that sent the heartbeat, and adds it to the machine table at its first heartbeat; borrowed. The
 * registry must have been read. */
FtMachine *ft_worker_heartbeats_machine (FtWorkerHeartbeats *heartbeats, const FtWorkerHeartbeat *heartbeat);

/* Applies a status of the machine if it is the newest. `is_heartbeat`: the status came in a heartbeat, not in the
 * answer to a direct request. If the function returns FT_HEARTBEAT_APPLIED, the caller adds the machine to the
 * registry, and notifies the recovery if the machine is reconciled. Any other outcome is why the status has changed
 * nothing. */
FtHeartbeatOutcome ft_worker_heartbeats_apply (FtWorkerHeartbeats *heartbeats, FtMachine *machine,
                                               const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat);
