/* What operators are shown of jobs, machines and teams, and what they change by hand. */
#include "core/scheduler_private.h"

static const char *
why_waiting (const FtScheduler *scheduler, const FtJob *job)
{
  if (job->dependency_cancelled)
    return "a job that it needs is cancelled: it is being cancelled";
  if (job->state == FT_JOB_WAITING)
    return "jobs that it needs are not done";
  if (job->counts[FT_TASK_UNKNOWN] > 0)
    return "machines are being accounted for after a takeover";
  if (job->counts[FT_TASK_QUEUED] == 0)
    return "";
  if (job->team != NULL && !ft_quota_allows (scheduler, job->team, job->spec))
    return "the team's limit is reached";
  if (job->no_room_pass == scheduler->placement.pass)
    return "no allowed machine has room";
  return "paused after failures, or waiting for the next pass";
}

void
ft_scheduler_each_job (FtScheduler *scheduler, FtJobVisitor visit, gpointer data)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->job_table.jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtJob *job = value;
    const FtJobInfo info = { .ref = job->spec->ref,
                             .job_class = job->spec->job_class,
                             .state = ft_job_state_name (job->state),
                             .tasks = job->spec->tasks,
                             .done = ft_job_finished (job),
                             .running = ft_job_live (job) - job->counts[FT_TASK_STARTING],
                             .why_waiting = why_waiting (scheduler, job) };
    visit (&info, data);
  }
}

GStrv
ft_scheduler_job_dependencies (const FtScheduler *scheduler, const char *ref)
{
  return ft_dependency_graph_dependencies (scheduler->job_table.dependencies, ref);
}

GStrv
ft_scheduler_job_dependents (const FtScheduler *scheduler, const char *ref)
{
  return ft_dependency_graph_dependents (scheduler->job_table.dependencies, ref);
}

void
ft_scheduler_count_jobs (const FtScheduler *scheduler, guint *open, guint *waiting)
{
  GHashTableIter it;
  gpointer value;
  *open = *waiting = 0;
  g_hash_table_iter_init (&it, scheduler->job_table.jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtJobState state = ((const FtJob *) value)->state;
    *open += state < FT_JOB_CANCELLING;
    *waiting += state == FT_JOB_WAITING;
  }
}

static const char *
why_unused (const FtScheduler *scheduler, const FtMachine *machine)
{
  if (machine->drained)
    return "drained by an operator";
  if (machine->quarantined)
    return "tasks failed on it that were not to blame";
  if (machine->notice_until > 0)
    return "the cloud takes it back";
  if (!machine->reconciled)
    return "not heard from since the takeover";
  if (machine->state == FT_MACHINE_UP && !machine->registered)
    return "not yet in the roster";
  return ft_machine_usable (scheduler, machine) ? "" : "not up";
}

void
ft_scheduler_each_machine (FtScheduler *scheduler, FtMachineVisitor visit, gpointer data)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    visit (machine->name, ft_machine_state_name (machine->state), machine->type_name, machine->zone, machine->spot,
           machine->incarnation, g_hash_table_size (machine->attempts), why_unused (scheduler, machine), data);
  }
}

void
ft_scheduler_each_team (FtScheduler *scheduler, FtTeamVisitor visit, gpointer data)
{
  for (guint i = 0; i < scheduler->context.settings->n_teams; i++)
    visit (scheduler->quota.teams[i].limit, scheduler->quota.teams[i].cpus, scheduler->quota.teams[i].gpus, data);
}

gboolean
ft_scheduler_drain (FtScheduler *scheduler, const char *name, gboolean drain)
{
  FtMachine *machine = g_hash_table_lookup (scheduler->machine_table.machines, name);
  if (drain)
    g_hash_table_add (scheduler->machine_table.drained, g_strdup (name));
  else
    g_hash_table_remove (scheduler->machine_table.drained, name);
  g_message ("machine %s: %s", name, drain ? "drained" : "undrained");
  if (machine == NULL)
    return FALSE;
  machine->drained = drain;
  scheduler->context.placement_due = TRUE;
  return TRUE;
}

gboolean
ft_scheduler_knows (const FtScheduler *scheduler, const char *name)
{
  return g_hash_table_contains (scheduler->machine_table.machines, name);
}
