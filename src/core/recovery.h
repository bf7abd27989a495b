/* After a takeover: what is still to be reconciled. */
#pragma once
#include <glib.h>

typedef struct _FtScheduler FtScheduler;
typedef struct _FtMachine FtMachine;

typedef struct {
  gboolean loaded, recovered;
  guint unreconciled; /* machines not reconciled, and what they can hold */
  double unreconciled_cpus, unreconciled_gpus;
} FtRecovery;

void ft_recovery_tick (FtScheduler *scheduler);
void ft_recovery_recount (FtScheduler *scheduler);
void ft_recovery_machine_reconciled (FtRecovery *recovery, FtMachine *machine);
gboolean ft_recovery_is_loaded (const FtRecovery *recovery);
gboolean ft_recovery_is_done (const FtRecovery *recovery);
void ft_recovery_unreconciled (const FtRecovery *recovery, double *cpus, double *gpus);
