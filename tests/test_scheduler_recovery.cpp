// How a new leader loads jobs and machines, and how cancellations and outdated events of the store change jobs.
#include "scheduler_harness.hpp"

namespace {

// A peer's report of a cancellation is advisory and may be wrong, so it must not end an open job.
TEST (Scheduler, AdvisedCancellationDeletesNoRowBeforeTheCancellationIsRead)
{
  SchedulerHarness harness;
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-1", 2), 5, 100 * kS, 0);
  auto commit_ends = [&] (gint64 at) { return harness.commit_and_count (FT_WRITE_JOB_STOPPED, at); };
  ft_scheduler_advisory_cancellation (harness.scheduler, "req-1", 101 * kS);
  EXPECT_TRUE (ft_scheduler_job_progress (harness.scheduler, "req-1").cancelled);
  EXPECT_EQ (commit_ends (101 * kS), 0u);
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", kS, 102 * kS);
  EXPECT_EQ (commit_ends (102 * kS), 1u);
  EXPECT_FALSE (ft_scheduler_job_progress (harness.scheduler, "req-1").open_at_leader);
}

// The watch may deliver an event that is older than the commit of a job's end. The event must not add the job again.
TEST (Scheduler, OlderEventOfAnEndedJobDoesNotAddItAgain)
{
  OneMachine harness;
  ASSERT_NO_FATAL_FAILURE (harness.start_job ("req-1", 5, 100 * kS, 2));
  FtTaskStatus status = task_status ("req-1", 0, harness.attempt, FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  g_autoptr (GArray) rest = harness.exchange (102 * kS, 3, { status });
  harness.commit_writes (102 * kS);
  ASSERT_FALSE (ft_scheduler_job_progress (harness.scheduler, "req-1").open_at_leader)
      << "the end of the job is committed";
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-1", 1), 5, 103 * kS, 0);
  EXPECT_FALSE (ft_scheduler_job_progress (harness.scheduler, "req-1").open_at_leader);
  g_autoptr (GArray) again = harness.exchange (103 * kS, 4);
  EXPECT_EQ (count_commands (again, FT_COMMAND_START), 0u);
}

TEST (Scheduler, UnknownTasksWaitForReconciliationOfRegisteredMachines)
{
  SchedulerHarness harness;
  ft_scheduler_load_job (harness.scheduler, new_job_spec ("req-1", 2), 5, 100 * kS, 0);
  ft_scheduler_load_machine (harness.scheduler, "row-1", "n-1", "10.1.0.1:9000", "std", "a", FALSE);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  // A heartbeat sent before the worker saw the new token reconciles nothing.
  g_autoptr (FtWorkerHeartbeat) old_heartbeat = harness.new_heartbeat (1, 1, 2);
  ft_scheduler_heartbeat (harness.scheduler, old_heartbeat, 101 * kS);
  ft_scheduler_place (harness.scheduler, 101 * kS, TRUE);
  g_autoptr (GArray) none = ft_scheduler_answer (harness.scheduler, old_heartbeat, 101 * kS, nullptr);
  EXPECT_EQ (none->len, 0u);
  // A heartbeat under the new token reconciles the machine: one task is found running, and the other is queued and
  // started.
  FtTaskStatus found = task_status ("req-1", 0, 77, FT_TASK_PHASE_RUNNING);
  g_autoptr (GArray) commands = harness.exchange (102 * kS, 2, { found });
  EXPECT_EQ (count_commands (commands, FT_COMMAND_START), 1u);
  EXPECT_EQ (g_array_index (commands, FtCommand, 0).index, 1u);
  EXPECT_GT (g_array_index (commands, FtCommand, 0).attempt, 77u);
}

// A former leader may still run for a while, but it can start no task beyond the job's dispatch watermark. The tasks
// beyond the watermark are placed at once, and the other tasks once every machine is reconciled.
TEST (Scheduler, TasksBeyondTheDispatchWatermarkDoNotWaitForReconciliation)
{
  SchedulerHarness harness;
  FtJobSpec *partly = new_job_spec ("req-1", 4);
  partly->dispatch_watermark = 3;
  ft_scheduler_load_job (harness.scheduler, partly, 5, 100 * kS, 0);
  ft_scheduler_load_machine (harness.scheduler, "row-1", "n-9", "10.1.0.9:9000", "std", "a", FALSE);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  harness.machine_up (100 * kS);
  // The task is placed at once, but its start is not sent before the dispatch watermark that covers it is committed.
  g_autoptr (GArray) none = harness.exchange (101 * kS, 2);
  EXPECT_EQ (none->len, 0u);
  EXPECT_EQ (ft_scheduler_next_direct_request (harness.scheduler, 101 * kS), nullptr);
  harness.commit_writes (101 * kS);
  g_autoptr (GArray) starts = harness.exchange (102 * kS, 3);
  ASSERT_EQ (count_commands (starts, FT_COMMAND_START), 1u);
  EXPECT_EQ (g_array_index (starts, FtCommand, 0).index, 3u);
}

} // namespace
