/* Worker heartbeats, and the statuses with which workers answer direct commands: which of them count, and for what.
 *
 * A status counts if it is the newest of its machine: incarnations and sequences only rise, and so do the tokens that a
 * worker has seen. What it says is taken in by concern: that the machine is there and of which incarnation, the
 * attempts on it (attempt_reports.h), whether our answers reach it, and interruption notices
 * (interruption_notice.h). Called by the scheduler. */
#pragma once
#include "core/job_table.h"
#include "core/machine_table.h"
#include "core/spot_risk.h"

typedef struct {
  FtCoreContext *context; /* all borrowed */
  FtMachineTable *machine_table;
  const FtJobTable *job_table;
  FtSpotRisk *spot_risk;
} FtWorkerHeartbeats;

/* The machine that sent it, made at its first heartbeat; the registry has been read. */
FtMachine *ft_worker_heartbeats_machine (FtWorkerHeartbeats *heartbeats, const FtWorkerHeartbeat *heartbeat);

/* Takes in a status of the machine if it is the newest; FALSE: it is not. `is_heartbeat`: it came by itself, not as the
 * answer to a direct command. After TRUE the machine belongs in the registry, and may have become reconciled: the
 * caller tells the registry and the recovery. */
gboolean ft_worker_heartbeats_apply (FtWorkerHeartbeats *heartbeats, FtMachine *machine,
                                     const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat);
