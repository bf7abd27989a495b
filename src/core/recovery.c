/* After a takeover: every machine of the roster is accounted for before a task
 * that might be running unseen is placed again. */
#include "core/model.h"

/* Capacity of the machines that may run tasks we do not see. */
void
ft_recovery_unaccounted (const FtScheduler *s, double *cpus, double *gpus)
{
  *cpus = *gpus = 0;
  if (s->recovered)
    return;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *m = value;
    if (m->accounted)
      continue;
    *cpus += m->type != NULL ? m->type->cpus : G_MAXUINT16;
    *gpus += m->type != NULL ? m->type->gpus : G_MAXUINT16;
  }
  if (!s->loaded)
    *cpus = *gpus = G_MAXUINT16;
}

static gboolean
all_accounted (FtScheduler *s)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (!((FtMachine *) value)->accounted)
      return FALSE;
  return TRUE;
}

static void
settle_job (FtJob *job)
{
  FtTaskState to = job->state == FT_JOB_OPEN ? FT_TASK_QUEUED : FT_TASK_DROPPED;
  for (guint i = 0; i < job->spec->tasks && job->counts[FT_TASK_UNKNOWN] > 0; i++)
    if (job->tasks[i].state == FT_TASK_UNKNOWN)
      ft_task_set_state (job, i, to);
}

void
ft_recovery_tick (FtScheduler *s)
{
  if (s->recovered || !s->loaded || !all_accounted (s))
    return;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value))
    settle_job (value);
  s->recovered = s->dirty = TRUE;
  g_message ("recovery: all machines accounted for under token %" G_GUINT64_FORMAT, s->token);
}
