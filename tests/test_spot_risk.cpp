// How the risk of losing spot machines is estimated, and what placement makes of it.
#include <gtest/gtest.h>

#include "scheduler_harness.hpp"

namespace {

TEST (SpotRisk, TheRateFollowsWhatWasSeen)
{
  FtSpotRisk risk{};
  double before = ft_spot_risk_rate (&risk);
  ft_spot_risk_observe (&risk, 1000, FT_HOUR_S);
  EXPECT_LT (ft_spot_risk_rate (&risk), before / 100) << "a thousand machine-hours without a loss";
  for (int i = 0; i < 2000; i++)
    ft_spot_risk_lost (&risk);
  EXPECT_NEAR (ft_spot_risk_rate (&risk), 2, 0.01);
}

TEST (SpotRisk, AJobOfManyTasksIsDelayedMoreThanOneOfFew)
{
  FtSpotRisk risk{};
  g_autoptr (FtJobSpec) one = spec ("req-1", 1);
  g_autoptr (FtJobSpec) many = spec ("req-2", 400);
  one->estimate_s = many->estimate_s = 60;
  EXPECT_LT (ft_spot_risk_delay_s (&risk, one), 1);
  EXPECT_GT (ft_spot_risk_delay_s (&risk, many), 30);
  EXPECT_LE (ft_spot_risk_delay_s (&risk, many), 60);
  many->checkpoint_s = 10;
  EXPECT_LE (ft_spot_risk_delay_s (&risk, many), 10) << "what was saved is not repeated";
}

// Two machines with room, one of either kind.
struct TwoKinds : SchedulerHarness {
  TwoKinds ()
  {
    ft_scheduler_loaded (s, 100 * kS);
    machine_up (100 * kS, 1, "n-1", "a", false);
    machine_up (100 * kS, 1, "n-2", "a", true);
  }
  std::string
  place_one_of (guint tasks, double checkpoint_s)
  {
    FtJobSpec *wanted = spec ("req-1", tasks);
    wanted->cpus = 1;
    wanted->estimate_s = 60;
    wanted->checkpoint_s = checkpoint_s;
    wanted->priority = FT_PRIORITY_NORMAL;
    ft_scheduler_job_added (s, wanted, 5, 101 * kS, 0);
    ft_scheduler_place (s, 101 * kS, TRUE);
    return place_of ("req-1", 0);
  }
};

// Found on the schools' steady day: 9 of 14 late arrays of some sixty tasks were late since a
// spot machine with one of their tasks was taken, while ordinary machines stood idle.
TEST (SpotRisk, AnArrayThatOneLossWouldDelayGoesToOrdinaryMachines)
{
  TwoKinds both;
  EXPECT_EQ (both.place_one_of (30, 0), "n-1");
}

TEST (SpotRisk, WhatRisksLittleStillTakesTheCheapMachine)
{
  TwoKinds few, saving;
  EXPECT_EQ (few.place_one_of (2, 0), "n-2") << "a job of two tasks";
  EXPECT_EQ (saving.place_one_of (30, 5), "n-2") << "a job whose tasks save every 5 s";
}

// The rate is learned from notices.
TEST (SpotRisk, ANoticeRaisesTheRate)
{
  TwoKinds both;
  double before = ft_spot_risk_rate (&both.s->spot_risk);
  for (guint64 sequence : { 2, 3 }) { // one loss, however often it is reported
    g_autoptr (FtWorkerHeartbeat) r = both.heartbeat (1, sequence, 3, "n-2", "a", true);
    r->notice_s = 10;
    ASSERT_TRUE (ft_scheduler_heartbeat (both.s, r, 101 * kS));
  }
  EXPECT_EQ (both.s->spot_risk.losses, 1u);
  EXPECT_GT (ft_spot_risk_rate (&both.s->spot_risk), before);
}

} // namespace
