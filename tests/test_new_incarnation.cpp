// What the scheduler concludes about an incarnation of a worker that it has not heard of by a heartbeat, and about
// heartbeats whose status it does not apply.
#include "scheduler_harness.hpp"

namespace {

// A machine that restarts while its heartbeats reach no controller. The times are those of the record in
// docs/incidents/2026-12-06-cancelled-task-ran-on.md; its second 22.48, the last answered heartbeat, is 100 s here.
struct RestartedMachine : OneMachine {
  static constexpr gint64 kMs = kS / 1000;
  guint64 started = 0; // the attempt that runs in the new incarnation
  RestartedMachine ()
  {
    world.settings.heartbeat_s = 5;
    world.settings.lease_s = 22;
    world.settings.cancel_s = 42;
  }
  // Ends the next direct request, with a status of the new incarnation that shows those tasks.
  void
  answer_direct (FtDirectResult result, guint64 sequence, std::vector<FtTaskStatus> tasks, gint64 now)
  {
    FtDirectRequest *direct = ft_scheduler_next_direct_request (scheduler, now);
    ASSERT_NE (direct, nullptr);
    if (direct->commands->len > 0)
      started = g_array_index (direct->commands, FtCommand, 0).attempt;
    for (FtTaskStatus &task : tasks)
      task.attempt = started;
    g_autoptr (FtWorkerHeartbeat) status = new_heartbeat (2, sequence, 3);
    add_tasks (status, tasks);
    ft_scheduler_direct_request_done (scheduler, direct, result, status, now);
    ft_direct_request_free (direct);
  }
  // Starts a task: the request for the former incarnation is refused, the one for the new incarnation is answered.
  void
  start_after_restart ()
  {
    ft_scheduler_job_added (scheduler, new_job_spec ("req-1", 1), 5, 107400 * kMs, 0);
    ft_scheduler_place (scheduler, 107400 * kMs, TRUE);
    answer_direct (FT_DIRECT_CONFLICT, 12, {}, 107480 * kMs);
    ft_scheduler_tick (scheduler, 107500 * kMs, TRUE);
    answer_direct (FT_DIRECT_OK, 13, { task_status ("req-1", 0, 0, FT_TASK_PHASE_RUNNING) }, 107600 * kMs);
  }
  // Lets the time pass. No direct request gets an answer.
  void
  unreachable (gint64 from, gint64 until)
  {
    for (gint64 now = from; now < until; now += kS / 2) {
      ft_scheduler_tick (scheduler, now, TRUE);
      while (FtDirectRequest *direct = ft_scheduler_next_direct_request (scheduler, now)) {
        ft_scheduler_direct_request_done (scheduler, direct, FT_DIRECT_UNANSWERED, nullptr, now);
        ft_direct_request_free (direct);
      }
    }
  }
};

// Guards against ran_cancelled: the lease of an incarnation that only direct answers had shown was reckoned from the
// last answer to the former one, so that its heartbeats were answered without the stop.
TEST (NewIncarnation, CancelledTaskIsStoppedByTheFirstAnswerInTheLeaseOfItsIncarnation)
{
  RestartedMachine harness;
  harness.start_after_restart ();
  ASSERT_NE (harness.started, 0u);
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", 0, 109720 * RestartedMachine::kMs);
  harness.unreachable (110 * kS, 125840 * RestartedMachine::kMs);
  FtTaskStatus running = task_status ("req-1", 0, harness.started, FT_TASK_PHASE_RUNNING);
  g_autoptr (GArray) commands = harness.exchange (125840 * RestartedMachine::kMs, 19, { running }, 2);
  ASSERT_NE (commands, nullptr);
  EXPECT_EQ (count_commands (commands, FT_COMMAND_STOP), 1u);
}

// Guards against the same after a failover: the first status of an incarnation that began while no controller could
// reach the machine comes in the answer to a probe.
TEST (NewIncarnation, FirstShownByAProbeLongAfterTheFailoverIsNotExpiredAtOnce)
{
  SchedulerHarness harness;
  ft_scheduler_load_machine (harness.scheduler, "row-1", "n-1", "10.1.0.1:9000", "std", "a", FALSE);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  ft_scheduler_tick (harness.scheduler, 160 * kS, TRUE);
  FtDirectRequest *probe = ft_scheduler_next_direct_request (harness.scheduler, 160 * kS);
  ASSERT_NE (probe, nullptr);
  g_autoptr (FtWorkerHeartbeat) status = harness.new_heartbeat (7, 1, 3);
  ft_scheduler_direct_request_done (harness.scheduler, probe, FT_DIRECT_CONFLICT, status, 160 * kS);
  ft_direct_request_free (probe);
  ft_scheduler_tick (harness.scheduler, 161 * kS, TRUE);
  EXPECT_LT (harness.machine ("n-1")->expired_incarnation, 7u);
}

// Guards against ran_cancelled: an answer that carries no commands renews the worker's lease and so keeps the tasks of
// an incarnation that the leader holds to be over.
TEST (UnappliedHeartbeat, OfAnExpiredIncarnationIsNotAnswered)
{
  OneMachine harness;
  ft_scheduler_tick (harness.scheduler, 200 * kS, TRUE);
  ASSERT_EQ (harness.machine ("n-1")->expired_incarnation, 1u);
  g_autoptr (GArray) commands = harness.exchange (200 * kS, 2);
  EXPECT_EQ (commands, nullptr);
}

// Guards against the same on a machine that counts as gone: nobody would stop what still runs there.
TEST (UnappliedHeartbeat, OfAMachineThatIsGoneIsNotAnswered)
{
  OneMachine harness;
  ft_scheduler_machine_gone (harness.scheduler, harness.machine ("n-1"), "returned");
  g_autoptr (GArray) commands = harness.exchange (101 * kS, 2);
  EXPECT_EQ (commands, nullptr);
}

// Guards against ran_cancelled: a heartbeat that is older than the newest status is answered, since its worker is well,
// but the answer carried no stop.
TEST (UnappliedHeartbeat, OlderThanTheNewestStatusIsAnsweredWithTheStops)
{
  OneMachine harness;
  harness.start_job ("req-1", 5, 100 * kS, 2);
  FtTaskStatus running = task_status ("req-1", 0, harness.attempt, FT_TASK_PHASE_RUNNING);
  g_autoptr (GArray) none = harness.exchange (102 * kS, 9, { running });
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", 0, 102 * kS);
  g_autoptr (GArray) commands = harness.exchange (102 * kS, 8, { running });
  ASSERT_NE (commands, nullptr);
  EXPECT_EQ (count_commands (commands, FT_COMMAND_STOP), 1u);
}

// Guards against ran_cancelled across a failover: the first answer of a new leader brings its token and renews the
// lease, but the tasks of the heartbeat were not looked at.
TEST (UnappliedHeartbeat, UnderAFormerLeadersTokenIsAnsweredWithTheStops)
{
  SchedulerHarness harness;
  ft_scheduler_load_machine (harness.scheduler, "row-1", "n-1", "10.1.0.1:9000", "std", "a", FALSE);
  FtJobSpec *spec = new_job_spec ("req-1", 1);
  spec->dispatch_watermark = 1;
  ft_scheduler_load_job (harness.scheduler, spec, 5, 100 * kS, 0);
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", 0, 100 * kS);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  g_autoptr (FtWorkerHeartbeat) former = harness.new_heartbeat (1, 5, 2);
  add_tasks (former, { task_status ("req-1", 0, 77, FT_TASK_PHASE_RUNNING) });
  ASSERT_TRUE (ft_scheduler_heartbeat (harness.scheduler, former, 101 * kS));
  g_autoptr (GArray) commands = ft_scheduler_answer (harness.scheduler, former, 101 * kS, nullptr);
  ASSERT_NE (commands, nullptr);
  EXPECT_EQ (count_commands (commands, FT_COMMAND_STOP), 1u);
}

} // namespace
