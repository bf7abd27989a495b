/* Preemption: makes room for a job that found none.
 *
 * Work of lower priority may be stopped, or work that another team runs beyond its own guarantee;
 * but only what has hardly begun, or saves its progress, and can still be in time when it starts
 * again. The youngest is stopped first. Called by the placement for the first jobs of a pass that found no room. */
#pragma once
#include "core/context.h"
#include "core/job.h"
#include "core/machine_table.h"

typedef struct {
  FtCoreContext *context;              /* borrowed */
  const FtMachineTable *machine_table; /* borrowed */
  GPtrArray *victims;  /* within a pass: FtAttempt that may be stopped, youngest first; NULL: not made */
  guint stops_pending; /* with `victims`: stops under way */
} FtPreemption;

/* Stops work until as many stops are under way as the job has queued tasks, `quota_left` at most. */
void ft_preempt_for_job (FtPreemption *preemption, const FtJob *job, guint quota_left);

/* The placement pass is over: the attempts found in it are forgotten. */
void ft_preempt_end_pass (FtPreemption *preemption);
