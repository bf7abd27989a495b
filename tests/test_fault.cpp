// Tests of how faulty machines are distinguished from jobs that fail on every machine.
#include <gtest/gtest.h>

#include <map>

#include "day.hpp"
#include "scheduler_harness.hpp"

extern "C" {
#include "core/attempt_lifecycle.h"
#include "core/fault.h"
}

namespace {

// A scheduler with a number of machines, on which a test lets attempts of chosen tasks run, complete or fail.
struct Fleet : SchedulerHarness {
  gint64 now = 100 * kS;
  guint64 sequence = 1;
  guint machines;
  explicit Fleet (guint n) : machines (n)
  {
    ft_scheduler_loaded (scheduler, now);
    for (guint i = 0; i < n; i++)
      machine_up (now, sequence, name (i).c_str ());
  }
  static std::string
  name (guint i)
  {
    return "n-" + std::to_string (i + 1);
  }
  FtMachine *
  at (guint i)
  {
    return machine (name (i).c_str ());
  }
  void
  add_job (const char *ref, guint tasks, guint64 revision)
  {
    FtJobSpec *wanted = new_job_spec (ref, tasks);
    wanted->cpus = 0.1;
    ft_scheduler_job_added (scheduler, wanted, revision, now, 0);
  }
  // Binds a new attempt of the task to the machine with index `on`, whichever machine placement would choose, and
  // reports the attempt's phase and exit reason in a heartbeat.
  void
  report_status (const char *ref, guint index, guint on, FtTaskPhase state, FtExitReason why)
  {
    static guint64 attempt = 1000;
    FtTaskStatus status = task_status (ref, index, ++attempt, state, why);
    FtAttempt *started = ft_attempt_new (at (on), job (ref), ref, index, status.attempt);
    ft_attempt_reserve (started);
    ft_attempt_bind (started, FT_TASK_STARTING);
    forbid_starts ();
    g_autoptr (FtWorkerHeartbeat) heartbeat = new_heartbeat (1, ++sequence, 3, name (on).c_str ());
    add_tasks (heartbeat, { status });
    ASSERT_TRUE (ft_scheduler_heartbeat (scheduler, heartbeat, now));
  }
  void
  fail (const char *ref, guint index, guint on)
  {
    report_status (ref, index, on, FT_TASK_PHASE_EXITED, FT_EXIT_ERROR);
  }
  guint
  quarantined ()
  {
    guint n = 0;
    for (guint i = 0; i < machines; i++)
      n += ft_machine_is_quarantined (at (i));
    return n;
  }
};

// Guards against one array job whose tasks are started on a faulty machine again and again. Two failures of a single
// job suffice for quarantine if another of its tasks succeeds on another machine.
TEST (Fault, MachineIsQuarantinedForOneJobThatSucceedsElsewhere)
{
  Fleet fleet (4);
  fleet.add_job ("req-1", 10, 5);
  fleet.report_status ("req-1", 0, 1, FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  fleet.fail ("req-1", 1, 0);
  EXPECT_FALSE (ft_machine_is_quarantined (fleet.at (0))) << "a single failure must not quarantine a machine";
  fleet.fail ("req-1", 2, 0);
  EXPECT_TRUE (ft_machine_is_quarantined (fleet.at (0)));
  EXPECT_EQ (fleet.quarantined (), 1u);
}

TEST (Fault, TaskThatRunsLongerThanFailedOnesCountsAsSuccessElsewhere)
{
  Fleet fleet (4);
  fleet.add_job ("req-1", 10, 5);
  fleet.report_status ("req-1", 0, 1, FT_TASK_PHASE_RUNNING, FT_EXIT_NONE);
  fleet.now += (gint64) ((FT_FAULT_MARGIN_S + 1) * kS);
  for (guint task : { 1, 2 })
    fleet.fail ("req-1", task, 0);
  EXPECT_TRUE (ft_machine_is_quarantined (fleet.at (0)));
}

TEST (Fault, JobsThatFailOnEveryMachineQuarantineFewMachines)
{
  Fleet fleet (20);
  fleet.add_job ("req-1", 20, 5);
  fleet.add_job ("req-2", 20, 6);
  for (guint i = 0; i < fleet.machines; i++) {
    fleet.fail ("req-1", i, i);
    fleet.fail ("req-2", i, i);
  }
  EXPECT_LT (fleet.quarantined (), FT_FAULTY_JOB_MACHINES);
}

TEST (Fault, EarlierFailuresOfAMachineNoLongerCountAfterATaskHasCompletedOnIt)
{
  Fleet fleet (4);
  fleet.add_job ("req-1", 10, 5);
  fleet.report_status ("req-1", 0, 1, FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  fleet.fail ("req-1", 1, 0);
  fleet.report_status ("req-1", 2, 0, FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  fleet.fail ("req-1", 3, 0);
  EXPECT_EQ (fleet.quarantined (), 0u);
}

TEST (Fault, QuarantineIsLimitedToAShareOfTheMachines)
{
  Fleet fleet (20);
  fleet.add_job ("req-1", 60, 5);
  fleet.report_status ("req-1", 0, 0, FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  for (guint i = 0; i < fleet.machines; i++)
    for (guint task : { 1 + 2 * i, 2 + 2 * i })
      fleet.fail ("req-1", task, i);
  EXPECT_EQ (fleet.quarantined (), (guint) (FT_QUARANTINE_SHARE * fleet.machines));
}

// Guards against terminating a quarantined machine together with a task that still runs on it.
TEST (Fault, FaultyMachineIsTerminatedOnceItIsIdle)
{
  Fleet fleet (4);
  fleet.add_job ("req-1", 10, 5);
  fleet.report_status ("req-1", 0, 1, FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  FtAttempt *running = ft_attempt_new (fleet.at (0), fleet.job ("req-1"), "req-1", 9, 77);
  ft_attempt_set_state (running, FT_ATTEMPT_ON_WORKER);
  running->running = TRUE;
  ft_attempt_reserve (running);
  ft_attempt_bind (running, FT_TASK_RUNNING);
  for (guint task : { 1, 2 }) {
    FtAttempt *started = ft_attempt_new (fleet.at (0), fleet.job ("req-1"), "req-1", task, 80 + task);
    ft_attempt_reserve (started);
    ft_attempt_bind (started, FT_TASK_STARTING);
    ft_fault_task_failed (&fleet.scheduler->machine_table, started);
    ft_attempt_end (started);
  }
  ASSERT_TRUE (ft_machine_is_quarantined (fleet.at (0)));
  EXPECT_FALSE (ft_machine_usable (fleet.at (0)));
  ft_scheduler_tick (fleet.scheduler, fleet.now, FALSE);
  EXPECT_EQ (fleet.at (0)->state, FT_MACHINE_UP) << "a machine must not be terminated while a task runs on it";
  ft_attempt_end (running);
  ft_scheduler_tick (fleet.scheduler, fleet.now, FALSE);
  EXPECT_EQ (fleet.at (0)->state, FT_MACHINE_TERMINATING);
}

// Guards against a faulty machine that gets no work and is not terminated for good, because a task that was started
// earlier completed on it and set the count of its failures back.
TEST (Fault, FaultyMachineIsTerminatedThoughAnEarlierTaskCompletesOnIt)
{
  Fleet fleet (4);
  fleet.add_job ("req-1", 10, 5);
  fleet.report_status ("req-1", 0, 1, FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  for (guint task : { 1, 2 })
    fleet.fail ("req-1", task, 0);
  ASSERT_TRUE (ft_machine_is_quarantined (fleet.at (0)));
  fleet.report_status ("req-1", 3, 0, FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  ft_scheduler_tick (fleet.scheduler, fleet.now, TRUE);
  EXPECT_EQ (fleet.at (0)->state, FT_MACHINE_UP) << "the result of the task is not committed yet";
  fleet.now += kS;
  while (fleet.commit_and_count (FT_WRITE_CHUNK, fleet.now) > 0)
    continue;
  ft_scheduler_tick (fleet.scheduler, fleet.now, TRUE);
  EXPECT_EQ (fleet.at (0)->state, FT_MACHINE_TERMINATING);
}

// In the simulated world, a fifth of the machines is faulty for 60 s: every task that starts there fails at once. The
// load consists of arrays of 400 tasks of one CPU, tasks that fill a machine, and a mistaken job, which fails on every
// machine.
class FaultyMachines : public testing::TestWithParam<guint32> {};

TEST_P (FaultyMachines, FailFewTasksBesideAJobThatFailsEverywhere)
{
  sim::Day day (GetParam () * 977, 10);
  sim::World &world = day.world;
  sim::Time fault_start = 40 * sim::kSecond, fault_length = 60 * sim::kSecond;
  world.settings.value_kb = 8;
  for (int i = 0; i < 3; i++) {
    world.at ((5 + 15 * i) * sim::kSecond,
              [&, i] { world.submit ("req-1" + std::to_string (i), 400, 1, 20, "red", false, false, true); });
    world.at ((7 + 15 * i) * sim::kSecond,
              [&, i] { world.submit ("req-2" + std::to_string (i), 10, 16, 15, "blue", false, false, true); });
  }
  world.at (30 * sim::kSecond, [&] {
    world.failing_jobs.insert ("req-30");
    world.submit ("req-30", 40, 1, 10, "blue", false, false, true);
  });
  world.at (150 * sim::kSecond, [&] { world.cancel ("req-30"); });
  for (const char *ref : { "req-10", "req-11", "req-12", "req-20", "req-21", "req-22", "req-30" })
    for (sim::Time at = 50 * sim::kSecond; at < day.length; at += 7 * sim::kSecond)
      world.at (at, [&world, ref] { world.poll (ref); });
  guint up = 0, faulty = 0, failures_before = 0;
  world.at (fault_start, [&] {
    failures_before = world.failures;
    for (auto &[name, worker] : world.machines)
      if (worker->alive && worker->up) {
        up++;
        if (up % 5 == 0) {
          worker->tasks_fail_until = fault_start + fault_length;
          faulty++;
        }
      }
  });
  guint failures_after = 0, mistaken_failures = 0;
  world.at (fault_start + fault_length, [&] { failures_after = world.failures; });
  world.at (149 * sim::kSecond, [&] { mistaken_failures = world.failures - failures_after; });
  day.finish ();
  RecordProperty ("up", (int) up);
  EXPECT_GE (faulty, 8u) << "too few machines were made faulty";
  EXPECT_GT (failures_after, failures_before) << "no task failed on a faulty machine";
  RecordProperty ("failures", (int) (failures_after - failures_before));
  EXPECT_LT (failures_after - failures_before, 400u) << "too many tasks were started on faulty machines";
  EXPECT_GT (mistaken_failures, 0u) << "the mistaken job did not continue to fail";
}

INSTANTIATE_TEST_SUITE_P (Seeds, FaultyMachines, testing::Range<guint32> (1, 4));

} // namespace
