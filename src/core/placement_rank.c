#include "core/placement_rank.h"

#include "core/constants.h"

/* In overload, earliest deadline first makes every job late. What cannot be in
 * time any more lets pass what still can, for a bounded time. */
static gboolean
is_too_late (const FtJob *job, gint64 now)
{
  if (job->deadline_at == 0)
    return FALSE;
  gint64 still_needed = (gint64) (job->spec->estimate_s * FT_TOO_LATE_SHARE * FT_SECOND);
  gint64 patience = (gint64) (FT_TOO_LATE_DEFERRAL * (double) (job->deadline_at - job->accepted_at));
  return now + still_needed > job->deadline_at && now < job->deadline_at + patience;
}

void
ft_placement_rank_refresh (FtJob *job, gint64 now)
{
  job->too_late = is_too_late (job, now);
  /* Whatever the order is, nothing waits for ever to begin: not what is too late
   * for its deadline, not the largest jobs of a class. */
  job->starved = !job->begun && now - job->ready_at > ft_seconds (FT_STARVED_AFTER_S);
}

static gint64
deadline_or_never (const FtJob *job)
{
  return job->deadline_at != 0 ? job->deadline_at : G_MAXINT64;
}

gint
ft_placement_rank_jobs (gconstpointer first_element, gconstpointer second_element)
{
  const FtJob *first = *(FtJob *const *) first_element;
  const FtJob *second = *(FtJob *const *) second_element;
  /* 1. What has waited to begin for as long as any job may. */
  if (first->starved != second->starved)
    return first->starved ? -1 : 1;
  /* 2. What is within its team's guarantee. */
  if (first->guaranteed != second->guaranteed)
    return first->guaranteed ? -1 : 1;
  /* 3. The higher priority, its own or that of a job that needs it. */
  if (first->priority != second->priority)
    return first->priority > second->priority ? -1 : 1;
  /* 4. What can still be in time. */
  if (first->too_late != second->too_late)
    return first->too_late ? 1 : -1;
  /* 5. The earlier deadline; none comes last. */
  gint64 first_deadline = deadline_or_never (first), second_deadline = deadline_or_never (second);
  if (first_deadline != second_deadline)
    return first_deadline < second_deadline ? -1 : 1;
  /* 6. The earlier acceptance. */
  return first->revision < second->revision ? -1 : first->revision > second->revision;
}

static gboolean
is_fetching (const FtMachine *machine, const char *image)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    if (attempt->reserved && !attempt->running && attempt->job != NULL
        && g_strcmp0 (attempt->job->spec->image, image) == 0)
      return TRUE;
  }
  return FALSE;
}

/* Seconds until the machine has the job's image. */
static double
image_wait_s (const FtMachine *machine, const FtJobSpec *spec)
{
  if (g_hash_table_contains (machine->images, spec->image))
    return 0;
  double fetch_s = spec->image_gb / MAX (machine->type->fetch_gb_per_s, FT_FETCH_RATE_MIN);
  return is_fetching (machine, spec->image) ? fetch_s * FT_FETCH_REMAINING_SHARE : fetch_s;
}

double
ft_placement_rank_machine (const FtMachine *machine, const FtJob *job, double spot_delay_s)
{
  /* 1. The time until the task could start. */
  double wait_s = image_wait_s (machine, job->spec);
  /* 2. The room that would be left: work that need not begin at once is packed, so that
   * machines become entirely idle, the expensive ones first. */
  double pack = job->priority < FT_PRIORITY_HIGH ? FT_SCORE_PACK_FACTOR : 1;
  double room_left = (machine->type->cpus - machine->cpus - job->spec->cpus) / machine->type->cpus;
  /* 3. What the machine's kind is expected to cost: a spot machine may be taken, an ordinary one is dear. */
  double kind = machine->spot ? spot_delay_s : pack * FT_SCORE_ORDINARY_S;
  return wait_s + pack * FT_SCORE_ROOM_LEFT_S * room_left + kind;
}
