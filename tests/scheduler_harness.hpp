// One scheduler without a node around it, for tests that look at a single decision.
#pragma once
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "world.hpp"

extern "C" {
#include "core/constants.h"
#include "core/scheduler_private.h"
}

constexpr gint64 kS = FT_SECOND;

// A job of tasks of 4 CPUs, all of which may have been sent to machines.
inline FtJobSpec *
spec (const char *ref, guint tasks)
{
  FtJobSpec *s = g_new0 (FtJobSpec, 1);
  s->ref = g_strdup (ref);
  s->job_class = g_strdup ("c");
  s->team = g_strdup ("red");
  s->image = g_strdup ("img");
  s->tasks = tasks;
  s->cpus = 4;
  s->memory_gb = 1;
  s->spot = TRUE;
  s->dispatch_watermark = tasks;
  return s;
}

// Commands of that kind in an answer.
inline guint
count (GArray *commands, FtCommandOp op)
{
  guint n = 0;
  for (guint i = 0; i < commands->len; i++)
    n += g_array_index (commands, FtCommand, i).op == op;
  return n;
}

// A scheduler that leads since 100 s, in a world whose machines are of one type.
struct SchedulerHarness {
  sim::World world{ 1 };
  FtScheduler *s;
  explicit SchedulerHarness (guint64 token = 3)
      : s (ft_scheduler_new (&world.settings, world.catalog, token, 18 * kS, 100 * kS, 1))
  {
  }
  ~SchedulerHarness () { ft_scheduler_free (s); }
  FtWorkerHeartbeat *
  heartbeat (guint64 incarnation, guint64 sequence, guint64 token, const char *machine = "n-1", const char *zone = "a",
             bool spot = false)
  {
    FtWorkerHeartbeat *r = ft_worker_heartbeat_new ();
    r->machine = g_strdup (machine);
    r->addr = g_strdup ("10.1.0.1:9000");
    r->type = g_strdup ("std");
    r->zone = g_strdup (zone);
    r->spot = spot;
    r->incarnation = incarnation;
    r->sequence = sequence;
    r->token = token;
    return r;
  }
  void
  write (gint64 now)
  {
    g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (s, 11, TRUE, now);
    ft_scheduler_writes_committed (s, writes, now);
  }
  // A machine that is up, in the registry and has seen the token.
  void
  machine_up (gint64 now, guint64 sequence = 1, const char *name = "n-1", const char *zone = "a", bool spot = false)
  {
    g_autoptr (FtWorkerHeartbeat) r = heartbeat (1, sequence, 3, name, zone, spot);
    ASSERT_TRUE (ft_scheduler_heartbeat (s, r, now));
    g_autoptr (GArray) none = ft_scheduler_answer (s, r, now);
    write (now);
  }
  void
  other_up (gint64 now)
  {
    g_autoptr (FtWorkerHeartbeat) r = heartbeat (1, 1, 3, "n-2");
    ASSERT_TRUE (ft_scheduler_heartbeat (s, r, now));
  }
  GArray *
  exchange (gint64 now, guint64 sequence, std::vector<FtTaskStatus> tasks = {}, guint64 incarnation = 1,
            const char *machine = "n-1")
  {
    g_autoptr (FtWorkerHeartbeat) r = heartbeat (incarnation, sequence, 3, machine);
    for (FtTaskStatus t : tasks) {
      t.job = g_strdup (t.job);
      g_array_append_val (r->tasks, t);
    }
    EXPECT_TRUE (ft_scheduler_heartbeat (s, r, now));
    ft_scheduler_place (s, now, TRUE);
    return ft_scheduler_answer (s, r, now);
  }
  // What follows reads or sets internals of the scheduler; tests reach them only here.
  FtMachine *
  machine (const char *name)
  {
    return (FtMachine *) g_hash_table_lookup (s->machine_table.machines, name);
  }
  FtJob *
  job (const char *ref)
  {
    return (FtJob *) g_hash_table_lookup (s->job_table.jobs, ref);
  }
  std::vector<FtMachine *>
  machines ()
  {
    std::vector<FtMachine *> all;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init (&iter, s->machine_table.machines);
    while (g_hash_table_iter_next (&iter, nullptr, &value))
      all.push_back ((FtMachine *) value);
    return all;
  }
  bool
  zone_unreachable (const char *zone)
  {
    return ft_zone_get (s->machine_table.zones, zone)->unreachable;
  }
  // Placement has the job in its order, so that guarantees and scaling count it.
  bool
  in_placement_order (const FtJob *wanted)
  {
    return g_ptr_array_find (s->placement.order, wanted, nullptr);
  }
  const FtSpotRisk *
  spot_risk ()
  {
    return &s->autoscaler.spot_risk;
  }
  // As while the lease is not held; a later tick says anew what holds.
  void
  forbid_starts ()
  {
    s->context.may_start = FALSE;
  }
  // Since when this process has run without a delay of its own.
  void
  set_on_time_since (gint64 since)
  {
    s->context.on_time_since = since;
  }
  // The machine that has the task, "" if none.
  std::string
  place_of (const char *ref, guint index)
  {
    const FtAttempt *attempt = job (ref)->tasks[index].attempt;
    return attempt == nullptr ? "" : attempt->machine->name;
  }
};
