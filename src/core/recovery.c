/* After a takeover: every machine of the registry is reconciled before a task
 * that might be running unseen is placed again. */
#include "core/model.h"

static void
count (FtMachine *m, int sign)
{
  FtScheduler *s = m->scheduler;
  m->counted_unreconciled = sign > 0;
  s->unreconciled += (guint) sign;
  s->unreconciled_cpus += sign * (m->type != NULL ? m->type->cpus : FT_CAPACITY_UNKNOWN);
  s->unreconciled_gpus += sign * (m->type != NULL ? m->type->gpus : FT_CAPACITY_UNKNOWN);
}

void
ft_recovery_uncount (FtMachine *machine)
{
  if (machine->counted_unreconciled)
    count (machine, -1);
}

/* Counts the machines that may run tasks we do not see, and what they can hold:
 * kept, since each placement asks. Called when the registry is read and when the
 * catalog changes. */
void
ft_recovery_recount (FtScheduler *s)
{
  GHashTableIter it;
  gpointer value;
  s->unreconciled = 0;
  s->unreconciled_cpus = s->unreconciled_gpus = 0;
  if (s->recovered)
    return;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *m = value;
    m->counted_unreconciled = FALSE;
    if (!m->reconciled)
      count (m, 1);
  }
}

void
ft_recovery_unreconciled (const FtScheduler *s, double *cpus, double *gpus)
{
  *cpus = s->loaded ? s->unreconciled_cpus : FT_CAPACITY_UNKNOWN;
  *gpus = s->loaded ? s->unreconciled_gpus : FT_CAPACITY_UNKNOWN;
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
ft_recovery_tick (FtScheduler *s)
{
  if (s->recovered || !s->loaded || s->unreconciled > 0)
    return;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    requeue_unknown_tasks (value);
  s->recovered = s->placement_due = TRUE;
  g_message ("recovery: all machines accounted for under token %" G_GUINT64_FORMAT, s->token);
}
