#include "core/quota.h"

/* Tolerance in CPUs or GPUs: the compared amounts are sums of decimal numbers, which have rounding errors. */
#define EPSILON 1e-6

void
ft_quota_init (FtQuota *quota, const FtSettings *settings)
{
  quota->n_teams = settings->n_teams;
  quota->teams = g_new0 (FtTeam, settings->n_teams);
  for (guint i = 0; i < settings->n_teams; i++)
    quota->teams[i].limit = &settings->teams[i];
}

void
ft_quota_clear (FtQuota *quota)
{
  g_clear_pointer (&quota->teams, g_free);
}

FtTeam *
ft_quota_team (const FtQuota *quota, const char *name)
{
  for (guint i = 0; i < quota->n_teams; i++)
    if (g_strcmp0 (quota->teams[i].limit->name, name) == 0)
      return &quota->teams[i];
  return NULL;
}

guint
ft_quota_team_index (const FtQuota *quota, const FtTeam *team)
{
  return (guint) (team - quota->teams);
}

/* Returns how many tasks that need the amount `each` fit between `used` and `limit`. */
static double
tasks_within (double limit, double used, double each)
{
  return each <= 0 ? G_MAXUINT16 : (limit - used + EPSILON) / each;
}

guint
ft_quota_tasks_left (const FtTeam *team, const FtJobSpec *spec, const FtUnreconciledCapacity *unreconciled)
{
  double unknown_cpus_used = MIN (unreconciled->cpus, team->unknown_cpus);
  double unknown_gpus_used = MIN (unreconciled->gpus, team->unknown_gpus);
  double count = MIN (tasks_within (ft_team_limit (team->limit->cpus_max), team->cpus + unknown_cpus_used, spec->cpus),
                      tasks_within (ft_team_limit (team->limit->gpus_max), team->gpus + unknown_gpus_used, spec->gpus));
  return count <= 0 ? 0 : (guint) MIN (count, G_MAXUINT16);
}

static gint
by_acceptance (gconstpointer first_element, gconstpointer second_element)
{
  const FtJob *first = *(FtJob *const *) first_element;
  const FtJob *second = *(FtJob *const *) second_element;
  return first->revision < second->revision ? -1 : first->revision > second->revision;
}

void
ft_quota_mark_guaranteed (const FtQuota *quota, GPtrArray *jobs)
{
  g_ptr_array_sort (jobs, by_acceptance);
  g_autofree double *cpus = g_new0 (double, quota->n_teams);
  g_autofree double *gpus = g_new0 (double, quota->n_teams);
  for (guint i = 0; i < jobs->len; i++) {
    FtJob *job = g_ptr_array_index (jobs, i);
    guint team = ft_quota_team_index (quota, job->team);
    cpus[team] += job->spec->cpus * job->spec->tasks;
    gpus[team] += job->spec->gpus * job->spec->tasks;
    job->guaranteed = cpus[team] <= job->team->limit->cpus + EPSILON && gpus[team] <= job->team->limit->gpus + EPSILON;
  }
  // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): freed by g_auto cleanup, which the analyzer does not follow
}
