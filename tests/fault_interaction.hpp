// The fixture of the fault interactions: tests in which several faults coincide in the
// simulated world (docs/fault-interactions.md).
//
// Each test brings one interaction about, asserts that it happened, and leaves the
// verdict to the checker. What is drawn varies with the seed: on odd seeds controllers
// give each other no advisories, since no rule may rest on them, and on half of the
// seeds all steady clocks are at the limits of their drift.
#pragma once
#include "day.hpp"

// Seeds of each test.
constexpr guint32 kSeeds = 4;

class FaultInteraction : public testing::TestWithParam<guint32> {
protected:
  void
  SetUp () override
  {
    world.faults.advisories = GetParam () % 2 == 0;
    world.faults.extreme_clocks = GetParam () % 4 < 2;
  }

  // A drawn time span.
  sim::Time
  seconds_between (double least, double most)
  {
    return world.seconds_between (least, most);
  }

  // Ends the leader's process now, if there is one, for a drawn number of seconds.
  void
  crash_leader (double least_s, double most_s)
  {
    if (sim::Node *leader = day.leader ())
      leader->crash (seconds_between (least_s, most_s));
  }

  // The store is down from now on for longer than a cancelled job may run.
  void
  begin_long_outage ()
  {
    world.store.down = true;
    world.after (cancel + 20 * sim::kSecond, [this] { world.store.down = false; });
  }

  // All heartbeats that controllers have answered.
  guint
  heartbeats_answered () const
  {
    guint count = 0;
    for (const auto &node : world.nodes)
      count += node->heartbeats_answered;
    return count;
  }

  // Whatever happens, no task of a cancelled job is left after its time: the checker's
  // rule, which only counts if cancellations were confirmed while the fault was active.
  void
  expect_cancellations_confirmed (sim::Time from, sim::Time to) const
  {
    EXPECT_GT (day.confirmed_between (from, to), 0u) << "no cancellation was confirmed in the gap";
  }

  sim::Day day{ GetParam () * 7919 };
  sim::World &world = day.world;
  const sim::Time cancel = (sim::Time) (world.settings.cancel_s * sim::kSecond);
  const sim::Time lease = (sim::Time) (world.settings.lease_s * sim::kSecond);
};
