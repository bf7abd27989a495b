/* Reconciliation after a failover.
 *
 * A new leader reads jobs and the machine registry from the key-value store, and then does not know
 * which tasks run: a former leader may have started them. Until every machine of the registry is
 * reconciled (has reported under our fencing token, or is certainly empty) a task in FT_TASK_UNKNOWN is not
 * placed again, since it might then run twice.
 *
 * Owns the state of that procedure and what the machines not yet reconciled can hold. Called by the
 * scheduler when the rows are loaded and after each event that may reconcile a machine; quota and
 * autoscaler read it. */
#pragma once
#include "core/context.h"
#include "core/job_table.h"
#include "core/machine.h"
#include "core/machine_table.h"

typedef enum {
  FT_RECOVERY_LOADING,     /* the rows are being read: nothing is known of the machines */
  FT_RECOVERY_RECONCILING, /* the rows are read; some machines may run tasks unseen */
  FT_RECOVERY_DONE,        /* all machines were reconciled once; final */
} FtRecoveryState;

typedef struct {
  FtCoreContext *context;        /* borrowed */
  FtMachineTable *machine_table; /* borrowed */
  FtJobTable *job_table;         /* borrowed */
  FtRecoveryState state;         /* changed by set_state() in recovery.c only */
  guint unreconciled;            /* machines that are not reconciled, and what they can hold */
  double unreconciled_cpus, unreconciled_gpus;
} FtRecovery;

/* In FT_RECOVERY_LOADING. The pointers are borrowed and must outlive it. */
void ft_recovery_init (FtRecovery *recovery, FtCoreContext *context, FtMachineTable *machine_table,
                       FtJobTable *job_table);

/* All rows have been read: counts the machines and waits for them to be reconciled. */
void ft_recovery_loaded (FtRecovery *recovery);
/* TRUE once all rows have been read: the machines of the registry are known. */
gboolean ft_recovery_is_loaded (const FtRecovery *recovery);

/* TRUE once all machines were reconciled: no task can run unseen any more. */
gboolean ft_recovery_is_done (const FtRecovery *recovery);

/* Counts the machines that may run tasks unseen, and what they can hold. Kept as totals, since each placement reads
 * them. To be called when the machine types change. */
void ft_recovery_recount (FtRecovery *recovery);

/* The machine is reconciled: takes it out of the totals. */
void ft_recovery_machine_reconciled (FtRecovery *recovery, FtMachine *machine);

/* Ends the recovery if every machine is reconciled: tasks that no machine has shown are queued
 * again. Cheap; called after each event that may have reconciled a machine. */
void ft_recovery_tick (FtRecovery *recovery);

/* What the machines that are not reconciled can hold, at most; FT_CAPACITY_UNKNOWN while the rows
 * are being read. */
void ft_recovery_unreconciled_capacity (const FtRecovery *recovery, double *cpus, double *gpus);
