// The commands that the scheduler sends to workers, and when it may send them.
#include "scheduler_harness.hpp"

namespace {

TEST (Scheduler, NoCommandBeforeTheMachineIsInTheRoster)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 1), 5, 100 * kS, 0);
  g_autoptr (GArray) first = b.exchange (101 * kS, 1);
  EXPECT_EQ (first->len, 0u);
  EXPECT_EQ (ft_scheduler_next_direct (b.s, 101 * kS), nullptr);
  b.write (101 * kS);
  g_autoptr (GArray) second = b.exchange (102 * kS, 2);
  EXPECT_EQ (count (second, FT_COMMAND_START), 1u);
}

TEST (Scheduler, ALapsedLeaderSendsStopsOnly)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 2), 5, 100 * kS, 0);
  g_autoptr (GArray) starts = b.exchange (101 * kS, 2);
  ASSERT_EQ (count (starts, FT_COMMAND_START), 2u);
  guint64 id = g_array_index (starts, FtCommand, 0).attempt;
  ft_scheduler_tick (b.s, 102 * kS, FALSE);
  ft_scheduler_job_cancelled (b.s, "req-1", 0, 102 * kS);
  g_autoptr (FtWorkerHeartbeat) r = b.heartbeat (1, 3, 3);
  FtTaskStatus t = {
    g_strdup ("req-1"), g_array_index (starts, FtCommand, 0).index, id, FT_TASK_PHASE_RUNNING, FT_EXIT_NONE, FALSE
  };
  g_array_append_val (r->tasks, t);
  ft_scheduler_heartbeat (b.s, r, 102 * kS);
  g_autoptr (GArray) commands = ft_scheduler_answer (b.s, r, 102 * kS);
  EXPECT_EQ (count (commands, FT_COMMAND_STOP), 1u);
  EXPECT_EQ (commands->len, 1u);
}

// Found by the random runs: stopped before its lost direct start was seen, a
// task was neither started nor released.
TEST (Scheduler, AStopOfALostDirectStartIsTakenBack)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 1), 5, 101 * kS, 0);
  ft_scheduler_place (b.s, 101 * kS, TRUE);
  FtDirect *direct = ft_scheduler_next_direct (b.s, 101 * kS);
  ASSERT_NE (direct, nullptr);
  ft_scheduler_direct_done (b.s, direct, FT_DIRECT_UNANSWERED, nullptr, 103 * kS);
  ft_direct_free (direct);
  FtJob *job = b.job ("req-1");
  ft_attempt_want_stop (job->tasks[0].attempt, 0);
  g_autoptr (GArray) first = b.exchange (104 * kS, 2);
  EXPECT_EQ (count (first, FT_COMMAND_START), 1u);
}

TEST (Scheduler, AResultIsClearedOnlyAfterItsCommitAndNotWhileAStartMayComeLate)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 2), 5, 100 * kS, 0);
  g_autoptr (GArray) starts = b.exchange (101 * kS, 2);
  FtCommand c = g_array_index (starts, FtCommand, 0);
  FtTaskStatus done = { (char *) "req-1", c.index, c.attempt, FT_TASK_PHASE_EXITED, FT_EXIT_DONE, FALSE };
  g_autoptr (GArray) before = b.exchange (102 * kS, 3, { done });
  EXPECT_EQ (count (before, FT_COMMAND_FORGET), 0u);
  b.write (102 * kS);
  g_autoptr (GArray) after = b.exchange (103 * kS, 4, { done });
  EXPECT_EQ (count (after, FT_COMMAND_FORGET), 1u);
}

} // namespace
