#include "core/recovery.h"

static const char *const state_names[] = { "loading", "reconciling", "done" };

void
ft_recovery_init (FtRecovery *recovery, FtCoreContext *context, FtMachineTable *machine_table, FtJobTable *job_table)
{
  recovery->context = context;
  recovery->machine_table = machine_table;
  recovery->job_table = job_table;
  recovery->state = FT_RECOVERY_LOADING;
}

/* Changes the state, which may only become the next one in order; no other function does. */
static void
set_state (FtRecovery *recovery, FtRecoveryState to)
{
  g_return_if_fail (to == recovery->state + 1);
  g_message ("recovery: %s -> %s (token %" G_GUINT64_FORMAT ", %u machines not reconciled)",
             state_names[recovery->state], state_names[to], recovery->context->token, recovery->unreconciled);
  recovery->state = to;
  recovery->context->placement_due = TRUE;
}

gboolean
ft_recovery_is_loaded (const FtRecovery *recovery)
{
  return recovery->state != FT_RECOVERY_LOADING;
}

gboolean
ft_recovery_is_done (const FtRecovery *recovery)
{
  return recovery->state == FT_RECOVERY_DONE;
}

/* ---- machines that are not reconciled ---- */

/* Adds the machine to the totals (`sign` 1), or subtracts it (`sign` -1). */
static void
count_machine (FtRecovery *recovery, FtMachine *machine, int sign)
{
  machine->counted_unreconciled = sign > 0;
  recovery->unreconciled += (guint) sign;
  recovery->unreconciled_cpus += sign * (machine->type != NULL ? machine->type->cpus : FT_CAPACITY_UNKNOWN);
  recovery->unreconciled_gpus += sign * (machine->type != NULL ? machine->type->gpus : FT_CAPACITY_UNKNOWN);
}

void
ft_recovery_machine_reconciled (FtRecovery *recovery, FtMachine *machine)
{
  if (machine->counted_unreconciled)
    count_machine (recovery, machine, -1);
}

void
ft_recovery_recount (FtRecovery *recovery)
{
  GHashTableIter it;
  gpointer value;
  recovery->unreconciled = 0;
  recovery->unreconciled_cpus = recovery->unreconciled_gpus = 0;
  if (recovery->state == FT_RECOVERY_DONE)
    return;
  g_hash_table_iter_init (&it, recovery->machine_table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    machine->counted_unreconciled = FALSE;
    if (!machine->reconciled)
      count_machine (recovery, machine, 1);
  }
}

void
ft_recovery_unreconciled_capacity (const FtRecovery *recovery, double *cpus, double *gpus)
{
  gboolean loaded = ft_recovery_is_loaded (recovery);
  *cpus = loaded ? recovery->unreconciled_cpus : FT_CAPACITY_UNKNOWN;
  *gpus = loaded ? recovery->unreconciled_gpus : FT_CAPACITY_UNKNOWN;
}

/* ---- progress of the recovery ---- */

void
ft_recovery_loaded (FtRecovery *recovery)
{
  ft_recovery_recount (recovery);
  if (recovery->state == FT_RECOVERY_LOADING)
    set_state (recovery, FT_RECOVERY_RECONCILING);
}

/* Queues the unknown tasks of a job again, or cancels them if the job is being cancelled. */
static void
requeue_unknown_tasks (FtJob *job)
{
  FtTaskState to = job->state < FT_JOB_CANCELLING ? FT_TASK_QUEUED : FT_TASK_CANCELLED;
  for (guint i = 0; i < job->spec->tasks && job->counts[FT_TASK_UNKNOWN] > 0; i++)
    if (job->tasks[i].state == FT_TASK_UNKNOWN)
      ft_task_set_state (job, i, to);
}

void
ft_recovery_tick (FtRecovery *recovery)
{
  if (recovery->state != FT_RECOVERY_RECONCILING || recovery->unreconciled > 0)
    return;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, recovery->job_table->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    requeue_unknown_tasks (value);
  set_state (recovery, FT_RECOVERY_DONE);
}
