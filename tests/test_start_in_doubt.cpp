// Starts in doubt: how long a machine gets no new work because a cancelled start may still be executed on it.
#include "start_in_doubt.hpp"

namespace {

// Guards against a machine that gets no work and is not returned for good, because its quarantine outlasted the doubt:
// the late start was executed, reported and stopped, and jobs waited beside the empty machine.
TEST (StartInDoubt, QuarantineEndsWhenTheLateStartIsReportedAndStopped)
{
  StartInDoubt harness;
  harness.run_until_quarantined ();
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-3", 1), 7, harness.now, 0);
  harness.now += kS;
  EXPECT_EQ (harness.report ({ harness.other () }), 0u) << "a machine with a start in doubt must not get work";
  harness.now += kS;
  harness.report ({ harness.other (), task_status ("req-1", 0, harness.in_doubt, FT_TASK_PHASE_RUNNING) });
  harness.now += kS;
  EXPECT_EQ (harness.report ({ harness.other (), harness.stopped () }), 1u)
      << "the waiting job must be started on the machine";
  EXPECT_TRUE (ft_machine_usable (harness.n1 ()));
  EXPECT_EQ (harness.machine_of ("req-3", 0), "n-1");
}

// Guards against a quarantine that outlasts the incarnation in which the start could have been executed.
TEST (StartInDoubt, QuarantineEndsWithTheIncarnation)
{
  StartInDoubt harness;
  harness.run_until_quarantined ();
  harness.now += kS;
  harness.report ({}, 2);
  EXPECT_TRUE (ft_machine_usable (harness.n1 ()));
}

// Guards against ran_cancelled: of two starts in doubt the one that is reported says nothing about the other.
TEST (StartInDoubt, QuarantineLastsWhileAnotherStartIsInDoubt)
{
  StartInDoubt harness;
  harness.add_start_in_doubt ("req-3", 7);
  harness.run_until_quarantined ();
  harness.run_for (3, { harness.other (), harness.stopped () });
  EXPECT_TRUE (ft_machine_is_quarantined (harness.n1 ()));
  EXPECT_EQ (harness.n1 ()->state, FT_MACHINE_UP);
}

// Guards against ran_cancelled: a heartbeat that does not show the start does not prove that it will not be executed.
TEST (StartInDoubt, MachineIsTerminatedBeforeACancelledTaskCouldRunPastItsTime)
{
  StartInDoubt harness;
  harness.run_until_quarantined ();
  double half_s = FT_START_IN_DOUBT_SCALE_IN_SHARE * harness.world.settings.cancel_s;
  harness.run_for (half_s - FT_START_IN_DOUBT_QUARANTINE_S, { harness.other () });
  EXPECT_EQ (harness.n1 ()->state, FT_MACHINE_TERMINATING);
}

// Guards against a machine that is kept for a start in doubt though it has nothing else to do.
TEST (StartInDoubt, MachineWithoutOtherWorkIsTerminatedAtOnce)
{
  StartInDoubt harness;
  FtTaskStatus done = harness.other (FT_TASK_PHASE_EXITED, FT_EXIT_DONE);
  harness.report ({ done });
  for (int i = 0; i < 2; i++)
    harness.commit_writes (harness.now);
  harness.run_for (FT_START_IN_DOUBT_QUARANTINE_S + 1, { done });
  EXPECT_EQ (harness.n1 ()->state, FT_MACHINE_TERMINATING);
}

// Guards against a worker that is told to forget an attempt whose start may still be executed: the late copy would
// start the cancelled task anew, after the doubt has ended.
TEST (StartInDoubt, WorkerMustRememberTheAttemptAfterTheDoubtHasEnded)
{
  StartInDoubt harness;
  harness.run_until_quarantined ();
  for (int i = 0; i < 40; i++) {
    harness.now += kS;
    g_autoptr (GArray) commands
        = harness.exchange (harness.now, ++harness.sequence, { harness.other (), harness.stopped () });
    ft_scheduler_tick (harness.scheduler, harness.now, TRUE);
    EXPECT_EQ (count_commands (commands, FT_COMMAND_FORGET), 0u);
  }
}

// Guards against ran_cancelled while the cloud does not take the machine back: the worker refuses the start from then
// on.
TEST (StartInDoubt, DoubtRenewsTheWorkerTokenAndEndsWhenAStatusShowsIt)
{
  SchedulerHarness harness ({ 3, 1000 });
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  harness.machine_up (100 * kS);
  FtDirectRequest *direct = harness.start_directly ("req-1", 5, 101 * kS);
  ASSERT_NE (direct, nullptr);
  ft_scheduler_direct_request_done (harness.scheduler, direct, FT_DIRECT_UNANSWERED, nullptr, 103 * kS);
  ft_direct_request_free (direct);
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", 0, 103 * kS);
  g_autoptr (FtWorkerHeartbeat) before = harness.new_heartbeat (1, 2, 3);
  ft_scheduler_heartbeat (harness.scheduler, before, 104 * kS);
  guint64 token = 0;
  g_autoptr (GArray) commands = ft_scheduler_answer (harness.scheduler, before, 104 * kS, &token);
  EXPECT_EQ (token, 4u);
  EXPECT_GT (harness.machine ("n-1")->cpus, 0) << "a status under the old token ends nothing";
  g_autoptr (FtWorkerHeartbeat) after = harness.new_heartbeat (1, 3, 4);
  ft_scheduler_heartbeat (harness.scheduler, after, 105 * kS);
  EXPECT_EQ (harness.machine ("n-1")->cpus, 0);
}

// Guards against the same where no higher token is left: the incarnation must end in time.
TEST (StartInDoubt, HeartbeatsAreNotAnsweredOnceTheLeaseWouldOutlastTheTimeForCancelling)
{
  StartInDoubt harness;
  gint64 cancelled_at = harness.now;
  harness.now = cancelled_at + 18 * kS; // the answer grace period of the harness
  g_autoptr (GArray) in_time = harness.exchange (harness.now, ++harness.sequence, { harness.other () });
  EXPECT_NE (in_time, nullptr);
  g_autoptr (GArray) late = harness.exchange (harness.now + 1, ++harness.sequence, { harness.other () });
  EXPECT_EQ (late, nullptr);
}

} // namespace
