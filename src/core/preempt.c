#include "core/preempt.h"

#include "core/attempt_lifecycle.h"
#include "core/quota.h"

/* Returns TRUE if stopping the attempt loses little: it has run only briefly or saves its progress, and its job has no
 * deadline, or has missed it already, or can still be in time when the task starts again later. */
static gboolean
cheap_to_stop (const FtAttempt *victim, gint64 now)
{
  const FtJob *victim_job = victim->job;
  double ran = victim->running ? (double) (now - victim->running_at) / FT_SECOND : 0;
  if (victim_job->spec->checkpoint_interval_s <= 0 && ran > FT_PREEMPT_RAN_SHARE * victim_job->spec->estimate_s)
    return FALSE;
  double left = (double) (victim_job->deadline_at - now) / FT_SECOND;
  return victim_job->deadline_at == 0 || left < 0 || left > FT_PREEMPT_SLACK * victim_job->spec->estimate_s;
}

/* Returns TRUE if the attempt may be stopped for the job. */
static gboolean
may_stop (const FtJob *job, const FtAttempt *victim, gint64 now)
{
  if (!victim->bound || ft_attempt_stop_requested (victim) || victim->job == NULL || ft_attempt_has_exited (victim)
      || !cheap_to_stop (victim, now))
    return FALSE;
  if (job->guaranteed && victim->job->team != job->team && !victim->job->guaranteed)
    return victim->job->team->cpus > victim->job->team->limit->cpus;
  return victim->job->priority < job->priority && !victim->job->guaranteed;
}

static gint
youngest_first (gconstpointer first_element, gconstpointer second_element)
{
  const FtAttempt *first = *(FtAttempt *const *) first_element;
  const FtAttempt *second = *(FtAttempt *const *) second_element;
  return first->placed_at > second->placed_at ? -1 : first->placed_at < second->placed_at;
}

/* Collects all attempts that may be stopped. It runs once for a pass, not once for each job, because it examines all
 * attempts. */
static void
collect_victims (FtPreemption *preemption)
{
  GHashTableIter machines, attempts;
  gpointer machine, value;
  preemption->victims = g_ptr_array_new ();
  preemption->stops_pending = 0;
  g_hash_table_iter_init (&machines, preemption->machine_table->machines);
  while (g_hash_table_iter_next (&machines, NULL, &machine)) {
    gboolean usable = ft_machine_usable (machine);
    g_hash_table_iter_init (&attempts, ((FtMachine *) machine)->attempts);
    while (g_hash_table_iter_next (&attempts, NULL, &value)) {
      const FtAttempt *attempt = value;
      preemption->context->examined_count++;
      preemption->stops_pending += ft_attempt_stop_requested (attempt) && !ft_attempt_has_exited (attempt);
      if (usable && attempt->bound && !ft_attempt_stop_requested (attempt) && !ft_attempt_has_exited (attempt)
          && attempt->job != NULL && cheap_to_stop (attempt, preemption->context->now))
        g_ptr_array_add (preemption->victims, value);
    }
  }
  g_ptr_array_sort (preemption->victims, youngest_first);
}

/* Returns the attempt that was placed last among those that may be stopped for the job and whose machine it may use.
 * The search begins at index `position` and leaves `position` at the index of the result. NULL: there is none. */
static FtAttempt *
youngest_victim (FtPreemption *preemption, const FtJob *job, guint *position)
{
  for (; *position < preemption->victims->len; (*position)++) {
    FtAttempt *victim = g_ptr_array_index (preemption->victims, *position);
    preemption->context->examined_count++;
    if (may_stop (job, victim, preemption->context->now) && victim->cpus >= job->spec->cpus
        && ft_machine_allowed (victim->machine, job->spec))
      return victim;
  }
  return NULL;
}

void
ft_preempt_for_job (FtPreemption *preemption, const FtJob *job, guint quota_left)
{
  if (preemption->context->now - job->ready_at < ft_seconds (FT_PREEMPT_AFTER_S))
    return;
  if (preemption->victims == NULL)
    collect_victims (preemption);
  guint wanted = MIN (job->counts[FT_TASK_QUEUED], quota_left);
  guint position = 0;
  while (preemption->stops_pending < wanted) {
    FtAttempt *victim = youngest_victim (preemption, job, &position);
    if (victim == NULL)
      break;
    g_message ("task %s/%u: stopped on %s (preempted for job %s)", victim->job_ref, victim->index,
               victim->machine->name, job->spec->ref);
    ft_attempt_request_stop (
        victim, victim->job->spec->checkpoint_interval_s > 0 ? victim->job->spec->checkpoint_duration_s : 0);
    preemption->stops_pending++;
  }
}

void
ft_preempt_end_pass (FtPreemption *preemption)
{
  g_clear_pointer (&preemption->victims, g_ptr_array_unref);
}
