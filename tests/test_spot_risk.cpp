// The estimate of the risk of losing spot machines, and its effect on placement.
#include <gtest/gtest.h>

#include "scheduler_harness.hpp"

namespace {

TEST (SpotRisk, RateFollowsObservedMachineHoursAndLosses)
{
  FtSpotRisk risk{};
  double before = ft_spot_risk_rate (&risk);
  ft_spot_risk_observe (&risk, 1000, FT_HOUR_S);
  EXPECT_LT (ft_spot_risk_rate (&risk), before / 100) << "a thousand machine-hours passed without a loss";
  for (int i = 0; i < 2000; i++)
    ft_spot_risk_lost (&risk);
  EXPECT_NEAR (ft_spot_risk_rate (&risk), 2, 0.01);
}

TEST (SpotRisk, JobOfManyTasksHasALongerExpectedDelay)
{
  FtSpotRisk risk{};
  g_autoptr (FtJobSpec) one = new_job_spec ("req-1", 1);
  g_autoptr (FtJobSpec) many = new_job_spec ("req-2", 400);
  one->estimate_s = many->estimate_s = 60;
  EXPECT_LT (ft_spot_risk_delay_s (&risk, one), 1);
  EXPECT_GT (ft_spot_risk_delay_s (&risk, many), 30);
  EXPECT_LE (ft_spot_risk_delay_s (&risk, many), 60);
  many->checkpoint_interval_s = 10;
  EXPECT_LE (ft_spot_risk_delay_s (&risk, many), 10) << "a task repeats only its work since the last checkpoint";
}

// Two machines with free capacity: n-1 is an ordinary machine, and n-2 is a spot machine.
struct OrdinaryAndSpotMachine : SchedulerHarness {
  OrdinaryAndSpotMachine ()
  {
    ft_scheduler_loaded (scheduler, 100 * kS);
    machine_up (100 * kS, 1, "n-1", "a", false);
    machine_up (100 * kS, 1, "n-2", "a", true);
  }
  // Adds a job with that many tasks and returns the machine on which its first task is placed.
  std::string
  place_job (guint tasks, double checkpoint_interval_s)
  {
    FtJobSpec *wanted = new_job_spec ("req-1", tasks);
    wanted->cpus = 1;
    wanted->estimate_s = 60;
    wanted->checkpoint_interval_s = checkpoint_interval_s;
    wanted->priority = FT_PRIORITY_NORMAL;
    ft_scheduler_job_added (scheduler, wanted, 5, 101 * kS, 0);
    ft_scheduler_place (scheduler, 101 * kS, TRUE);
    return machine_of ("req-1", 0);
  }
};

// Guards against late arrays: in a benchmark run, 9 of 14 late arrays of about sixty tasks were late because the cloud
// took back a spot machine with one of their tasks, while ordinary machines were idle.
TEST (SpotRisk, ArrayOfManyTasksIsPlacedOnAnOrdinaryMachine)
{
  OrdinaryAndSpotMachine harness;
  EXPECT_EQ (harness.place_job (30, 0), "n-1");
}

TEST (SpotRisk, SmallOrCheckpointedJobIsPlacedOnASpotMachine)
{
  OrdinaryAndSpotMachine small, checkpointed;
  EXPECT_EQ (small.place_job (2, 0), "n-2") << "a job of two tasks has a low risk of a loss";
  EXPECT_EQ (checkpointed.place_job (30, 5), "n-2") << "a job that saves a checkpoint every 5 s repeats little work";
}

// The rate of losses is estimated from interruption notices.
TEST (SpotRisk, InterruptionNoticeRaisesTheRate)
{
  OrdinaryAndSpotMachine harness;
  double before = ft_spot_risk_rate (harness.spot_risk ());
  for (guint64 sequence : { 2, 3 }) { // two heartbeats report the same notice, which is one loss
    g_autoptr (FtWorkerHeartbeat) heartbeat = harness.new_heartbeat (1, sequence, 3, "n-2", "a", true);
    heartbeat->notice_s = 10;
    ASSERT_TRUE (ft_scheduler_heartbeat (harness.scheduler, heartbeat, 101 * kS));
  }
  EXPECT_EQ (harness.spot_risk ()->losses, 1u);
  EXPECT_GT (ft_spot_risk_rate (harness.spot_risk ()), before);
}

} // namespace
