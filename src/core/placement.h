/* Which queued tasks go to which machines.
 *
 * A pass serves the open jobs in the order of placement_rank.h. A task takes the best of a few sampled machines that
 * have room; all machines are looked at if none of the sample has any. Gangs are placed with all of their tasks or not
 * at all. What found no room may stop other work (preempt.h).
 *
 * A pass is run by the scheduler on a tick, or earlier if the context says that one is due. Between passes the answer
 * to a machine's heartbeat has that machine filled. Nothing is placed without a valid lease, or before the rows of the
 * store are read. */
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
  FtCoreContext *context; /* borrowed, as all up to the blank line */
  const FtMachineTable *machine_table;
  const FtJobTable *job_table;
  const FtQuota *quota;
  const FtRecovery *recovery;
  const FtSpotRisk *spot_risk;
  FtPreemption *preemption;

  gint64 pass;        /* number of the present pass */
  GPtrArray *order;   /* FtJob: open jobs in order of placement, as of the last pass */
  GPtrArray *waiting; /* FtJob: those of them that had tasks to place */
  gint64 next_pass, next_preempt;
  guint64 next_attempt;
} FtPlacement;

/* The borrowed fields are set by the caller. */
void ft_placement_init (FtPlacement *placement);

/* Frees what it owns. */
void ft_placement_clear (FtPlacement *placement);

/* Orders the open jobs anew and places what there is room for. */
void ft_placement_pass (FtPlacement *placement);

/* Fills one machine again, without a pass over all. */
void ft_placement_fill (FtPlacement *placement, FtMachine *machine);

/* How many more tasks of this kind the team's quota allows now. */
guint ft_placement_quota_left (const FtPlacement *placement, const FtTeam *team, const FtJobSpec *spec);

/* The job is about to be freed. */
void ft_placement_job_removed (FtPlacement *placement, FtJob *job);
