// The modules that own the core's state, initialized and connected to each other as in the scheduler, but without
// a scheduler. A test of one module calls its functions and checks their effects.
#pragma once
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "job_specs.hpp"

extern "C" {
#include "core/attempt_lifecycle.h"
#include "core/job_table.h"
#include "core/machine_table.h"
#include "core/quota.h"
#include "core/write.h"
}

// Has one team, "red", and one machine type, "std" with 8 CPUs. The clock stands at 100 s.
struct CoreState {
  FtTeamLimit limit{ (char *) "red", 0, 0, 0, 0 };
  FtSettings settings{};
  FtCoreContext context{};
  FtQuota quota{};
  FtMachineQueues queues{};
  FtMachineTable machine_table{};
  FtJobTable job_table{};
  std::vector<std::string> removed; // refs of the jobs that were removed from the job table, in order
  CoreState ()
  {
    settings.teams = &limit;
    settings.n_teams = 1;
    settings.heartbeat_s = 2.5;
    settings.lease_s = 14;
    settings.value_kb = 1;
    context.settings = &settings;
    context.catalog = ft_catalog_new ();
    context.token = context.first_worker_token = 7;
    context.now = 100 * kS;
    add_type ("std", 8);
    ft_quota_init (&quota, &settings);
    ft_machine_queues_init (&queues);
    ft_machine_table_init (&machine_table, &context, &queues);
    ft_job_table_init (&job_table, &context, &quota, on_removed, this);
  }
  ~CoreState ()
  {
    ft_machine_table_clear (&machine_table);
    ft_job_table_clear (&job_table);
    ft_machine_queues_clear (&queues);
    ft_quota_clear (&quota);
    ft_catalog_unref (context.catalog);
  }
  CoreState (const CoreState &) = delete;
  CoreState &operator= (const CoreState &) = delete;
  static void
  on_removed (FtJob *job, gpointer data)
  {
    ((CoreState *) data)->removed.push_back (job->spec->ref);
  }
  void
  add_type (const char *name, double cpus)
  {
    auto type = g_new0 (FtMachineType, 1);
    type->name = g_strdup (name);
    type->cpus = cpus;
    type->memory_gb = 32;
    g_ptr_array_add (context.catalog->types, type);
  }
  FtMachine *
  add_machine (const char *name, const char *type = "std", const char *addr = "10.1.0.1:9000")
  {
    return ft_machine_table_add (&machine_table, name, addr, type, "a", FALSE);
  }
  FtJob *
  add_job (FtJobSpec *spec, FtTaskState initial = FT_TASK_QUEUED)
  {
    std::string ref = spec->ref;
    ft_job_table_add (&job_table, spec, 5, initial, 0);
    return job (ref.c_str ());
  }
  FtJob *
  job (const char *ref)
  {
    return ft_job_table_find (&job_table, ref);
  }
  // Makes an attempt of a queued task on that machine, and binds it to the task as placement does.
  FtAttempt *
  place (FtMachine *machine, FtJob *job, guint index, guint64 id)
  {
    FtAttempt *attempt = ft_attempt_new (machine, job, job->spec->ref, index, id);
    ft_attempt_reserve (attempt);
    ft_attempt_bind (attempt, FT_TASK_STARTING);
    return attempt;
  }
};

inline const FtWrite *
write_at (const GPtrArray *writes, guint i)
{
  return (const FtWrite *) g_ptr_array_index (writes, i);
}
