/* Preemption: stops tasks of other jobs to make room for a job that found none.
 *
 * A task may be stopped if its job has a lower priority, or if its team uses more CPUs than its guaranteed share while
 * the job without room is within the guaranteed share of another team. In both cases the job of the task must not be
 * within its own team's guaranteed share. The task must also have run only briefly or save its progress, and must still
 * be in time when it starts again, unless its deadline has passed already. The task that was placed last is stopped
 * first. The placement calls this module for the first jobs of a pass that found no room. */
#pragma once
#include "core/context.h"
#include "core/job.h"
#include "core/machine_table.h"

typedef struct {
  FtCoreContext *context;              /* borrowed */
  const FtMachineTable *machine_table; /* borrowed */
  GPtrArray *victims;  /* FtAttempt that may be stopped in this pass, placed last first; NULL: not collected yet */
  guint stops_pending; /* attempts that are to stop and have not exited; valid while `victims` is not NULL */
} FtPreemption;

/* Stops attempts until as many stops are pending as the job has queued tasks, but at most `quota_left`. Does nothing
 * until the job has been ready for FT_PREEMPT_AFTER_S. */
void ft_preempt_for_job (FtPreemption *preemption, const FtJob *job, guint quota_left);

/* Ends the placement pass: drops the list of attempts that may be stopped. */
void ft_preempt_end_pass (FtPreemption *preemption);
