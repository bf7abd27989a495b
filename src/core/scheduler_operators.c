/* The state of the scheduler as operators and the peers see it, and the drains that operators set. */
#include "core/explain.h"
#include "core/machine_eviction.h"
#include "core/scheduler_private.h"

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
                             .done = ft_job_finished_tasks (job),
                             .running = ft_job_bound_tasks (job) - job->counts[FT_TASK_STARTING],
                             .why_waiting = ft_explain_waiting (&scheduler->placement, job) };
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

FtMachineCounts
ft_scheduler_count_machines (const FtScheduler *scheduler)
{
  FtMachineCounts counts = { 0 };
  const FtCoreContext *context = &scheduler->context;
  gint64 overdue_before = context->now - ft_seconds (FT_CANCELLED_SCALE_IN_SHARE * context->settings->cancel_s);
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    counts.overdue += ft_machine_eviction_holds_cancelled (machine, overdue_before);
    if (machine->state != FT_MACHINE_UP)
      continue;
    counts.up++;
    counts.unused += !ft_machine_usable (machine);
    counts.quarantined += ft_machine_is_quarantined (machine);
  }
  return counts;
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
           machine->incarnation, g_hash_table_size (machine->attempts), ft_explain_unused (machine), data);
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
  ft_machine_table_set_drained (&scheduler->machine_table, name, drain);
  return ft_machine_table_find (&scheduler->machine_table, name) != NULL;
}

gboolean
ft_scheduler_has_machine (const FtScheduler *scheduler, const char *name)
{
  return ft_machine_table_find (&scheduler->machine_table, name) != NULL;
}
