// Seeded random runs: three cores against the stand-in world with every kind
// of trouble; the rules are checked after each step.
#include <gtest/gtest.h>

#include "world.hpp"

using namespace sim;

namespace {

// Seeds per group and simulated length; a few dozen runs in all.
constexpr int kSeedsPerGroup = 5;
constexpr Time kBusy = 150 * kSecond, kLength = 420 * kSecond;

struct Day {
  World world;
  std::vector<std::string> refs;
  explicit Day (guint32 seed) : world (seed)
  {
    for (auto &node : world.nodes)
      node->start ();
  }
  void
  load ()
  {
    for (int i = 0; i < 26; i++) {
      std::string ref = "req-" + std::to_string (100000 + world.below (800000) * 10 + i % 10);
      refs.push_back (ref);
      Time when = (Time) (world.uniform (1, 140) * kSecond);
      guint tasks = (guint) world.below (9) + 1;
      double cpus = 1 + world.below (4), run = world.uniform (3, 40);
      std::string team = world.chance (0.6) ? "red" : "blue";
      bool zone = world.chance (0.15), spread = !zone && world.chance (0.2), spot = world.chance (0.7);
      world.at (when, [this, ref, tasks, cpus, run, team, zone, spread, spot] {
        world.submit (ref, tasks, cpus, run, team, zone, spread, spot);
      });
      if (world.chance (0.25))
        world.at (when + (Time) (world.uniform (1, 40) * kSecond), [this, ref] { world.withdraw (ref); });
      for (Time t = when + 5 * kSecond; t < kLength; t += 7 * kSecond)
        world.at (t, [this, ref] { world.poll (ref); });
    }
    world.at (30 * kSecond, [this] { world.poll ("req-999"); });
  }
  void
  crash (Time when, int node)
  {
    world.at (when, [this, node] { world.nodes[node]->crash ((Time) (world.uniform (0.3, 6) * kSecond)); });
  }
  std::shared_ptr<Worker>
  any_machine ()
  {
    auto it = world.machines.begin ();
    std::advance (it, world.below ((int) world.machines.size ()));
    return it->second;
  }
  void
  machine_trouble (Time when)
  {
    world.at (when, [this] {
      if (world.machines.empty ())
        return;
      auto m = any_machine ();
      double roll = world.uniform (0, 1);
      if (roll < 0.4)
        m->die ();
      else if (roll < 0.8)
        m->hang (world.now + (Time) (world.uniform (3, 40) * kSecond));
      else
        world.failing.insert (m->name);
    });
  }
  void
  cut_node (Time when, int node, bool from_store)
  {
    world.at (when, [this, node, from_store] {
      Time until = world.now + (Time) (world.uniform (5, 40) * kSecond);
      std::string name = "node-" + std::to_string (node);
      if (from_store)
        world.cut (name, "store", until);
      else
        for (auto &[machine, worker] : world.machines)
          if (world.chance (0.6))
            world.cut (name, machine, until);
    });
  }
  void
  outage (Time when, Time length)
  {
    world.at (when, [this] { world.store.down = true; });
    world.at (when + length, [this] { world.store.down = false; });
  }
  // What the leader makes of a job, for the message of a failure.
  std::string
  seen_by_leader (const std::string &ref)
  {
    std::string text = "no leader";
    std::pair<std::string, std::string *> sought = { ref, &text };
    for (auto &node : world.nodes)
      if (node->alive && node->leads ()) {
        text = node->name () + " does not know it";
        ft_scheduler_each_job (
            node->scheduler (),
            [] (const char *name, const char *, const char *state, guint, guint done, guint running, const char *waits,
                gpointer data) {
              auto wanted = (std::pair<std::string, std::string *> *) data;
              if (wanted->first == name)
                *wanted->second = std::string (state) + ", " + std::to_string (done) + " done, "
                                  + std::to_string (running) + " running, waits for: " + waits;
            },
            &sought);
      }
    return text;
  }
  void
  finish ()
  {
    world.run_until (kLength);
    world.checker->end ();
    for (const std::string &what : world.checker->broken ())
      ADD_FAILURE () << what;
    int open = 0;
    for (const auto &[ref, job] : world.checker->jobs ())
      if (job.final_told.empty () && job.accepted) {
        open++;
        ADD_FAILURE () << ref << " of " << job.team << ": " << job.done.size () << " of " << job.tasks
                       << " tasks done; " << seen_by_leader (ref);
      }
    EXPECT_EQ (open, 0) << "jobs neither done nor cancelled at the end";
  }
};

class RandomRun : public testing::TestWithParam<guint32> {};

TEST_P (RandomRun, QuietDayFinishes)
{
  Day day (GetParam ());
  day.load ();
  day.finish ();
}

TEST_P (RandomRun, ControllersCrash)
{
  Day day (GetParam () + 100);
  day.load ();
  for (int i = 0; i < 8; i++)
    day.crash ((Time) (day.world.uniform (10, 150) * kSecond), day.world.below (3));
  for (int i = 0; i < 3; i++)
    day.crash (100 * kSecond, i);
  day.finish ();
}

TEST_P (RandomRun, MachinesDieHangAndFail)
{
  Day day (GetParam () + 200);
  day.load ();
  for (int i = 0; i < 6; i++)
    day.machine_trouble ((Time) (day.world.uniform (20, 150) * kSecond));
  day.finish ();
}

TEST_P (RandomRun, CutsAndOutages)
{
  Day day (GetParam () + 300);
  day.load ();
  for (int i = 0; i < 5; i++)
    day.cut_node ((Time) (day.world.uniform (15, 140) * kSecond), day.world.below (3), day.world.chance (0.5));
  day.outage ((Time) (day.world.uniform (30, 110) * kSecond), (Time) (day.world.uniform (5, 30) * kSecond));
  day.finish ();
}

TEST_P (RandomRun, EverythingAtOnce)
{
  Day day (GetParam () + 400);
  day.world.loss = 0.02;
  day.world.late = 0.02;
  day.load ();
  for (int i = 0; i < 5; i++) {
    Time when = (Time) (day.world.uniform (15, 150) * kSecond);
    day.crash (when, day.world.below (3));
    day.machine_trouble (when + (Time) (day.world.uniform (-2, 2) * kSecond));
    day.cut_node ((Time) (day.world.uniform (15, 140) * kSecond), day.world.below (3), day.world.chance (0.5));
  }
  day.outage (90 * kSecond, 15 * kSecond);
  day.finish ();
}

INSTANTIATE_TEST_SUITE_P (Seeds, RandomRun, testing::Range<guint32> (1, 1 + kSeedsPerGroup));

// The checker itself must be able to fail: one broken step per rule.
class CheckerFails : public testing::Test {
protected:
  Checker checker{ { { "red", 8 } }, 10 * kSecond };
  void
  SetUp () override
  {
    Checker::Job job;
    job.team = "red";
    job.cpus = 4;
    job.tasks = 3;
    job.spot = false;
    checker.submitted ("req-1", job);
    job.spread = true;
    job.spot = true;
    checker.submitted ("req-2", job);
    job.spread = false;
    job.one_zone = true;
    checker.submitted ("req-3", job);
  }
  void
  expect (const std::string &rule)
  {
    ASSERT_EQ (checker.broken ().size (), 1u);
    EXPECT_EQ (checker.broken ()[0].substr (0, rule.size ()), rule);
  }
};

TEST_F (CheckerFails, RanTwice)
{
  checker.on (0, "req-1", 0, { "m1", "a", false });
  checker.off ("req-1", 0, "m1");
  checker.on (1, "req-1", 0, { "m2", "a", false });
  EXPECT_TRUE (checker.broken ().empty ());
  checker.on (2, "req-1", 0, { "m3", "a", false });
  expect ("ran_twice");
}

TEST_F (CheckerFails, Quota)
{
  checker.on (0, "req-1", 0, { "m1", "a", false });
  checker.on (0, "req-1", 1, { "m1", "a", false });
  EXPECT_TRUE (checker.broken ().empty ());
  checker.on (0, "req-1", 2, { "m1", "a", false });
  expect ("quota");
}

TEST_F (CheckerFails, WrongKindOfMachine)
{
  checker.on (0, "req-1", 0, { "m1", "a", true });
  expect ("wrong_place");
}

TEST_F (CheckerFails, WrongSpread)
{
  Checker wide{ { { "red", 80 } }, 10 * kSecond };
  Checker::Job job = checker.jobs ().at ("req-2");
  wide.submitted ("req-2", job);
  wide.on (0, "req-2", 0, { "m1", "a", true });
  wide.on (0, "req-2", 1, { "m1", "a", true });
  EXPECT_TRUE (wide.broken ().empty ());
  wide.on (0, "req-2", 2, { "m1", "a", true });
  ASSERT_EQ (wide.broken ().size (), 1u);
}

TEST_F (CheckerFails, TwoZones)
{
  checker.on (0, "req-3", 0, { "m1", "a", true });
  checker.on (0, "req-3", 1, { "m2", "b", true });
  expect ("wrong_place");
}

TEST_F (CheckerFails, RanCancelled)
{
  checker.on (0, "req-1", 0, { "m1", "a", false });
  checker.cancel_asked ("req-1");
  checker.told (kSecond, "req-1", "cancelled");
  checker.step (11 * kSecond);
  EXPECT_TRUE (checker.broken ().empty ());
  checker.step (11 * kSecond + 1);
  expect ("ran_cancelled");
}

TEST_F (CheckerFails, Forgotten)
{
  checker.told (0, "req-1", "");
  EXPECT_TRUE (checker.broken ().empty ());
  checker.told (0, "req-1", "queued");
  checker.told (1, "req-1", "");
  expect ("forgotten");
}

TEST_F (CheckerFails, RefusedAgain)
{
  checker.told (0, "req-1", "queued");
  checker.refused ("req-1");
  expect ("forgotten");
}

TEST_F (CheckerFails, Invented)
{
  checker.told (0, "req-9", "");
  EXPECT_TRUE (checker.broken ().empty ());
  checker.told (0, "req-9", "queued");
  expect ("invented");
}

TEST_F (CheckerFails, NotDone)
{
  checker.finished ("req-1", 0);
  checker.finished ("req-1", 1);
  checker.told (0, "req-1", "done");
  expect ("not_done");
}

TEST_F (CheckerFails, WentBack)
{
  checker.cancel_asked ("req-1");
  checker.told (0, "req-1", "cancelled");
  checker.told (1, "req-1", "running");
  expect ("went_back");
}

TEST_F (CheckerFails, CancelledUnasked)
{
  checker.told (0, "req-1", "cancelled");
  expect ("went_back");
}

TEST_F (CheckerFails, NothingRan)
{
  checker.end ();
  expect ("nothing_ran");
}

} // namespace
