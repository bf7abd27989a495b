/* Eviction: terminates machines that are lost, unusable, or may run cancelled work.
 *
 * The reasons are: the machine is silent, does not receive our answers, or reports to no controller; the cloud has
 * taken it back; it did not boot in time; a cancelled start may still be executed on it; its type
 * is unknown; or it is faulty. A leader that
 * is itself cut off must not return a healthy fleet. The number of machines that are terminated for silence within a
 * window is therefore bounded by a share of the fleet. The bound does not apply to machines that may hold cancelled
 * work.
 *
 * Called by the autoscaler on each tick, also without a valid lease. The calls to the cloud are made by cloud_calls.h.
 */
#pragma once
#include "core/context.h"
#include "core/job_table.h"
#include "core/machine_table.h"
#include "core/recovery.h"

typedef struct {
  FtCoreContext *context; /* borrowed, like the other fields up to the blank line */
  FtMachineTable *machine_table;
  const FtJobTable *job_table;
  const FtRecovery *recovery;

  gint64 window_started_at;      /* start of the window that bounds terminations for silence, in microseconds */
  guint window_terminated;       /* machines terminated for silence within the window */
  gint64 unseen_cancellation_us; /* age of the oldest cancelled job with tasks in FT_TASK_UNKNOWN; 0: none */
  gboolean store_unreachable;    /* cancellations could not be read from the store for too long */
} FtMachineEviction;

/* Whether the machine may run a task whose job was cancelled at `before`, in microseconds, or earlier. */
gboolean ft_machine_eviction_holds_cancelled (const FtMachine *machine, gint64 before);

/* Terminates each machine that has a reason to be terminated now. */
void ft_machine_eviction_tick (FtMachineEviction *eviction);

/* Whether the machine may hold tasks that a user has cancelled. Cancelled tasks must end within cancel_s, on a silent
 * machine too. */
gboolean ft_machine_eviction_may_hold_cancelled (const FtMachineEviction *eviction, const FtMachine *machine);
