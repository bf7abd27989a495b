/* After a takeover: every machine of the registry is reconciled before a task
 * that might be running unseen is placed again. */
#include "core/scheduler_private.h"

static void
count (FtRecovery *recovery, FtMachine *machine, int sign)
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
    count (recovery, machine, -1);
}

/* Counts the machines that may run tasks we do not see, and what they can hold:
 * kept, since each placement asks. Called when the registry is read and when the
 * catalog changes. */
void
ft_recovery_recount (FtScheduler *scheduler)
{
  GHashTableIter it;
  gpointer value;
  scheduler->recovery.unreconciled = 0;
  scheduler->recovery.unreconciled_cpus = scheduler->recovery.unreconciled_gpus = 0;
  if (scheduler->recovery.recovered)
    return;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    machine->counted_unreconciled = FALSE;
    if (!machine->reconciled)
      count (&scheduler->recovery, machine, 1);
  }
}

gboolean
ft_recovery_is_loaded (const FtRecovery *recovery)
{
  return recovery->loaded;
}

gboolean
ft_recovery_is_done (const FtRecovery *recovery)
{
  return recovery->recovered;
}

void
ft_recovery_unreconciled (const FtRecovery *recovery, double *cpus, double *gpus)
{
  *cpus = recovery->loaded ? recovery->unreconciled_cpus : FT_CAPACITY_UNKNOWN;
  *gpus = recovery->loaded ? recovery->unreconciled_gpus : FT_CAPACITY_UNKNOWN;
}

static void
requeue_unknown_tasks (FtJob *job)
{
  FtTaskState to = job->state < FT_JOB_CANCELLING ? FT_TASK_QUEUED : FT_TASK_CANCELLED;
  for (guint i = 0; i < job->spec->tasks && job->counts[FT_TASK_UNKNOWN] > 0; i++)
    if (job->tasks[i].state == FT_TASK_UNKNOWN)
      ft_task_set_state (job, i, to);
}

void
ft_recovery_tick (FtScheduler *scheduler)
{
  if (scheduler->recovery.recovered || !scheduler->recovery.loaded || scheduler->recovery.unreconciled > 0)
    return;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->job_table.jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    requeue_unknown_tasks (value);
  scheduler->recovery.recovered = scheduler->context.placement_due = TRUE;
  g_message ("recovery: all machines accounted for under token %" G_GUINT64_FORMAT, scheduler->context.token);
}
