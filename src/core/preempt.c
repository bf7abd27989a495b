/* Makes room for a job that found none: by stopping work of lower priority, or
 * work that another team runs beyond its own guarantee. */
#include "core/model.h"

/* Stopping is worth it only for what has hardly begun and can still be in time
 * when it starts again later. */
static gboolean
cheap_to_stop (const FtScheduler *s, const FtAttempt *victim)
{
  const FtJob *owner = victim->job;
  double ran = victim->running ? (double) (s->now - victim->running_at) / FT_SECOND : 0;
  if (owner->spec->checkpoint_s <= 0 && ran > FT_PREEMPT_RAN_SHARE * owner->spec->estimate_s)
    return FALSE;
  double left = (double) (owner->deadline_at - s->now) / FT_SECOND;
  return owner->deadline_at == 0 || left < 0 || left > FT_PREEMPT_SLACK * owner->spec->estimate_s;
}

static gboolean
may_stop (const FtScheduler *s, const FtJob *job, const FtAttempt *victim)
{
  if (!victim->bound || victim->stop_wanted || victim->job == NULL || victim->exited || !cheap_to_stop (s, victim))
    return FALSE;
  if (job->guaranteed && victim->job->team != job->team && !victim->job->guaranteed)
    return victim->job->team->cpus > victim->job->team->limit->cpus;
  return victim->job->spec->priority < job->spec->priority && !victim->job->guaranteed;
}

static FtAttempt *
youngest_victim (FtScheduler *s, const FtJob *job)
{
  FtAttempt *best = NULL;
  GHashTableIter machines, attempts;
  gpointer m, a;
  g_hash_table_iter_init (&machines, s->machines);
  while (g_hash_table_iter_next (&machines, NULL, &m)) {
    if (!ft_machine_usable (s, m) || !ft_machine_allowed (m, job->spec))
      continue;
    g_hash_table_iter_init (&attempts, ((FtMachine *) m)->attempts);
    while (g_hash_table_iter_next (&attempts, NULL, &a)) {
      FtAttempt *victim = a;
      if (may_stop (s, job, victim) && victim->cpus >= job->spec->cpus
          && (best == NULL || victim->placed_at > best->placed_at))
        best = victim;
    }
  }
  return best;
}

static guint
stops_under_way (FtScheduler *s)
{
  guint n = 0;
  GHashTableIter machines, attempts;
  gpointer m, a;
  g_hash_table_iter_init (&machines, s->machines);
  while (g_hash_table_iter_next (&machines, NULL, &m)) {
    g_hash_table_iter_init (&attempts, ((FtMachine *) m)->attempts);
    while (g_hash_table_iter_next (&attempts, NULL, &a))
      n += ((FtAttempt *) a)->stop_wanted && !((FtAttempt *) a)->exited;
  }
  return n;
}

gboolean
ft_preempt_for (FtScheduler *s, FtJob *job)
{
  if (s->now - job->accepted_at < (gint64) (FT_PREEMPT_AFTER_S * FT_SECOND))
    return FALSE;
  guint wanted = MIN (job->counts[FT_TASK_QUEUED], ft_quota_count (s, job->team, job->spec));
  guint pending = stops_under_way (s);
  gboolean any = FALSE;
  for (; pending < wanted; pending++) {
    FtAttempt *victim = youngest_victim (s, job);
    if (victim == NULL)
      break;
    g_message ("task %s/%u: stopped on %s for job %s", victim->job_ref, victim->index, victim->machine->name,
               job->spec->ref);
    ft_attempt_want_stop (victim, victim->job->spec->checkpoint_s > 0 ? victim->job->spec->save_s : 0);
    any = TRUE;
  }
  return any;
}
