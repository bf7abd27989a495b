#include "core/scheduler_private.h"

/* Amounts are sums of decimal numbers; this absorbs their rounding. */
#define EPSILON 1e-6

FtTeam *
ft_quota_team (const FtQuota *quota, const char *name)
{
  for (guint i = 0; i < quota->n_teams; i++)
    if (g_strcmp0 (quota->teams[i].limit->name, name) == 0)
      return &quota->teams[i];
  return NULL;
}

/* What of the team may run unseen: its unknown tasks, but no more than the
 * machines not yet heard from could hold. */
static void
unseen (const FtScheduler *scheduler, const FtTeam *team, double *cpus, double *gpus)
{
  ft_recovery_unreconciled (&scheduler->recovery, cpus, gpus);
  *cpus = MIN (*cpus, team->unknown_cpus);
  *gpus = MIN (*gpus, team->unknown_gpus);
}

static double
left_over (double limit, double used, double each)
{
  return each <= 0 ? G_MAXUINT16 : (limit - used + EPSILON) / each;
}

/* How many more tasks of this kind the team's limit allows now. */
guint
ft_quota_count (const FtScheduler *scheduler, const FtTeam *team, const FtJobSpec *spec)
{
  double cpus = 0, gpus = 0;
  unseen (scheduler, team, &cpus, &gpus);
  double n = MIN (left_over (ft_team_limit (team->limit->cpus_max), team->cpus + cpus, spec->cpus),
                  left_over (ft_team_limit (team->limit->gpus_max), team->gpus + gpus, spec->gpus));
  return n <= 0 ? 0 : (guint) MIN (n, G_MAXUINT16);
}

gboolean
ft_quota_allows (const FtScheduler *scheduler, const FtTeam *team, const FtJobSpec *spec)
{
  return ft_quota_count (scheduler, team, spec) > 0;
}

static gint
by_acceptance (gconstpointer a, gconstpointer b)
{
  const FtJob *job = *(FtJob *const *) a, *y = *(FtJob *const *) b;
  return job->revision < y->revision ? -1 : job->revision > y->revision;
}

/* A job is within its team's guarantee if it fits there together with the
 * team's earlier unfinished jobs. */
void
ft_quota_mark_guaranteed (FtScheduler *scheduler)
{
  g_ptr_array_sort (scheduler->placement.order, by_acceptance);
  guint n = scheduler->context.settings->n_teams;
  g_autofree double *cpus = g_new0 (double, n);
  g_autofree double *gpus = g_new0 (double, n);
  for (guint i = 0; i < scheduler->placement.order->len; i++) {
    FtJob *job = g_ptr_array_index (scheduler->placement.order, i);
    guint t = (guint) (job->team - scheduler->quota.teams);
    cpus[t] += job->spec->cpus * job->spec->tasks;
    gpus[t] += job->spec->gpus * job->spec->tasks;
    job->guaranteed = cpus[t] <= job->team->limit->cpus + EPSILON && gpus[t] <= job->team->limit->gpus + EPSILON;
  }
  // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): freed by g_auto cleanup, which the analyzer does not follow
}
