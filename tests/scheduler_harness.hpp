// A scheduler without a controller around it, for tests of single decisions.
#pragma once
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "job_specs.hpp"
#include "world.hpp"

extern "C" {
#include "core/constants.h"
#include "core/scheduler_private.h"
}

// A task's status in a worker's heartbeat. The job's name is borrowed.
inline FtTaskStatus
task_status (const char *job, guint index, guint64 attempt, FtTaskPhase phase, FtExitReason reason = FT_EXIT_NONE)
{
  return { (char *) job, index, attempt, phase, reason, FALSE };
}

// Adds the statuses to the tasks of a heartbeat.
inline void
add_tasks (FtWorkerHeartbeat *heartbeat, const std::vector<FtTaskStatus> &tasks)
{
  for (FtTaskStatus status : tasks) {
    status.job = g_strdup (status.job);
    g_array_append_val (heartbeat->tasks, status);
  }
}

// The number of commands of that kind in an answer to a heartbeat.
inline guint
count_commands (GArray *commands, FtCommandOp op)
{
  guint n = 0;
  for (guint i = 0; i < commands->len; i++)
    n += g_array_index (commands, FtCommand, i).op == op;
  return n;
}

// A scheduler whose term began at 100 s, with the settings and the one machine type of the simulated world.
struct SchedulerHarness {
  sim::World world{ 1 };
  FtScheduler *scheduler;
  explicit SchedulerHarness (FtWorkerTokenRange tokens = { 3, 3 })
      : scheduler (ft_scheduler_new (&world.settings, world.catalog, tokens, 18 * kS, 100 * kS, 1))
  {
  }
  ~SchedulerHarness () { ft_scheduler_free (scheduler); }
  // A heartbeat without tasks. `token`: the highest fencing token that the worker has seen.
  FtWorkerHeartbeat *
  new_heartbeat (guint64 incarnation, guint64 sequence, guint64 token, const char *machine = "n-1",
                 const char *zone = "a", bool spot = false)
  {
    FtWorkerHeartbeat *heartbeat = ft_worker_heartbeat_new ();
    heartbeat->machine = g_strdup (machine);
    heartbeat->addr = g_strdup ("10.1.0.1:9000");
    heartbeat->type = g_strdup ("std");
    heartbeat->zone = g_strdup (zone);
    heartbeat->spot = spot;
    heartbeat->incarnation = incarnation;
    heartbeat->sequence = sequence;
    heartbeat->token = token;
    return heartbeat;
  }
  // Commits the scheduler's next batch of writes.
  void
  commit_writes (gint64 now)
  {
    g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (scheduler, 11, TRUE, now);
    ft_scheduler_writes_committed (scheduler, writes, now);
  }
  // Commits the scheduler's next batch of writes and returns how many of them were of that kind. `spare`: the
  // store has capacity for writes that are not urgent.
  guint
  commit_and_count (FtWriteKind kind, gint64 now, gboolean spare = TRUE)
  {
    g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (scheduler, 11, spare, now);
    guint n = 0;
    for (guint i = 0; i < writes->len; i++)
      n += ((const FtWrite *) g_ptr_array_index (writes, i))->kind == kind;
    ft_scheduler_writes_committed (scheduler, writes, now);
    return n;
  }
  // Brings a machine up by a heartbeat with the leader's token, and commits its row in the registry.
  void
  machine_up (gint64 now, guint64 sequence = 1, const char *name = "n-1", const char *zone = "a", bool spot = false)
  {
    g_autoptr (FtWorkerHeartbeat) heartbeat = new_heartbeat (1, sequence, 3, name, zone, spot);
    ASSERT_TRUE (ft_scheduler_heartbeat (scheduler, heartbeat, now));
    g_autoptr (GArray) none = ft_scheduler_answer (scheduler, heartbeat, now, nullptr);
    commit_writes (now);
  }
  // Brings up the machine n-2, whose registry row is not committed yet.
  void
  second_machine_up (gint64 now)
  {
    g_autoptr (FtWorkerHeartbeat) heartbeat = new_heartbeat (1, 1, 3, "n-2");
    ASSERT_TRUE (ft_scheduler_heartbeat (scheduler, heartbeat, now));
  }
  // Adds a job of one task, and returns the direct request that carries its start; the caller frees it. NULL: the task
  // is not started directly.
  FtDirectRequest *
  start_directly (const char *ref, guint64 revision, gint64 now)
  {
    ft_scheduler_job_added (scheduler, new_job_spec (ref, 1), revision, now, 0);
    ft_scheduler_place (scheduler, now, TRUE);
    return ft_scheduler_next_direct_request (scheduler, now);
  }
  // Processes a heartbeat with those tasks, runs a placement pass and returns the commands in the heartbeat's
  // answer; the caller owns them.
  GArray *
  exchange (gint64 now, guint64 sequence, std::vector<FtTaskStatus> tasks = {}, guint64 incarnation = 1,
            const char *machine = "n-1")
  {
    g_autoptr (FtWorkerHeartbeat) heartbeat = new_heartbeat (incarnation, sequence, 3, machine);
    add_tasks (heartbeat, tasks);
    EXPECT_TRUE (ft_scheduler_heartbeat (scheduler, heartbeat, now));
    ft_scheduler_place (scheduler, now, TRUE);
    return ft_scheduler_answer (scheduler, heartbeat, now, nullptr);
  }
  // The functions below read or set internals of the scheduler. Tests access internals only through them.
  FtMachine *
  machine (const char *name)
  {
    return (FtMachine *) g_hash_table_lookup (scheduler->machine_table.machines, name);
  }
  FtJob *
  job (const char *ref)
  {
    return (FtJob *) g_hash_table_lookup (scheduler->job_table.jobs, ref);
  }
  std::vector<FtMachine *>
  machines ()
  {
    std::vector<FtMachine *> all;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init (&iter, scheduler->machine_table.machines);
    while (g_hash_table_iter_next (&iter, nullptr, &value))
      all.push_back ((FtMachine *) value);
    return all;
  }
  bool
  zone_unreachable (const char *zone)
  {
    return ft_zone_get (scheduler->machine_table.zones, zone)->unreachable;
  }
  // Whether the job is in the placement order, so that guarantees and scaling take it into account.
  bool
  in_placement_order (const FtJob *wanted)
  {
    return g_ptr_array_find (scheduler->placement.order, wanted, nullptr);
  }
  const FtSpotRisk *
  spot_risk ()
  {
    return &scheduler->spot_risk;
  }
  // Forbids task starts, as they are forbidden while the lease is not valid. The next tick or placement pass sets
  // the permission anew.
  void
  forbid_starts ()
  {
    scheduler->context.may_start = FALSE;
  }
  // Sets the time until which the leader's own process was late.
  void
  set_timers_late_until (gint64 until)
  {
    scheduler->context.timers_late_until = until;
  }
  // The name of the machine to which the task is assigned; "" if there is none.
  std::string
  machine_of (const char *ref, guint index)
  {
    const FtAttempt *attempt = job (ref)->tasks[index].attempt;
    return attempt == nullptr ? "" : attempt->machine->name;
  }
};

// A scheduler that has loaded the store's rows, with one machine, n-1, up since 100 s.
struct OneMachine : SchedulerHarness {
  guint64 attempt = 0; // attempt number of the task that start_job() started last
  explicit OneMachine (guint64 sequence = 1)
  {
    ft_scheduler_loaded (scheduler, 100 * kS);
    machine_up (100 * kS, sequence);
  }
  // Adds a job of one task, and starts the task by the answer to a heartbeat one second later.
  void
  start_job (const char *ref, guint64 revision, gint64 added_at, guint64 sequence)
  {
    ft_scheduler_job_added (scheduler, new_job_spec (ref, 1), revision, added_at, 0);
    g_autoptr (GArray) starts = exchange (added_at + kS, sequence);
    ASSERT_EQ (count_commands (starts, FT_COMMAND_START), 1u);
    attempt = g_array_index (starts, FtCommand, 0).attempt;
  }
};
