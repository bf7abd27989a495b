#include "core/placement_rank.h"

#include "core/constants.h"
#include "core/duration.h"

/* In overload, serving the earliest deadline first would make every job late. Therefore a job that can no longer be in
 * time is served after the jobs that still can, for a limited time. */
static gboolean
is_too_late (const FtJob *job, gint64 now)
{
  if (job->deadline_at == 0)
    return FALSE;
  gint64 still_needed = ft_seconds (job->spec->estimate_s * FT_TOO_LATE_SHARE);
  gint64 deferral = (gint64) (FT_TOO_LATE_DEFERRAL * (double) (job->deadline_at - job->accepted_at));
  return now + still_needed > job->deadline_at && now < job->deadline_at + deferral;
}

void
ft_placement_rank_refresh (FtJob *job, gint64 now)
{
  job->too_late = is_too_late (job, now);
  /* No job must wait for ever to begin, whatever its rank: neither a job that is too late for its deadline nor one of
   * the largest jobs of a class. */
  job->starved = !job->begun && now - job->ready_at > ft_seconds (FT_STARVED_AFTER_S);
}

static gint64
deadline_or_max (const FtJob *job)
{
  return job->deadline_at != 0 ? job->deadline_at : G_MAXINT64;
}

gint
ft_placement_rank_jobs (gconstpointer first_element, gconstpointer second_element)
{
  const FtJob *first = *(FtJob *const *) first_element;
  const FtJob *second = *(FtJob *const *) second_element;
  /* 1. Jobs that have waited too long to begin come first. */
  if (first->starved != second->starved)
    return first->starved ? -1 : 1;
  /* 2. Jobs within their team's guaranteed share come first. */
  if (first->guaranteed != second->guaranteed)
    return first->guaranteed ? -1 : 1;
  /* 3. The higher priority comes first. The priority of a job is its own or that of a job that depends on it. */
  if (first->priority != second->priority)
    return first->priority > second->priority ? -1 : 1;
  /* 4. Jobs that can still be in time come first. */
  if (first->too_late != second->too_late)
    return first->too_late ? 1 : -1;
  /* 5. The earlier deadline comes first; jobs without a deadline come last. */
  gint64 first_deadline = deadline_or_max (first), second_deadline = deadline_or_max (second);
  if (first_deadline != second_deadline)
    return first_deadline < second_deadline ? -1 : 1;
  /* 6. The job that was accepted earlier comes first. */
  return first->revision < second->revision ? -1 : first->revision > second->revision;
}

/* Returns TRUE if an attempt on the machine is fetching the image, or is going to. */
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

/* Returns the seconds until the machine has the job's image. */
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
  /* 1. The time until the task can start. */
  double wait_s = image_wait_s (machine, job->spec);
  /* 2. The CPUs that stay free on the machine. Tasks that need not begin at once are packed more densely, and avoid
   * ordinary machines more strongly, so that whole machines become idle, the expensive ordinary ones first. */
  double pack = job->priority < FT_PRIORITY_HIGH ? FT_SCORE_PACK_FACTOR : 1;
  double room_left = (machine->type->cpus - machine->cpus - job->spec->cpus) / machine->type->cpus;
  /* 3. The expected cost of the kind of machine: the cloud may take a spot machine back, and an ordinary machine is
   * expensive. */
  double kind = machine->spot ? spot_delay_s : pack * FT_SCORE_ORDINARY_S;
  return wait_s + pack * FT_SCORE_ROOM_LEFT_S * room_left + kind;
}
