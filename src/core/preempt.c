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
  return victim->job->priority < job->priority && !victim->job->guaranteed;
}

static gint
youngest_first (gconstpointer a, gconstpointer b)
{
  const FtAttempt *x = *(FtAttempt *const *) a, *y = *(FtAttempt *const *) b;
  return x->placed_at > y->placed_at ? -1 : x->placed_at < y->placed_at;
}

/* All that might be stopped, found once for a pass and not for each job. */
static void
find_victims (FtScheduler *s)
{
  GHashTableIter machines, attempts;
  gpointer m, value;
  s->victims = g_ptr_array_new ();
  s->stops_pending = 0;
  g_hash_table_iter_init (&machines, s->machines);
  while (g_hash_table_iter_next (&machines, NULL, &m)) {
    gboolean usable = ft_machine_usable (s, m);
    g_hash_table_iter_init (&attempts, ((FtMachine *) m)->attempts);
    while (g_hash_table_iter_next (&attempts, NULL, &value)) {
      const FtAttempt *a = value;
      s->looked_at++;
      s->stops_pending += a->stop_wanted && !a->exited;
      if (usable && a->bound && !a->stop_wanted && !a->exited && a->job != NULL && cheap_to_stop (s, a))
        g_ptr_array_add (s->victims, value);
    }
  }
  g_ptr_array_sort (s->victims, youngest_first);
}

static FtAttempt *
youngest_victim (FtScheduler *s, const FtJob *job, guint *from)
{
  for (; *from < s->victims->len; (*from)++) {
    FtAttempt *victim = g_ptr_array_index (s->victims, *from);
    s->looked_at++;
    if (may_stop (s, job, victim) && victim->cpus >= job->spec->cpus && ft_machine_allowed (victim->machine, job->spec))
      return victim;
  }
  return NULL;
}

gboolean
ft_preempt_for (FtScheduler *s, FtJob *job)
{
  if (s->now - job->ready_at < (gint64) (FT_PREEMPT_AFTER_S * FT_SECOND))
    return FALSE;
  if (s->victims == NULL)
    find_victims (s);
  guint wanted = MIN (job->counts[FT_TASK_QUEUED], ft_quota_count (s, job->team, job->spec));
  guint from = 0;
  gboolean any = FALSE;
  while (s->stops_pending < wanted) {
    FtAttempt *victim = youngest_victim (s, job, &from);
    if (victim == NULL)
      break;
    g_message ("task %s/%u: stopped on %s for job %s", victim->job_ref, victim->index, victim->machine->name,
               job->spec->ref);
    ft_attempt_want_stop (victim, victim->job->spec->checkpoint_s > 0 ? victim->job->spec->save_s : 0);
    s->stops_pending++;
    any = TRUE;
  }
  return any;
}
