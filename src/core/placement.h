/* Placement: decides which queued tasks run on which machines.
 *
 * A pass serves the open jobs in the order of placement_rank.h. For each task it samples a few machines that have room
 * and takes the best of them. If fewer machines have room than the sample holds, it examines all machines. A gang is
 * placed with all of its tasks or not at all. For a job that finds no room, other tasks may be preempted (preempt.h).
 *
 * The scheduler runs a pass on each tick, or earlier if the context says that a pass is due. Between passes, a machine
 * is filled when its heartbeat is answered. No task is placed without a valid lease, or before the rows of the store
 * have been read. */
#pragma once
#include "core/context.h"
#include "core/job.h"
#include "core/job_table.h"
#include "core/machine_table.h"
#include "core/preempt.h"
#include "core/quota.h"
#include "core/recovery.h"
#include "core/spot_risk.h"

typedef struct {
  FtCoreContext *context; /* this field and all fields up to the blank line are borrowed */
  const FtMachineTable *machine_table;
  const FtJobTable *job_table;
  const FtQuota *quota;
  const FtRecovery *recovery;
  const FtSpotRisk *spot_risk;
  FtPreemption *preemption;

  gint64 pass;          /* number of the present pass */
  GPtrArray *order;     /* FtJob: the open jobs in the order in which the last pass served them */
  GPtrArray *waiting;   /* FtJob: the jobs in `order` that had tasks to place when the last pass began */
  gint64 next_pass;     /* earliest time of the next pass on request, in microseconds */
  gint64 next_preempt;  /* earliest time of the next pass that may preempt tasks, in microseconds */
  guint64 next_attempt; /* lower bits of the next attempt number */
} FtPlacement;

/* Initializes the placement; the caller sets the borrowed fields. */
void ft_placement_init (FtPlacement *placement);

/* Frees the arrays that the placement owns. */
void ft_placement_clear (FtPlacement *placement);

/* Runs a pass: sorts the open jobs and places the tasks for which there is room. */
void ft_placement_pass (FtPlacement *placement);

/* Places tasks on one machine that may have free room, without a pass over all machines. */
void ft_placement_fill (FtPlacement *placement, FtMachine *machine);

/* Returns how many more tasks of `spec` the team's quota allows now. */
guint ft_placement_quota_left (const FtPlacement *placement, const FtTeam *team, const FtJobSpec *spec);

/* The job is about to be freed: removes it from the arrays of the placement. */
void ft_placement_job_removed (FtPlacement *placement, FtJob *job);
