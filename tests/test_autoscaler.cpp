// Scaling the fleet out and in.
#include "scheduler_harness.hpp"

namespace {

// Found by the check of real processes: a site without work kept a machine.
TEST (Fleet, ASiteWithoutWorkKeepsNoMachine)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  FtCloudCall *call = nullptr;
  for (gint64 at = 101; at < 200 && call == nullptr; at++) {
    g_autoptr (GArray) none = b.exchange (at * kS, (guint64) at);
    ft_scheduler_tick (b.s, at * kS, TRUE);
    call = ft_scheduler_next_cloud (b.s, at * kS);
  }
  ASSERT_NE (call, nullptr);
  EXPECT_EQ (call->op, FT_CLOUD_SCALE_IN);
  ft_cloud_call_free (call);
}

// Found by the random runs: a small job on a site without machines waited for
// ever, since it needed too small a share of one.
TEST (Fleet, OneSmallJobGetsAMachine)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  FtJobSpec *small = spec ("req-1", 1);
  small->cpus = 0.5;
  ft_scheduler_job_added (b.s, small, 5, 100 * kS, 0);
  ft_scheduler_tick (b.s, 101 * kS, TRUE);
  FtCloudCall *call = ft_scheduler_next_cloud (b.s, 101 * kS);
  ASSERT_NE (call, nullptr);
  EXPECT_EQ (call->op, FT_CLOUD_SCALE_OUT);
  EXPECT_EQ (call->count, 1u);
  EXPECT_TRUE (call->spot);
  ft_cloud_call_free (call);
}

} // namespace
