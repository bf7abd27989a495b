// The fixture for fault interactions: tests in which several faults coincide in the simulated
// world (docs/fault-interactions.md).
//
// Each test causes one interaction and asserts that it occurred; the checker decides whether the
// rules held. Random parameters vary with the seed. On odd seeds controllers send each other no
// advisories of cancellations and of a yielded lease, since safety must not depend on these, and
// on half of the seeds all steady clocks have the largest drift allowed.
#pragma once
#include "day.hpp"

// The number of seeds with which each test runs.
constexpr guint32 kSeeds = 4;

class FaultInteraction : public testing::TestWithParam<guint32> {
protected:
  void
  SetUp () override
  {
    world.faults.advisories = GetParam () % 2 == 0;
    world.faults.extreme_clocks = GetParam () % 4 < 2;
  }

  // A random time span between the two numbers of seconds.
  sim::Time
  seconds_between (double least, double most)
  {
    return world.seconds_between (least, most);
  }

  // Kills the leader's process now, if there is a leader. It starts again after a random time.
  void
  crash_leader (double least_s, double most_s)
  {
    if (sim::Node *leader = day.leader ())
      leader->crash (seconds_between (least_s, most_s));
  }

  // Takes the store down now, for longer than the tasks of a cancelled job may go on running.
  void
  begin_long_outage ()
  {
    world.store.down = true;
    world.after (cancel + 20 * sim::kSecond, [this] { world.store.down = false; });
  }

  // The number of heartbeats that all controllers together have answered.
  guint
  heartbeats_answered () const
  {
    guint count = 0;
    for (const auto &node : world.nodes)
      count += node->heartbeats_answered;
    return count;
  }

  // Expects that cancellations were confirmed in that time span, while the fault was active. Without them the
  // checker's rule, that no task of a cancelled job remains after the deadline, would not be tested.
  void
  expect_cancellations_confirmed (sim::Time from, sim::Time to) const
  {
    EXPECT_GT (day.confirmed_between (from, to), 0u) << "no cancellation was confirmed while the fault was active";
  }

  sim::Day day{ GetParam () * 7919 };
  sim::World &world = day.world;
  // Time from a confirmed cancellation to the deadline for the job's tasks.
  const sim::Time cancel = (sim::Time) (world.settings.cancel_s * sim::kSecond);
  // Lease time of workers: a worker ends its tasks if no heartbeat sent within this time was answered.
  const sim::Time lease = (sim::Time) (world.settings.lease_s * sim::kSecond);
};
