// How the scheduler changes machines and attempts after worker heartbeats, or when heartbeats do not arrive.
#include <memory>

#include "scheduler_harness.hpp"

namespace {

TEST (Scheduler, MachineThatDoesNotReceiveAnswersGetsNoWorkAndIsTerminated)
{
  OneMachine harness;
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-1", 1), 5, 101 * kS, 0);
  // Each answer contains the start of the task again, since no heartbeat lists the task.
  gint64 at = 101 * kS;
  for (guint64 sequence = 2; sequence < 11; sequence++, at += 2 * kS)
    g_autoptr (GArray) starts = harness.exchange (at, sequence);
  harness.second_machine_up (at); // most of the other machines report
  FtMachine *machine = harness.machine ("n-1");
  EXPECT_TRUE (ft_machine_not_receiving (machine));
  EXPECT_FALSE (ft_machine_usable (machine));
  harness.set_timers_late_until (at - 5 * kS); // until then, this process itself was late
  ft_scheduler_tick (harness.scheduler, at, TRUE);
  EXPECT_EQ (machine->state, FT_MACHINE_UP);
  harness.set_timers_late_until (0);
  ft_scheduler_tick (harness.scheduler, at, TRUE);
  EXPECT_EQ (machine->state, FT_MACHINE_UP)
      << "the store has not answered since 100 s, so this leader may be partitioned itself";
  ft_scheduler_set_cancellations_known_until (harness.scheduler, at);
  ft_scheduler_tick (harness.scheduler, at, TRUE);
  EXPECT_EQ (machine->state, FT_MACHINE_TERMINATING);
}

// The recovery after a failover does not wait for a machine whose heartbeats never show the new token.
TEST (Scheduler, UnreconciledMachineThatDoesNotReceiveAnswersIsTerminated)
{
  SchedulerHarness harness;
  ft_scheduler_load_machine (harness.scheduler, "row-1", "n-1", "10.1.0.1:9000", "std", "a", FALSE);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  gint64 at = 100 * kS;
  for (guint64 sequence = 1; sequence < 11; sequence++, at += 2 * kS) {
    g_autoptr (FtWorkerHeartbeat) old = harness.new_heartbeat (1, sequence, 2);
    EXPECT_TRUE (ft_scheduler_heartbeat (harness.scheduler, old, at));
    g_autoptr (GArray) none = ft_scheduler_answer (harness.scheduler, old, at, nullptr);
    EXPECT_EQ (none->len, 0u);
  }
  harness.second_machine_up (at);
  ft_scheduler_tick (harness.scheduler, at, TRUE);
  EXPECT_EQ (harness.machine ("n-1")->state, FT_MACHINE_UP) << "the store has not answered since 100 s";
  ft_scheduler_set_cancellations_known_until (harness.scheduler, at);
  ft_scheduler_tick (harness.scheduler, at, TRUE);
  EXPECT_EQ (harness.machine ("n-1")->state, FT_MACHINE_TERMINATING);
}

TEST (Scheduler, LateCopiesOfHeartbeatsDoNotCountAsHeartbeats)
{
  OneMachine harness (5);
  FtMachine *machine = harness.machine ("n-1");
  // The worker sent this heartbeat before it knew this leader's token, although its sequence is higher than that
  // of any heartbeat that arrived. A worker's token only rises, so the heartbeat is a late copy.
  g_autoptr (FtWorkerHeartbeat) before = harness.new_heartbeat (1, 9, 2);
  ft_scheduler_heartbeat (harness.scheduler, before, 140 * kS);
  EXPECT_EQ (machine->reachability.last_status_at, 100 * kS);
  EXPECT_EQ (machine->sequence, 5u);
  // This heartbeat is of a former incarnation of the machine.
  g_autoptr (FtWorkerHeartbeat) incarnation = harness.new_heartbeat (0, 9, 3);
  ft_scheduler_heartbeat (harness.scheduler, incarnation, 140 * kS);
  EXPECT_EQ (machine->reachability.last_status_at, 100 * kS);
  // The leader no longer knows the machine of this heartbeat, and gives it no work before it shows this leader's token.
  g_autoptr (FtWorkerHeartbeat) ghost = harness.new_heartbeat (1, 1, 2);
  g_free (ghost->machine);
  ghost->machine = g_strdup ("n-9");
  ft_scheduler_heartbeat (harness.scheduler, ghost, 140 * kS);
  harness.commit_writes (140 * kS);
  EXPECT_FALSE (ft_machine_usable (harness.machine ("n-9")));
  EXPECT_EQ (ft_scheduler_last_heartbeat_at (harness.scheduler), 100 * kS);
}

// A thousand machines that are all full, and many more tasks than they have room for.
struct FullFleet : SchedulerHarness {
  static constexpr guint kMachines = 1000, kJobs = 300;
  gint64 now = 100 * kS;
  FullFleet ()
  {
    world.settings.value_kb = 8;
    world.settings.teams[0].cpus_max = 1e6;
    ft_scheduler_loaded (scheduler, now);
    for (guint i = 0; i < kMachines; i++)
      report (i, 1);
    for (int batch = 0; batch < 20; batch++)
      commit_writes (now);
    for (guint i = 0; i < kJobs; i++) {
      g_autofree char *ref = g_strdup_printf ("req-%u", i);
      ft_scheduler_job_added (scheduler, new_job_spec (ref, 250), 5 + i, now, 0);
    }
    for (int pass = 0; pass < 40; pass++)
      ft_scheduler_place (scheduler, now += kS / 5, TRUE);
    send_all_commands ();
  }
  static std::string
  name (guint i)
  {
    g_autofree char *text = g_strdup_printf ("n-%06u", i);
    return text;
  }
  FtWorkerHeartbeat *
  report (guint i, guint64 sequence)
  {
    FtWorkerHeartbeat *heartbeat = new_heartbeat (1, sequence, 3, name (i).c_str ());
    ft_scheduler_heartbeat (scheduler, heartbeat, now);
    heartbeats.emplace_back (heartbeat, ft_worker_heartbeat_free);
    return heartbeat;
  }
  void
  send_all_commands ()
  {
    for (bool more = true; more;) {
      FtDirectRequest *direct = ft_scheduler_next_direct_request (scheduler, now);
      more = direct != nullptr;
      ft_direct_request_free (direct);
    }
  }

private:
  std::vector<std::unique_ptr<FtWorkerHeartbeat, void (*) (FtWorkerHeartbeat *)> > heartbeats;
};

// Handling a heartbeat must not examine all jobs or machines, however many tasks wait.
TEST (Scheduler, HeartbeatExaminesFewJobsAndMachines)
{
  FullFleet fleet;
  FtScheduler *scheduler = fleet.scheduler;
  ASSERT_EQ (ft_machine_room (fleet.machine ("n-000007"), fleet.job ("req-299")->spec), 0u);
  guint before = ft_scheduler_examined (scheduler);
  ft_scheduler_place (scheduler, fleet.now, TRUE); // no pass runs, since the pause after the last pass is not over
  g_autoptr (GArray) commands = ft_scheduler_answer (scheduler, fleet.report (7, 2), fleet.now, nullptr);
  EXPECT_EQ (ft_scheduler_next_direct_request (scheduler, fleet.now), nullptr);
  fleet.commit_writes (fleet.now);
  EXPECT_LE (ft_scheduler_examined (scheduler) - before, 64u);
  // A tick, which includes a placement pass over the full fleet, examines machines, jobs and attempts at most 40 times
  // for each machine and job of the fleet.
  before = ft_scheduler_examined (scheduler);
  ft_scheduler_tick (scheduler, fleet.now + kS, TRUE);
  EXPECT_LE (ft_scheduler_examined (scheduler) - before, 40 * (fleet.kMachines + fleet.kJobs));
}

// Guards against freeing tasks only because time has passed: a machine that hangs past its worker lease still has its
// tasks. The random runs found this fault.
TEST (Scheduler, ExpiredWorkerLeaseFreesNoTask)
{
  OneMachine harness;
  ASSERT_NO_FATAL_FAILURE (harness.start_job ("req-1", 5, 100 * kS, 2));
  FtTaskStatus status = task_status ("req-1", 0, harness.attempt, FT_TASK_PHASE_RUNNING, FT_EXIT_NONE);
  g_autoptr (GArray) more = harness.exchange (102 * kS, 3, { status });
  for (gint64 at = 103; at < 160; at++) {
    ft_scheduler_set_cancellations_known_until (harness.scheduler, at * kS);
    ft_scheduler_tick (harness.scheduler, at * kS, TRUE);
  }
  EXPECT_EQ (ft_scheduler_job_progress (harness.scheduler, "req-1").running, 1u);
  // The cloud confirms the termination, so the task cannot run any more.
  FtCloudCall *call = nullptr;
  while ((call = ft_scheduler_next_cloud (harness.scheduler, 160 * kS)) != nullptr && call->op != FT_CLOUD_SCALE_IN)
    ft_cloud_call_free (call);
  ASSERT_NE (call, nullptr);
  ft_scheduler_cloud_done (harness.scheduler, call, FT_CLOUD_OK, 160 * kS);
  ft_cloud_call_free (call);
  EXPECT_EQ (ft_scheduler_job_progress (harness.scheduler, "req-1").running, 0u);
}

TEST (Scheduler, OlderHeartbeatChangesNoTask)
{
  OneMachine harness (5);
  ASSERT_NO_FATAL_FAILURE (harness.start_job ("req-1", 5, 100 * kS, 6));
  FtTaskStatus status = task_status ("req-1", 0, harness.attempt, FT_TASK_PHASE_EXITED, FT_EXIT_ERROR);
  g_autoptr (GArray) late = harness.exchange (102 * kS, 4, { status });
  EXPECT_EQ (late->len, 0u);
  FtJob *job = harness.job ("req-1");
  EXPECT_EQ (job->tasks[0].state, FT_TASK_STARTING);
}

TEST (Scheduler, HeartbeatWithAHigherTokenEndsTheLeadership)
{
  SchedulerHarness harness;
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  g_autoptr (FtWorkerHeartbeat) heartbeat = harness.new_heartbeat (1, 1, 4);
  EXPECT_FALSE (ft_scheduler_heartbeat (harness.scheduler, heartbeat, 101 * kS));
}

TEST (Scheduler, MachineOnWhichTasksOfDifferentJobsFailIsTerminated)
{
  OneMachine harness;
  guint64 sequence = 2, revision = 5;
  gint64 now = 100 * kS;
  for (const char *ref : { "req-1", "req-2" }) {
    ASSERT_NO_FATAL_FAILURE (harness.start_job (ref, revision++, now, sequence++));
    now += kS;
    FtTaskStatus status = task_status (ref, 0, harness.attempt, FT_TASK_PHASE_EXITED, FT_EXIT_ERROR);
    g_autoptr (GArray) rest = harness.exchange (now, sequence++, { status });
  }
  ft_scheduler_tick (harness.scheduler, now + kS, TRUE);
  FtMachine *machine = harness.machine ("n-1");
  EXPECT_EQ (machine->state, FT_MACHINE_TERMINATING);
}

} // namespace
