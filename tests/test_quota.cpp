// The quota of a team while some of its tasks are in the state FT_TASK_UNKNOWN.
#include "scheduler_harness.hpp"

namespace {

TEST (Quota, UnknownTasksCountUpToTheCapacityOfUnreconciledMachines)
{
  SchedulerHarness harness;
  // The job's 20 tasks are unknown and need 80 CPUs in total.
  ft_scheduler_load_job (harness.scheduler, new_job_spec ("req-1", 20), 5, 100 * kS, 0);
  ft_scheduler_load_machine (harness.scheduler, "row-1", "n-9", "10.1.0.9:9000", "std", "a", FALSE);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  g_autoptr (FtJobSpec) wanted = new_job_spec ("req-2", 1);
  FtTeam *red = ft_quota_team (&harness.scheduler->quota, "red");
  // The team may use 48 CPUs. The unreconciled machine has 16 CPUs, so unknown tasks use 16 at most. The other 32 CPUs
  // are enough for 8 tasks.
  EXPECT_EQ (ft_placement_quota_left (&harness.scheduler->placement, red, wanted), 8u);
}

} // namespace
