// Fault interactions in which a leader's process crashes while another fault is active. A test fails if the checker of
// the simulated world reports a violation of a rule of the protocol, or if a job has not ended by the end of the run.
#include "fault_interaction.hpp"

using namespace sim;

namespace {

class FailoverFaults : public FaultInteraction {
protected:
  // Submits three jobs, which create new demand for machines.
  void
  submit_wave (Time when, int first_number)
  {
    world.at (when, [this, first_number] {
      for (int i = 0; i < 3; i++) {
        std::string ref = "req-5" + std::to_string (first_number + i);
        day.refs.push_back (ref);
        world.submit (ref, 4, 4, 15, i % 2 ? "red" : "blue", false, false, true);
        day.poll_until_end (ref, world.now + 5 * kSecond, 7 * kSecond);
      }
    });
  }
  // Crashes the leader's process within two seconds after a machine's launch, but at most once in 12 s.
  void
  crash_leader_after_launch ()
  {
    bool launched = world.cloud.launched > launches_seen;
    launches_seen = world.cloud.launched;
    if (!launched || world.now < next_crash || day.leader () == nullptr)
      return;
    next_crash = world.now + 12 * kSecond;
    crashes_after_launch++;
    world.after (seconds_between (0.3, 1.9), [this] { crash_leader (0.1, 3); });
  }
  guint launches_seen = 0, crashes_after_launch = 0;
  Time next_crash = 0;
};

TEST_P (FailoverFaults, AllControllersDownForLongerThanALease)
{
  guint starts_before = 0, starts_after = 0;
  day.load_long (10, 3, 120);
  day.cancel_running (59 * kSecond, 3);
  world.at (60 * kSecond, [&] {
    starts_before = world.checker->starts ();
    for (int i = 0; i < 3; i++)
      world.nodes[i]->crash (lease + seconds_between (2, 8));
  });
  // Soon after they have restarted, the controllers crash repeatedly, and each time restart within a second.
  for (int i = 0; i < 3; i++)
    day.restart_quickly (60 * kSecond + lease + 8 * kSecond, i);
  world.at (60 * kSecond + lease, [&] { starts_after = world.checker->starts (); });
  day.finish ();
  expect_cancellations_confirmed (59 * kSecond, 62 * kSecond);
  EXPECT_LE (starts_after, starts_before + 30) << "too many tasks were started while all controllers were down";
  EXPECT_GT (world.checker->starts (), starts_after) << "no task was started after the controllers had returned";
}

TEST_P (FailoverFaults, LeadershipChangesRepeatedly)
{
  day.load ();
  day.load_long (8, 3, 60);
  for (int i = 0; i < 12; i++)
    world.at ((30 + 9 * i) * kSecond, [&] {
      if (Node *leader = day.leader ())
        leader->crash (world.chance (0.5) ? seconds_between (0.05, 0.9) : seconds_between (3, 6));
    });
  day.cancel_running (65 * kSecond, 2);
  day.cancel_running (100 * kSecond, 2);
  day.finish ();
  EXPECT_GE (world.counters.takeovers, 6u);
}

TEST_P (FailoverFaults, TenTakeoversInTwoMinutesAndAStoreOutage)
{
  day.load_long (10, 3, 100);
  day.load ();
  for (int i = 0; i < 14; i++)
    world.at ((30 + 9 * i) * kSecond, [&] { crash_leader (0.05, 2); });
  day.outage (90 * kSecond, 8 * kSecond);
  for (int i = 0; i < 5; i++)
    day.cancel_running (seconds_between (40, 140), 2);
  guint takeovers_before = 0, takeovers = 0;
  world.at (30 * kSecond, [&] { takeovers_before = world.counters.takeovers; });
  world.at (160 * kSecond, [&] { takeovers = world.counters.takeovers - takeovers_before; });
  day.finish ();
  EXPECT_GE (takeovers, 10u);
  expect_cancellations_confirmed (40 * kSecond, 145 * kSecond);
}

// A new leader must count the tasks that may run on unreachable machines, or a team exceeds its limit.
TEST_P (FailoverFaults, FailoverWithTeamAtItsLimitAndUnreachableMachines)
{
  Time when = 60 * kSecond;
  guint cpus_in_use = 0;
  day.load_long (16, 4, 60); // the jobs demand 128 CPUs, and the teams' limits are 48 and 32
  world.at (when, [&] {
    for (const auto &[ref, job] : world.checker->jobs ())
      cpus_in_use += world.checker->live (ref) * (guint) job.cpus;
    for (auto &[name, machine] : world.machines)
      if (machine->alive && machine->up && world.chance (0.5))
        for (auto &node : world.nodes)
          world.cut (node->name (), name, world.now + seconds_between (10, 40));
    crash_leader (0.3, 8);
  });
  day.cancel_running (when + seconds_between (0.5, 8), 4);
  day.finish ();
  EXPECT_GE (cpus_in_use, 60u) << "the teams were not at their limits";
  expect_cancellations_confirmed (when, when + 20 * kSecond);
}

// The tasks of a job complete at very different times, so that a takeover finds jobs of which only some tasks are done.
TEST_P (FailoverFaults, FailoversWhileJobsArePartlyDone)
{
  guint partly_done = 0;
  for (int i = 0; i < 12; i++) {
    std::string ref = "req-8" + std::to_string (i);
    day.refs.push_back (ref);
    guint tasks = 2 + (guint) i % 2;
    world.at (seconds_between (1, 60),
              [&, ref, tasks] { world.submit (ref, tasks, 1, 60, "red", false, false, true); });
    day.poll_until_end (ref, 20 * kSecond, 5 * kSecond);
  }
  for (int i = 0; i < 6; i++)
    world.at ((40 + 15 * i) * kSecond, [&] {
      for (const auto &[ref, job] : world.checker->jobs ())
        partly_done += !job.done.empty () && job.done.size () < job.tasks;
      crash_leader (0.1, 5);
    });
  day.finish ();
  EXPECT_GT (partly_done, 0u) << "no job was partly done at a takeover";
}

// New machines boot within two seconds while the store is slow, and the leader's process crashes shortly after a
// launch.
TEST_P (FailoverFaults, FailoverWhileNewMachinesGetWork)
{
  world.cloud.least_boot_s = 0.2;
  world.cloud.longest_boot_s = 1.8;
  world.faults.slow_store_answers = 0.4;
  day.load_long (6, 3, 30);
  for (int i = 0; i < 5; i++)
    submit_wave ((20 + 20 * i) * kSecond, 10 * i);
  for (Time when = 15 * kSecond; when < 140 * kSecond; when += kSecond / 5)
    world.at (when, [&] { crash_leader_after_launch (); });
  world.at (150 * kSecond, [&] { world.faults.slow_store_answers = 0; });
  day.finish ();
  EXPECT_GT (crashes_after_launch, 0u) << "no leader's process ended shortly after a launch";
}

// The cloud executes calls of a former leader late. A launched machine that the new leader does not expect is used or
// terminated, and tasks that a late termination ends are placed again.
TEST_P (FailoverFaults, CloudCallsOfFormerLeaderExecutedLate)
{
  world.faults.late_cloud_calls = 0.7;
  day.load ();
  day.load_long (14, 4, 40);
  for (int i = 0; i < 5; i++)
    world.at ((15 + 20 * i) * kSecond, [&] { crash_leader (0.1, 5); });
  world.at (150 * kSecond, [&] { world.faults.late_cloud_calls = 0; });
  day.finish ();
  EXPECT_GT (world.counters.late_launches, 0u) << "no machine was launched late";
  EXPECT_LE (world.alive_machines (), 2u) << "too many machines without work were kept";
}

INSTANTIATE_TEST_SUITE_P (Seeds, FailoverFaults, testing::Range<guint32> (1, 1 + kSeeds));

} // namespace
