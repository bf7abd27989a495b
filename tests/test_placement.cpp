// The order in which jobs are placed.
#include "scheduler_harness.hpp"

namespace {

// Late for its deadline, below others in priority: after 120 s it goes first.
TEST (Placement, NothingWaitsForEverToBegin)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  FtJobSpec *late = spec ("req-1", 1);
  late->cpus = 16;
  late->deadline_s = 5;
  late->estimate_s = 60;
  late->priority = FT_PRIORITY_LOW;
  ft_scheduler_job_added (b.s, late, 5, 101 * kS, 0);
  b.forbid_starts ();
  FtJobSpec *urgent = spec ("req-2", 1);
  urgent->cpus = 16;
  urgent->priority = FT_PRIORITY_HIGH;
  ft_scheduler_job_added (b.s, urgent, 6, 222 * kS, 0);
  g_autoptr (GArray) starts = b.exchange (222 * kS, 2);
  ASSERT_EQ (count (starts, FT_COMMAND_START), 1u);
  EXPECT_STREQ (g_array_index (starts, FtCommand, 0).job, "req-1");
}

} // namespace
