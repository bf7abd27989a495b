// Tests of the autoscaler: scaling out (launching machines) and scaling in (terminating them).
#include "scheduler_harness.hpp"

namespace {

// Guards against a cluster that keeps its last machine although there is no work.
TEST (Autoscaler, LastMachineIsTerminatedWhenThereIsNoWork)
{
  OneMachine harness;
  FtCloudCall *call = nullptr;
  for (gint64 at = 101; at < 200 && call == nullptr; at++) {
    g_autoptr (GArray) none = harness.exchange (at * kS, (guint64) at);
    ft_scheduler_tick (harness.scheduler, at * kS, TRUE);
    call = ft_scheduler_next_cloud (harness.scheduler, at * kS);
  }
  ASSERT_NE (call, nullptr);
  EXPECT_EQ (call->op, FT_CLOUD_SCALE_IN);
  ft_cloud_call_free (call);
}

// Guards against a small job that waits for ever in a cluster without machines because its demand is too small a share
// of one machine.
TEST (Autoscaler, OneSmallJobLaunchesAMachineInAnEmptyCluster)
{
  SchedulerHarness harness;
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  FtJobSpec *small = new_job_spec ("req-1", 1);
  small->cpus = 0.5;
  ft_scheduler_job_added (harness.scheduler, small, 5, 100 * kS, 0);
  ft_scheduler_tick (harness.scheduler, 101 * kS, TRUE);
  FtCloudCall *call = ft_scheduler_next_cloud (harness.scheduler, 101 * kS);
  ASSERT_NE (call, nullptr);
  EXPECT_EQ (call->op, FT_CLOUD_SCALE_OUT);
  EXPECT_EQ (call->count, 1u);
  EXPECT_TRUE (call->spot);
  ft_cloud_call_free (call);
}

} // namespace
