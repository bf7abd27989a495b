/* What operators are shown of jobs, machines and teams, and what they change by hand. */
#include "core/model.h"

static const char *
why_waiting (const FtScheduler *s, const FtJob *job)
{
  if (job->dependency_cancelled)
    return "a job that it needs is cancelled: it is being cancelled";
  if (job->state == FT_JOB_WAITING)
    return "jobs that it needs are not done";
  if (job->counts[FT_TASK_UNKNOWN] > 0)
    return "machines are being accounted for after a takeover";
  if (job->counts[FT_TASK_QUEUED] == 0)
    return "";
  if (job->team != NULL && !ft_quota_allows (s, job->team, job->spec))
    return "the team's limit is reached";
  if (job->no_room_pass == s->pass)
    return "no allowed machine has room";
  return "paused after failures, or waiting for the next pass";
}

void
ft_scheduler_each_job (FtScheduler *s, FtJobVisitor visit, gpointer data)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtJob *job = value;
    const FtJobInfo info = { .ref = job->spec->ref,
                             .job_class = job->spec->job_class,
                             .state = ft_job_state_name (job->state),
                             .tasks = job->spec->tasks,
                             .done = ft_job_finished (job),
                             .running = ft_job_live (job) - job->counts[FT_TASK_STARTING],
                             .why_waiting = why_waiting (s, job) };
    visit (&info, data);
  }
}

GStrv
ft_scheduler_job_dependencies (const FtScheduler *s, const char *ref)
{
  return ft_dependency_graph_dependencies (s->dependencies, ref);
}

GStrv
ft_scheduler_job_dependents (const FtScheduler *s, const char *ref)
{
  return ft_dependency_graph_dependents (s->dependencies, ref);
}

void
ft_scheduler_count_jobs (const FtScheduler *s, guint *open, guint *waiting)
{
  GHashTableIter it;
  gpointer value;
  *open = *waiting = 0;
  g_hash_table_iter_init (&it, s->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtJobState state = ((const FtJob *) value)->state;
    *open += state < FT_JOB_CANCELLING;
    *waiting += state == FT_JOB_WAITING;
  }
}

static const char *
why_unused (const FtScheduler *s, const FtMachine *m)
{
  if (m->drained)
    return "drained by an operator";
  if (m->quarantined)
    return "tasks failed on it that were not to blame";
  if (m->notice_until > 0)
    return "the cloud takes it back";
  if (!m->reconciled)
    return "not heard from since the takeover";
  if (m->state == FT_MACHINE_UP && !m->registered)
    return "not yet in the roster";
  return ft_machine_usable (s, m) ? "" : "not up";
}

void
ft_scheduler_each_machine (FtScheduler *s, FtMachineVisitor visit, gpointer data)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *m = value;
    visit (m->name, ft_machine_state_name (m->state), m->type_name, m->zone, m->spot, m->incarnation,
           g_hash_table_size (m->attempts), why_unused (s, m), data);
  }
}

void
ft_scheduler_each_team (FtScheduler *s, FtTeamVisitor visit, gpointer data)
{
  for (guint i = 0; i < s->settings->n_teams; i++)
    visit (s->teams[i].limit, s->teams[i].cpus, s->teams[i].gpus, data);
}

gboolean
ft_scheduler_drain (FtScheduler *s, const char *name, gboolean drain)
{
  FtMachine *machine = g_hash_table_lookup (s->machines, name);
  if (drain)
    g_hash_table_add (s->drained, g_strdup (name));
  else
    g_hash_table_remove (s->drained, name);
  g_message ("machine %s: %s", name, drain ? "drained" : "undrained");
  if (machine == NULL)
    return FALSE;
  machine->drained = drain;
  s->placement_due = TRUE;
  return TRUE;
}

gboolean
ft_scheduler_knows (const FtScheduler *s, const char *name)
{
  return g_hash_table_contains (s->machines, name);
}
