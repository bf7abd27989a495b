// Unit tests of reachability: how a leader detects that a machine is silent, not receiving or not reporting.
#include <gtest/gtest.h>

extern "C" {
#include "core/reachability.h"
}

namespace {

constexpr gint64 kS = FT_SECOND;

// A machine whose last heartbeat arrived at 100 s. Its worker sends a heartbeat every 2.5 s and has a lease of 14 s.
class ReachabilityModule : public testing::Test {
protected:
  FtSettings settings{};
  FtCoreContext context{};
  FtReachability machine{};
  void
  SetUp () override
  {
    settings.heartbeat_s = 2.5;
    settings.lease_s = 14;
    context.settings = &settings;
    context.now = 100 * kS;
    ft_reachability_status_received (&machine, TRUE, context.now);
  }
  bool
  silent (bool zone_unreachable, bool reconciled)
  {
    return ft_reachability_silent (&machine, &context, zone_unreachable, reconciled);
  }
  // Handles `n` heartbeats in a row that do not acknowledge the leader's answers. Returns how many of them changed the
  // machine to not receiving.
  guint
  handle_unacknowledged (guint n)
  {
    guint found = 0;
    for (guint i = 0; i < n; i++)
      found += ft_reachability_update_acknowledgements (&machine, TRUE, TRUE, context.now) ? 1 : 0;
    return found;
  }
};

// ---- not receiving: heartbeats arrive from the machine, but no answer or command seems to reach it ----

TEST_F (ReachabilityModule, MachineChangesToNotReceivingOnceAtTheMaximumOfUnacknowledgedHeartbeats)
{
  EXPECT_EQ (handle_unacknowledged (FT_UNACKNOWLEDGED_MAX - 1), 0u);
  EXPECT_FALSE (ft_reachability_not_receiving (&machine));
  EXPECT_EQ (handle_unacknowledged (1), 1u);
  EXPECT_TRUE (ft_reachability_not_receiving (&machine));
  EXPECT_EQ (handle_unacknowledged (3), 0u);
}

TEST_F (ReachabilityModule, HeartbeatThatLacksNoAcknowledgementResetsTheCountOfUnacknowledgedHeartbeats)
{
  handle_unacknowledged (FT_UNACKNOWLEDGED_MAX - 1);
  ft_reachability_update_acknowledgements (&machine, FALSE, FALSE, context.now);
  EXPECT_EQ (handle_unacknowledged (FT_UNACKNOWLEDGED_MAX - 1), 0u);
  EXPECT_FALSE (ft_reachability_not_receiving (&machine));
}

TEST_F (ReachabilityModule, MachineIsNotReceivingUntilItAcknowledgesAStartOrACommandReachesIt)
{
  handle_unacknowledged (FT_UNACKNOWLEDGED_MAX);
  // No answer carried a start that this heartbeat should show, so it does not show that the machine receives answers.
  ft_reachability_update_acknowledgements (&machine, FALSE, FALSE, context.now);
  EXPECT_TRUE (ft_reachability_not_receiving (&machine));
  ft_reachability_update_acknowledgements (&machine, FALSE, TRUE, context.now);
  EXPECT_FALSE (ft_reachability_not_receiving (&machine));
  handle_unacknowledged (FT_UNACKNOWLEDGED_MAX);
  ft_reachability_command_arrived (&machine);
  EXPECT_FALSE (ft_reachability_not_receiving (&machine));
  EXPECT_EQ (handle_unacknowledged (FT_UNACKNOWLEDGED_MAX - 1), 0u);
}

// ---- not reporting: no heartbeat arrives from the machine; silent: nothing arrives from it ----

TEST_F (ReachabilityModule, MachineThatOnlyAnswersCommandsIsNotReporting)
{
  gint64 limit = 100 * kS + ft_reachability_silence_us (&context);
  context.now = limit;
  ft_reachability_status_received (&machine, FALSE, context.now);
  EXPECT_FALSE (ft_reachability_not_reporting (&machine, &context));
  context.now = limit + 1;
  EXPECT_TRUE (ft_reachability_not_reporting (&machine, &context));
  EXPECT_FALSE (silent (false, true));
  EXPECT_TRUE (ft_reachability_recent (&machine, &context));
  ft_reachability_status_received (&machine, TRUE, context.now);
  EXPECT_FALSE (ft_reachability_not_reporting (&machine, &context));
}

// A machine is found silent only after time in which the leader was not late, and not reporting only after time in
// which the leader answered heartbeats.
TEST_F (ReachabilityModule, TimeInWhichTheLeaderWasLateOrDidNotAnswerDoesNotMakeAMachineSilentOrNotReporting)
{
  context.now = 200 * kS;
  EXPECT_TRUE (ft_reachability_not_reporting (&machine, &context));
  EXPECT_TRUE (silent (false, true));
  context.answers_interrupted_until = 199 * kS;
  EXPECT_FALSE (ft_reachability_not_reporting (&machine, &context));
  EXPECT_TRUE (silent (false, true));
  context.timers_late_until = 199 * kS;
  EXPECT_FALSE (silent (false, true));
}

TEST_F (ReachabilityModule, MachineIsSilentOnceItsHeartbeatIsOverdueAndItsProbesAreUnanswered)
{
  for (guint i = 0; i < FT_SILENT_PROBES; i++)
    ft_reachability_request_unanswered (&machine);
  context.now = 100 * kS + ft_reachability_overdue_us (&context);
  EXPECT_FALSE (silent (true, true)) << "the heartbeat is not overdue yet";
  context.now++;
  EXPECT_TRUE (silent (false, true));
  EXPECT_FALSE (silent (false, false)) << "a machine that is not reconciled takes more probes";
  EXPECT_TRUE (silent (true, false)) << "no machine of the zone reports, so no probes are needed";
  ft_reachability_request_unanswered (&machine);
  EXPECT_TRUE (silent (false, false));
  ft_reachability_status_received (&machine, FALSE, context.now);
  EXPECT_EQ (machine.probe_fails, 0u);
}

// ---- the worker's lease ----

TEST_F (ReachabilityModule, WorkerLeaseRunsFromTheLastAnswerThatTheWorkerMayHaveReceived)
{
  context.now = 1000 * kS;
  EXPECT_FALSE (ft_reachability_lease_over (&machine, &context)) << "the machine was never answered";
  ft_reachability_registered (&machine, 105 * kS, 100 * kS); // a former leader may have answered it until 105 s
  ft_reachability_registry_loaded (&machine, 102 * kS);
  EXPECT_EQ (machine.lease_from, 105 * kS);
  ft_reachability_answer_sent (&machine, TRUE, 110 * kS);
  context.now = 110 * kS + ft_reachability_lease_us (&context);
  EXPECT_FALSE (ft_reachability_lease_over (&machine, &context));
  context.now++;
  EXPECT_TRUE (ft_reachability_lease_over (&machine, &context));
}

// Guards against a lease that is held to be over too early: the answer may not arrive, and until the worker has seen
// the new token a former leader may renew its lease.
TEST_F (ReachabilityModule, AnswerDoesNotShortenALeaseThatAFormerLeaderMayRenewLater)
{
  ft_reachability_registered (&machine, 118 * kS, 100 * kS);
  ft_reachability_answer_sent (&machine, FALSE, 101 * kS);
  EXPECT_EQ (machine.lease_from, 118 * kS);
}

TEST_F (ReachabilityModule, LeaseOfANewIncarnationRunsFromItsFirstStatus)
{
  ft_reachability_answer_sent (&machine, TRUE, 100 * kS);
  ft_reachability_new_incarnation (&machine, 108 * kS);
  context.now = 108 * kS + ft_reachability_lease_us (&context);
  EXPECT_FALSE (ft_reachability_lease_over (&machine, &context));
  context.now++;
  EXPECT_TRUE (ft_reachability_lease_over (&machine, &context));
  // Until then a former leader may still answer the new incarnation.
  ft_reachability_registered (&machine, 150 * kS, 130 * kS);
  ft_reachability_new_incarnation (&machine, 131 * kS);
  EXPECT_EQ (machine.lease_from, 150 * kS);
}

} // namespace
