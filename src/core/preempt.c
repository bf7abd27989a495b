/* Makes room for a job that found none: by stopping work of lower priority, or
 * work that another team runs beyond its own guarantee. */
#include "core/scheduler_private.h"

/* Stopping is worth it only for what has hardly begun and can still be in time
 * when it starts again later. */
static gboolean
cheap_to_stop (const FtScheduler *scheduler, const FtAttempt *victim)
{
  const FtJob *owner = victim->job;
  double ran = victim->running ? (double) (scheduler->context.now - victim->running_at) / FT_SECOND : 0;
  if (owner->spec->checkpoint_s <= 0 && ran > FT_PREEMPT_RAN_SHARE * owner->spec->estimate_s)
    return FALSE;
  double left = (double) (owner->deadline_at - scheduler->context.now) / FT_SECOND;
  return owner->deadline_at == 0 || left < 0 || left > FT_PREEMPT_SLACK * owner->spec->estimate_s;
}

static gboolean
may_stop (const FtScheduler *scheduler, const FtJob *job, const FtAttempt *victim)
{
  if (!victim->bound || victim->stop_wanted || victim->job == NULL || victim->exited
      || !cheap_to_stop (scheduler, victim))
    return FALSE;
  if (job->guaranteed && victim->job->team != job->team && !victim->job->guaranteed)
    return victim->job->team->cpus > victim->job->team->limit->cpus;
  return victim->job->priority < job->priority && !victim->job->guaranteed;
}

static gint
youngest_first (gconstpointer a, gconstpointer b)
{
  const FtAttempt *attempt = *(FtAttempt *const *) a, *y = *(FtAttempt *const *) b;
  return attempt->placed_at > y->placed_at ? -1 : attempt->placed_at < y->placed_at;
}

/* All that might be stopped, found once for a pass and not for each job. */
static void
find_victims (FtScheduler *scheduler)
{
  GHashTableIter machines, attempts;
  gpointer m, value;
  scheduler->preemption.victims = g_ptr_array_new ();
  scheduler->preemption.stops_pending = 0;
  g_hash_table_iter_init (&machines, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&machines, NULL, &m)) {
    gboolean usable = ft_machine_usable (scheduler, m);
    g_hash_table_iter_init (&attempts, ((FtMachine *) m)->attempts);
    while (g_hash_table_iter_next (&attempts, NULL, &value)) {
      const FtAttempt *attempt = value;
      scheduler->context.looked_at++;
      scheduler->preemption.stops_pending += attempt->stop_wanted && !attempt->exited;
      if (usable && attempt->bound && !attempt->stop_wanted && !attempt->exited && attempt->job != NULL
          && cheap_to_stop (scheduler, attempt))
        g_ptr_array_add (scheduler->preemption.victims, value);
    }
  }
  g_ptr_array_sort (scheduler->preemption.victims, youngest_first);
}

static FtAttempt *
youngest_victim (FtScheduler *scheduler, const FtJob *job, guint *from)
{
  for (; *from < scheduler->preemption.victims->len; (*from)++) {
    FtAttempt *victim = g_ptr_array_index (scheduler->preemption.victims, *from);
    scheduler->context.looked_at++;
    if (may_stop (scheduler, job, victim) && victim->cpus >= job->spec->cpus
        && ft_machine_allowed (victim->machine, job->spec))
      return victim;
  }
  return NULL;
}

gboolean
ft_preempt_for (FtScheduler *scheduler, FtJob *job)
{
  if (scheduler->context.now - job->ready_at < (gint64) (FT_PREEMPT_AFTER_S * FT_SECOND))
    return FALSE;
  if (scheduler->preemption.victims == NULL)
    find_victims (scheduler);
  guint wanted = MIN (job->counts[FT_TASK_QUEUED], ft_quota_count (scheduler, job->team, job->spec));
  guint from = 0;
  gboolean any = FALSE;
  while (scheduler->preemption.stops_pending < wanted) {
    FtAttempt *victim = youngest_victim (scheduler, job, &from);
    if (victim == NULL)
      break;
    g_message ("task %s/%u: stopped on %s for job %s", victim->job_ref, victim->index, victim->machine->name,
               job->spec->ref);
    ft_attempt_want_stop (victim, victim->job->spec->checkpoint_s > 0 ? victim->job->spec->save_s : 0);
    scheduler->preemption.stops_pending++;
    any = TRUE;
  }
  return any;
}
