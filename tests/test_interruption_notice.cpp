// Interruption notices: how long a machine that the cloud has announced to take back gets no new work.
#include "scheduler_harness.hpp"

namespace {

// One machine, with the notice that its heartbeats carry.
struct NoticedMachine : OneMachine {
  // Processes a heartbeat with the notice, in seconds (negative: without a notice), and those tasks; then a tick.
  void
  report (gint64 now, guint64 sequence, double notice_s, const std::vector<FtTaskStatus> &tasks = {})
  {
    g_autoptr (FtWorkerHeartbeat) heartbeat = new_heartbeat (1, sequence, 3);
    heartbeat->notice_s = notice_s;
    add_tasks (heartbeat, tasks);
    ASSERT_TRUE (ft_scheduler_heartbeat (scheduler, heartbeat, now));
    ft_scheduler_tick (scheduler, now, TRUE);
  }
};

// Guards against a machine that gets no work for good, because its heartbeats once carried a notice.
TEST (InterruptionNotice, EndsWithAHeartbeatThatCarriesNone)
{
  NoticedMachine harness;
  harness.report (101 * kS, 2, 30);
  EXPECT_EQ (ft_machine_unused_reason (harness.machine ("n-1")), FT_UNUSED_NOTICE);
  harness.report (102 * kS, 3, -1);
  EXPECT_TRUE (ft_machine_usable (harness.machine ("n-1")));
}

// Guards against an idle machine that is neither used nor returned, because the cloud does not take it when its notice
// has run out.
TEST (InterruptionNotice, IdleMachineIsTerminatedWhenItsNoticeHasRunOut)
{
  NoticedMachine harness;
  harness.report (101 * kS, 2, 2);
  harness.report (103 * kS, 3, 0);
  EXPECT_EQ (harness.machine ("n-1")->state, FT_MACHINE_UP) << "the notice has not run out yet";
  ft_scheduler_tick (harness.scheduler, 104 * kS, TRUE);
  EXPECT_EQ (harness.machine ("n-1")->state, FT_MACHINE_TERMINATING);
}

// Guards against losing the result of a task that completes after the notice has run out.
TEST (InterruptionNotice, MachineWithATaskIsKeptWhileItReports)
{
  NoticedMachine harness;
  harness.start_job ("req-1", 5, 100 * kS, 2);
  for (guint i = 0; i < 4; i++) {
    gint64 now = (102 + i) * kS;
    harness.report (now, 3 + i, 0, { task_status ("req-1", 0, harness.attempt, FT_TASK_PHASE_RUNNING) });
    ft_scheduler_tick (harness.scheduler, now + kS - 1, TRUE);
  }
  EXPECT_EQ (harness.machine ("n-1")->state, FT_MACHINE_UP);
}

} // namespace
