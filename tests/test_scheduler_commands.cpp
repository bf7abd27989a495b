// The commands that the scheduler sends to workers, and when it may send them.
#include "scheduler_harness.hpp"

extern "C" {
#include "core/attempt_lifecycle.h"
}

namespace {

TEST (Scheduler, NoCommandIsSentBeforeTheMachineIsRegistered)
{
  SchedulerHarness harness;
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-1", 1), 5, 100 * kS, 0);
  g_autoptr (GArray) first = harness.exchange (101 * kS, 1);
  EXPECT_EQ (first->len, 0u);
  EXPECT_EQ (ft_scheduler_next_direct_request (harness.scheduler, 101 * kS), nullptr);
  harness.commit_writes (101 * kS);
  g_autoptr (GArray) second = harness.exchange (102 * kS, 2);
  EXPECT_EQ (count_commands (second, FT_COMMAND_START), 1u);
}

TEST (Scheduler, LeaderWithAnExpiredLeaseSendsOnlyStops)
{
  OneMachine harness;
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-1", 2), 5, 100 * kS, 0);
  g_autoptr (GArray) starts = harness.exchange (101 * kS, 2);
  ASSERT_EQ (count_commands (starts, FT_COMMAND_START), 2u);
  guint64 id = g_array_index (starts, FtCommand, 0).attempt;
  ft_scheduler_tick (harness.scheduler, 102 * kS, FALSE);
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", 0, 102 * kS);
  g_autoptr (FtWorkerHeartbeat) heartbeat = harness.new_heartbeat (1, 3, 3);
  guint index = g_array_index (starts, FtCommand, 0).index;
  add_tasks (heartbeat, { task_status ("req-1", index, id, FT_TASK_PHASE_RUNNING) });
  ft_scheduler_heartbeat (harness.scheduler, heartbeat, 102 * kS);
  g_autoptr (GArray) commands = ft_scheduler_answer (harness.scheduler, heartbeat, 102 * kS, nullptr);
  EXPECT_EQ (count_commands (commands, FT_COMMAND_STOP), 1u);
  EXPECT_EQ (commands->len, 1u);
}

// Guards against an attempt that is neither started nor released: the request from the leader that carries its start
// command (a direct start) is lost, and a stop is requested before a heartbeat shows the loss. The random runs found
// this fault.
TEST (Scheduler, StopIsClearedIfTheDirectStartWasLost)
{
  OneMachine harness;
  FtDirectRequest *direct = harness.start_directly ("req-1", 5, 101 * kS);
  ASSERT_NE (direct, nullptr);
  ft_scheduler_direct_request_done (harness.scheduler, direct, FT_DIRECT_UNANSWERED, nullptr, 103 * kS);
  ft_direct_request_free (direct);
  FtJob *job = harness.job ("req-1");
  ft_attempt_request_stop (job->tasks[0].attempt, 0);
  g_autoptr (GArray) first = harness.exchange (104 * kS, 2);
  EXPECT_EQ (count_commands (first, FT_COMMAND_START), 1u);
}

// Guards against a team that exceeds its limit: a task that a direct request had started on a machine that was being
// returned counted as never started, and its cancellation freed its share of the limit while it ran.
TEST (Scheduler, TaskStartedDirectlyOnAMachineBeingReturnedCountsUntilItIsGone)
{
  OneMachine harness;
  FtDirectRequest *direct = harness.start_directly ("req-1", 5, 101 * kS);
  ASSERT_NE (direct, nullptr);
  ft_machine_terminate (harness.machine ("n-1"), "its interruption notice has run out");
  g_autoptr (FtWorkerHeartbeat) status = harness.new_heartbeat (1, 2, 3);
  guint64 attempt = g_array_index (direct->commands, FtCommand, 0).attempt;
  add_tasks (status, { task_status ("req-1", 0, attempt, FT_TASK_PHASE_RUNNING) });
  ft_scheduler_direct_request_done (harness.scheduler, direct, FT_DIRECT_OK, status, 102 * kS);
  ft_direct_request_free (direct);
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", 0, 102 * kS);
  EXPECT_NE (ft_machine_attempt (harness.machine ("n-1"), "req-1", 0, attempt), nullptr);
  EXPECT_GT (harness.machine ("n-1")->cpus, 0);
}

TEST (Scheduler, ForgetCommandIsSentOnlyAfterTheResultIsCommitted)
{
  OneMachine harness;
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-1", 2), 5, 100 * kS, 0);
  g_autoptr (GArray) starts = harness.exchange (101 * kS, 2);
  FtCommand start = g_array_index (starts, FtCommand, 0);
  FtTaskStatus done = task_status ("req-1", start.index, start.attempt, FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  g_autoptr (GArray) before = harness.exchange (102 * kS, 3, { done });
  EXPECT_EQ (count_commands (before, FT_COMMAND_FORGET), 0u);
  harness.commit_writes (102 * kS);
  g_autoptr (GArray) after = harness.exchange (103 * kS, 4, { done });
  EXPECT_EQ (count_commands (after, FT_COMMAND_FORGET), 1u);
}

} // namespace
