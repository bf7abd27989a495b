// The order in which the scheduler places jobs.
#include "scheduler_harness.hpp"

namespace {

// The first job cannot meet its deadline and has a lower priority than the second. After it has waited for 120 s, it is
// placed first.
TEST (Placement, StarvedJobIsPlacedFirst)
{
  OneMachine harness;
  FtJobSpec *late = new_job_spec ("req-1", 1);
  late->cpus = 16;
  late->deadline_s = 5;
  late->estimate_s = 60;
  late->priority = FT_PRIORITY_LOW;
  ft_scheduler_job_added (harness.scheduler, late, 5, 101 * kS, 0);
  harness.forbid_starts ();
  FtJobSpec *urgent = new_job_spec ("req-2", 1);
  urgent->cpus = 16;
  urgent->priority = FT_PRIORITY_HIGH;
  ft_scheduler_job_added (harness.scheduler, urgent, 6, 222 * kS, 0);
  g_autoptr (GArray) starts = harness.exchange (222 * kS, 2);
  ASSERT_EQ (count_commands (starts, FT_COMMAND_START), 1u);
  EXPECT_STREQ (g_array_index (starts, FtCommand, 0).job, "req-1");
}

} // namespace
