/* The composition of a scheduler: one of each of the core's modules. The modules borrow from each other the pointers
 * that they are given at creation. All modules belong to one leadership and are freed together with the scheduler.
 * Used by the scheduler's own sources, and by tests that check the state of a module. */
#pragma once
#include "core/autoscaler.h"
#include "core/context.h"
#include "core/job_table.h"
#include "core/machine.h"
#include "core/machine_table.h"
#include "core/placement.h"
#include "core/preempt.h"
#include "core/quota.h"
#include "core/recovery.h"
#include "core/registry.h"
#include "core/probes.h"
#include "core/scheduler.h"
#include "core/spot_risk.h"
#include "core/worker_heartbeats.h"
#include "core/write_queue.h"

struct _FtScheduler {
  FtCoreContext context;
  FtQuota quota;
  FtJobTable job_table;
  FtMachineQueues machine_queues;
  FtMachineTable machine_table;
  FtSpotRisk spot_risk;
  FtRegistry registry;
  FtRecovery recovery;
  FtWriteQueue write_queue;
  FtWorkerHeartbeats worker_heartbeats;
  FtProbes probes;
  FtPreemption preemption;
  FtPlacement placement;
  FtAutoscaler autoscaler;
};

/* The machine has been returned to the cloud or has failed: updates all modules that it concerns. `reason` goes to the
 * log. */
void ft_scheduler_machine_gone (FtScheduler *scheduler, FtMachine *machine, const char *reason);
