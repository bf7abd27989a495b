// Zones that cannot be reached: when a leader says so, and what it makes of it.
#include <gtest/gtest.h>

#include <map>

#include "day.hpp"
#include "scheduler_harness.hpp"

namespace {

constexpr int kEach = 8; // machines in each of two zones

// Two zones of machines that report every heartbeat_s, as far as a test lets them.
struct TwoZones : SchedulerHarness {
  gint64 now = 100 * kS;
  guint64 sequence = 1;
  TwoZones ()
  {
    ft_scheduler_loaded (scheduler, now);
    report ("a");
    report ("b");
  }
  static std::string
  name (const std::string &zone, int i)
  {
    return "n-" + zone + std::to_string (i);
  }
  void
  report (const std::string &zone)
  {
    sequence++;
    for (int i = 0; i < kEach; i++)
      machine_up (now, sequence, name (zone, i).c_str (), zone.c_str ());
  }
  // Time goes on; only machines of the named zones report, and the store is reachable or not.
  void
  run (double for_s, const std::vector<std::string> &heard, bool store_seen = true)
  {
    gint64 end = now + (gint64) (for_s * kS);
    for (int i = 0; now < end; i++) {
      now += kS / 2;
      if (store_seen)
        ft_scheduler_cancellations_known (scheduler, now);
      for (const std::string &zone : heard)
        if (i % 4 == 0)
          report (zone);
      ft_scheduler_tick (scheduler, now, TRUE);
    }
  }
  guint
  terminating (const std::string &zone)
  {
    guint n = 0;
    for (int i = 0; i < kEach; i++)
      n += machine (name (zone, i).c_str ())->state == FT_MACHINE_TERMINATING;
    return n;
  }
  double
  overdue_s ()
  {
    return (double) ft_reachability_overdue_us (&scheduler->context) / kS;
  }
};

// Found on the schools' days with a zone cut: half of the zone's machines, and the tasks on
// them, waited 12 to 18 s longer for the bound on terminations for silence.
TEST (Zone, AllMachinesOfAnUnreachableZoneAreGivenUpTogether)
{
  TwoZones day;
  day.run (day.overdue_s () + 1.5, { "a" });
  EXPECT_TRUE (day.zone_unreachable ("b"));
  EXPECT_FALSE (day.zone_unreachable ("a"));
  EXPECT_EQ (day.terminating ("b"), (guint) kEach);
  EXPECT_EQ (day.terminating ("a"), 0u);
}

TEST (Zone, OneMachineThatIsHeardKeepsItsZoneReachable)
{
  TwoZones day;
  gint64 end = day.now + 60 * kS;
  while (day.now < end) {
    day.run (2, { "a" });
    day.machine_up (day.now, ++day.sequence, "n-b0", "b");
  }
  EXPECT_FALSE (day.zone_unreachable ("b"));
  EXPECT_EQ (day.machine ("n-b0")->state, FT_MACHINE_UP);
}

// It is cut off itself, and its successor uses these machines.
TEST (Zone, ALeaderThatHearsNobodyOrDoesNotSeeTheStoreGivesNothingUp)
{
  TwoZones deserted, without_store;
  deserted.run (deserted.overdue_s () + 4, {});
  EXPECT_FALSE (deserted.zone_unreachable ("a"));
  EXPECT_FALSE (deserted.zone_unreachable ("b"));
  without_store.run (without_store.overdue_s () + 4, { "a" }, false);
  EXPECT_TRUE (without_store.zone_unreachable ("b"));
  EXPECT_EQ (without_store.terminating ("b"), 0u);
  without_store.run (1, { "a" });
  EXPECT_EQ (without_store.terminating ("b"), (guint) kEach) << "as soon as it sees the store again";
}

// Found on the schools' days: two thirds of what was launched during a cut went to the cut zone,
// whose pools were the emptiest, and counted as supply until they failed to come up.
TEST (Zone, LittleIsRentedInAnUnreachableZoneAndNothingThereCountsAsSupply)
{
  TwoZones day;
  std::map<std::string, guint> asked;
  day.run (day.overdue_s () + 1.5, { "a" });
  FtJobSpec *wanted = new_job_spec ("req-1", 400);
  wanted->team = (g_free (wanted->team), g_strdup ("blue"));
  day.world.remove_team_limits ();
  ft_scheduler_job_added (day.scheduler, wanted, 5, day.now, 0);
  for (int i = 0; i < 60; i++) {
    day.run (0.5, { "a" });
    while (FtCloudCall *call = ft_scheduler_next_cloud (day.scheduler, day.now)) {
      if (call->op == FT_CLOUD_SCALE_OUT) {
        asked[call->zone] += call->count;
        for (guint n = 0; n < call->count; n++)
          g_ptr_array_add (call->names, g_strdup_printf ("%s-%u", call->booking, n));
      }
      ft_scheduler_cloud_done (day.scheduler, call, FT_CLOUD_OK, day.now);
      ft_cloud_call_free (call);
    }
  }
  EXPECT_GE (asked["a"], 80u);
  EXPECT_GE (asked["b"], 1u) << "one now and then shows whether the zone is back";
  EXPECT_LE (asked["b"], 4u);
  day.machine_up (day.now, ++day.sequence, "n-new", "b");
  EXPECT_FALSE (day.zone_unreachable ("b"));
}

// The same in the stand-in world: a zone with machines and without controllers is cut off.
// What ran there runs elsewhere long before the cut is over.
class ZoneCut : public testing::TestWithParam<guint32> {};

TEST_P (ZoneCut, WorkOfAZoneWithoutControllersGoesOnElsewhere)
{
  sim::Day day (GetParam () * 131, 3);
  sim::World &world = day.world;
  sim::Time cut_at = 50 * sim::kSecond, length = 90 * sim::kSecond;
  std::string zone;
  std::map<std::string, guint> up; // machines in each zone when the cut begins
  day.load_long (10, 6, 60);
  world.at (cut_at, [&] {
    for (auto &[name, worker] : world.machines)
      up[worker->zone] += worker->alive && worker->up;
    zone = up["a"] < up["b"] ? "a" : "b"; // most machines must still be heard
  });
  for (sim::Time at = cut_at; at < cut_at + length; at += sim::kSecond)
    world.at (at, [&] { // what is launched there meanwhile is cut off as well
      for (auto &[name, worker] : world.machines)
        for (auto &node : world.nodes)
          if (worker->zone == zone)
            world.cut (node->name (), name, cut_at + length);
    });
  guint left = 0;
  world.at (cut_at + 16 * sim::kSecond, [&] {
    for (const auto &[ref, job] : world.checker->jobs ())
      left += world.checker->live_in (ref, zone);
  });
  day.finish ();
  EXPECT_GE (up[zone], FT_ZONE_MEMBERS_MIN) << "too few machines for a zone's worth";
  EXPECT_EQ (left, 0u) << "tasks that are still in the cut zone 16 s later";
}

INSTANTIATE_TEST_SUITE_P (Seeds, ZoneCut, testing::Range<guint32> (1, 5));

} // namespace
