/* Eviction: terminates machines that are of no use any more or endanger a promise.
 *
 * That is a machine that is silent, does not receive our answers, or reports to no controller; one that the cloud has
 * taken back; one that did not come up; one on which a cancelled start may still be executed; and one that is
 * faulty. A leader that is itself cut off must not return a healthy fleet: what is terminated for silence
 * is bounded by a share within a window, unless it may hold work that a user has cancelled.
 *
 * Called by the autoscaler on each tick, also without a valid lease. The calls to the cloud are made by cloud_calls.h.
 */
#pragma once
#include "core/context.h"
#include "core/job_table.h"
#include "core/machine_table.h"
#include "core/recovery.h"

typedef struct {
  FtCoreContext *context; /* borrowed, as all up to the blank line */
  FtMachineTable *machine_table;
  const FtJobTable *job_table;
  const FtRecovery *recovery;

  gint64 window_started_at;      /* when the window began in which terminations for silence are bounded */
  guint window_terminated;       /* machines terminated for silence within it */
  gint64 unseen_cancellation_us; /* age of the oldest cancellation of which tasks may run unseen; 0: none */
  gboolean store_unreachable;    /* the store has not shown cancellations for so long that silent machines must go */
} FtMachineEviction;

/* Terminates what is to be terminated now. */
void ft_machine_eviction_tick (FtMachineEviction *eviction);

/* The machine may hold tasks that a user has cancelled: these must be gone in time, on a silent machine too. */
gboolean ft_machine_eviction_may_hold_cancelled (const FtMachineEviction *eviction, const FtMachine *machine);
