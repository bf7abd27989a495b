// Unit tests of attempts: their state transitions, their resources, requests to stop them, and how they end.
#include "core_state.hpp"

namespace {

class AttemptModule : public testing::Test, protected CoreState {
protected:
  FtMachine *machine = add_machine ("n-1");
  FtJob *attempt_job = add_job (new_job_spec ("req-1", 2));
  FtAttempt *attempt = place (machine, attempt_job, 0, 1);
  bool
  exists ()
  {
    return ft_machine_attempt (machine, "req-1", 0, 1) != nullptr;
  }
};

constexpr FtAttemptState kStates[]
    = { FT_ATTEMPT_PLACED, FT_ATTEMPT_ON_WORKER, FT_ATTEMPT_EXITED, FT_ATTEMPT_FORGETTABLE };

TEST_F (AttemptModule, OnlyTheListedStateTransitionsAreAllowed)
{
  const bool allowed[4][4] = {
    // to PLACED, ON_WORKER, EXITED, FORGETTABLE
    { true, true, true, false },   // from PLACED
    { true, true, true, false },   // from ON_WORKER
    { false, false, true, true },  // from EXITED
    { false, false, false, true }, // from FORGETTABLE
  };
  for (FtAttemptState from : kStates)
    for (FtAttemptState to : kStates) {
      attempt->state = from;
      EXPECT_EQ (ft_attempt_set_state (attempt, to), allowed[from][to]) << from << " to " << to;
      EXPECT_EQ (attempt->state, allowed[from][to] ? to : from);
    }
}

TEST_F (AttemptModule, RepeatedReserveOrReleaseCountsResourcesOnce)
{
  ft_attempt_reserve (attempt);
  EXPECT_EQ (machine->cpus, 4);
  EXPECT_EQ (quota.teams[0].cpus, 4);
  ft_attempt_release (attempt);
  ft_attempt_release (attempt);
  EXPECT_EQ (machine->cpus, 0);
  EXPECT_EQ (machine->memory_gb, 0);
  EXPECT_EQ (quota.teams[0].cpus, 0);
}

TEST_F (AttemptModule, StopRequestKeepsTheShortestGracePeriodAndQueuesADirectRequest)
{
  for (auto [grace_s, expected] : { std::pair (10, 10), std::pair (20, 10), std::pair (0, 0) }) {
    ft_attempt_request_stop (attempt, grace_s);
    EXPECT_TRUE (ft_attempt_stop_requested (attempt));
    EXPECT_EQ (attempt->grace_s, expected);
  }
  EXPECT_TRUE (machine->requests.direct_request_queued);
  ft_attempt_clear_stop (attempt);
  EXPECT_FALSE (ft_attempt_stop_requested (attempt));
}

// A direct start is a start command that a request from the leader carries to the worker, unlike one in the answer to a
// heartbeat. The worker may still execute an unanswered one, even if the answer to another copy arrives later.
TEST_F (AttemptModule, DirectStartStaysUnansweredAfterAnotherOfItsRequestsIsAnswered)
{
  ft_attempt_direct_start_sent (attempt, 7);
  EXPECT_EQ (attempt->direct_start, FT_DIRECT_START_IN_FLIGHT);
  ft_attempt_direct_start_answered (attempt);
  EXPECT_EQ (attempt->direct_start, FT_DIRECT_START_ANSWERED);
  EXPECT_FALSE (machine->fitness.start_unanswered);
  ft_attempt_direct_start_unanswered (attempt);
  ft_attempt_direct_start_answered (attempt);
  EXPECT_EQ (attempt->direct_start, FT_DIRECT_START_UNANSWERED);
  EXPECT_TRUE (machine->fitness.start_unanswered);
}

// ---- the end of an attempt ----

TEST_F (AttemptModule, CancellationEndsAnAttemptAtOnceOnlyIfItsStartCannotBeExecutedAnyMore)
{
  for (FtDirectStart start : { FT_DIRECT_START_IN_FLIGHT, FT_DIRECT_START_UNANSWERED, FT_DIRECT_START_ANSWERED }) {
    attempt->direct_start = start;
    attempt->sent_sequence = start == FT_DIRECT_START_ANSWERED ? 4 : 0; // the answer to a heartbeat contained the start
    ft_attempt_job_cancelled (attempt);
    ASSERT_TRUE (exists ()) << start;
  }
  EXPECT_TRUE (ft_attempt_stop_requested (attempt));
  attempt->sent_sequence = 0;
  ft_attempt_job_cancelled (attempt);
  EXPECT_FALSE (exists ());
  EXPECT_EQ (machine->cpus, 0);
}

TEST_F (AttemptModule, EndOfAnExitedAttemptQueuesItsTaskAndSetsTheMachinesIdleTime)
{
  EXPECT_FALSE (ft_machine_idle (machine));
  ft_attempt_set_state (attempt, FT_ATTEMPT_EXITED);
  context.now = 130 * kS;
  context.placement_due = FALSE;
  ft_attempt_end (attempt);
  EXPECT_EQ (attempt_job->tasks[0].state, FT_TASK_QUEUED);
  EXPECT_EQ (attempt_job->tasks[0].attempt, nullptr);
  EXPECT_TRUE (ft_machine_idle (machine));
  EXPECT_EQ (machine->idle_since, 130 * kS);
  EXPECT_TRUE (context.placement_due);
}

TEST_F (AttemptModule, AttemptWithACommittedResultStaysWhileItsWorkerListsIt)
{
  ft_task_set_state (attempt_job, 0, FT_TASK_FINISHED);
  ft_attempt_set_state (attempt, FT_ATTEMPT_EXITED);
  attempt->listed = TRUE;
  EXPECT_FALSE (ft_machine_idle (machine)) << "the machine is not idle while the result is not committed";
  ft_attempt_result_committed (attempt);
  ASSERT_TRUE (exists ());
  EXPECT_EQ (attempt->state, FT_ATTEMPT_FORGETTABLE);
  EXPECT_EQ (attempt_job->tasks[0].state, FT_TASK_FINISHED) << "the finished task was queued again";
  EXPECT_TRUE (ft_machine_idle (machine));
  ft_attempt_end_incarnation (machine);
  EXPECT_FALSE (exists ());
}

} // namespace
