/* What a scheduler is composed of: one of each of the core's modules, which borrow from each other what
 * they are given at creation. All of it belongs to one leadership and is freed with it. For the
 * scheduler's own sources and for tests that look inside. */
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

/* The machine has been returned or has failed: tells all modules that it concerns. */
void ft_scheduler_machine_gone (FtScheduler *scheduler, FtMachine *machine, const char *reason);
