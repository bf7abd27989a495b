// Quota of a team while tasks are unknown.
#include "scheduler_harness.hpp"

namespace {

TEST (Quota, UnknownTasksCountUpToWhatUnseenMachinesCanHold)
{
  SchedulerHarness harness;
  ft_scheduler_load_job (harness.scheduler, new_job_spec ("req-1", 20), 5, 100 * kS, 0); // 80 CPUs unknown
  ft_scheduler_load_machine (harness.scheduler, "row-1", "n-9", "10.1.0.9:9000", "std", "a", FALSE);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  g_autoptr (FtJobSpec) wanted = new_job_spec ("req-2", 1);
  FtTeam *red = ft_quota_team (&harness.scheduler->quota, "red");
  // 48 allowed, the unseen machine may hold 16 of them: 32 are left, 8 tasks.
  EXPECT_EQ (ft_placement_quota_left (&harness.scheduler->placement, red, wanted), 8u);
}

} // namespace
