/* Reconciliation after a failover.
 *
 * A new leader reads the jobs and the machine registry from the key-value store. The rows do not show which tasks run,
 * since a former leader may have started tasks. A machine is reconciled once it has reported under this leader's
 * fencing token, or once it is certain that no task runs on it. Until every machine of the registry is reconciled, a
 * task in FT_TASK_UNKNOWN is not placed, since it might run twice.
 *
 * This module owns the state of the recovery and the total capacity of the machines that are not reconciled. The
 * scheduler calls it when the rows are loaded and after each event that may reconcile a machine. The quota and the
 * autoscaler read it. */
#pragma once
#include "core/context.h"
#include "core/job_table.h"
#include "core/machine.h"
#include "core/machine_table.h"

typedef enum {
  FT_RECOVERY_LOADING,     /* the leader reads the rows; the machines are not known yet */
  FT_RECOVERY_RECONCILING, /* the rows are read; machines that are not reconciled may run unknown tasks */
  FT_RECOVERY_DONE,        /* every machine has been reconciled; final */
} FtRecoveryState;

typedef struct {
  FtCoreContext *context;        /* borrowed */
  FtMachineTable *machine_table; /* borrowed */
  FtJobTable *job_table;         /* borrowed */
  FtRecoveryState state;         /* changed by set_state() in recovery.c only */
  guint unreconciled;            /* number of machines that are not reconciled */
  double unreconciled_cpus;      /* total CPUs of these machines */
  double unreconciled_gpus;      /* total GPUs of these machines */
} FtRecovery;

/* Initializes a recovery in FT_RECOVERY_LOADING. It borrows the pointers, which must outlive it. */
void ft_recovery_init (FtRecovery *recovery, FtCoreContext *context, FtMachineTable *machine_table,
                       FtJobTable *job_table);

/* Counts the machines and begins the reconciliation, since all rows have been read. */
void ft_recovery_loaded (FtRecovery *recovery);
/* Returns whether all rows have been read, so that the machines of the registry are known. */
gboolean ft_recovery_is_loaded (const FtRecovery *recovery);

/* Returns whether every machine has been reconciled, so that no task can run without the leader's knowledge. */
gboolean ft_recovery_is_done (const FtRecovery *recovery);

/* Recomputes the totals of the machines that are not reconciled. They are kept as totals because each placement reads
 * them. To be called when the machine types change. */
void ft_recovery_recount (FtRecovery *recovery);

/* Subtracts the machine, which is reconciled now, from the totals. */
void ft_recovery_machine_reconciled (FtRecovery *recovery, FtMachine *machine);

/* Ends the recovery if every machine is reconciled: tasks that no machine has shown are queued again. Cheap; to be
 * called after each event that may have reconciled a machine. */
void ft_recovery_tick (FtRecovery *recovery);

/* Sets `cpus` and `gpus` to the total capacity of the machines that are not reconciled; to FT_CAPACITY_UNKNOWN while
 * the rows are being read. */
void ft_recovery_unreconciled_capacity (const FtRecovery *recovery, double *cpus, double *gpus);
