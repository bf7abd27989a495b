// Reachability alone: what shows that a machine is silent, not receiving or not reporting.
#include <gtest/gtest.h>

extern "C" {
#include "core/reachability.h"
}

namespace {

constexpr gint64 kS = FT_SECOND;

// A machine heard at 100 s, with a heartbeat due every 2.5 s and a lease of 14 s.
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
  // Heartbeats in a row that show nothing of our answers; how many of them found that it is not receiving.
  guint
  miss (guint n)
  {
    guint found = 0;
    for (guint i = 0; i < n; i++)
      found += ft_reachability_update_acknowledgements (&machine, TRUE, TRUE, context.now) ? 1 : 0;
    return found;
  }
};

// ---- not receiving ----

TEST_F (ReachabilityModule, IsNotReceivingAfterSoManyUnacknowledgedHeartbeatsAndReportedOnce)
{
  EXPECT_EQ (miss (FT_UNACKNOWLEDGED_MAX - 1), 0u);
  EXPECT_FALSE (ft_reachability_not_receiving (&machine));
  EXPECT_EQ (miss (1), 1u);
  EXPECT_TRUE (ft_reachability_not_receiving (&machine));
  EXPECT_EQ (miss (3), 0u);
}

TEST_F (ReachabilityModule, AnAcknowledgedHeartbeatBeginsTheCountAnew)
{
  miss (FT_UNACKNOWLEDGED_MAX - 1);
  ft_reachability_update_acknowledgements (&machine, FALSE, FALSE, context.now);
  EXPECT_EQ (miss (FT_UNACKNOWLEDGED_MAX - 1), 0u);
  EXPECT_FALSE (ft_reachability_not_receiving (&machine));
}

TEST_F (ReachabilityModule, OnlyWhatHadBeenSentShowsThatAMachineReceivesAgain)
{
  miss (FT_UNACKNOWLEDGED_MAX);
  ft_reachability_update_acknowledgements (&machine, FALSE, FALSE, context.now); // nothing had been sent: no proof
  EXPECT_TRUE (ft_reachability_not_receiving (&machine));
  ft_reachability_update_acknowledgements (&machine, FALSE, TRUE, context.now);
  EXPECT_FALSE (ft_reachability_not_receiving (&machine));
  miss (FT_UNACKNOWLEDGED_MAX);
  ft_reachability_command_arrived (&machine);
  EXPECT_FALSE (ft_reachability_not_receiving (&machine));
  EXPECT_EQ (miss (FT_UNACKNOWLEDGED_MAX - 1), 0u);
}

// ---- not reporting, silent ----

TEST_F (ReachabilityModule, IsNotReportingIfOnlyItsAnswersToCommandsCome)
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

TEST_F (ReachabilityModule, TimeInWhichWeDidNotAnswerOrWereLateDoesNotCountAgainstIt)
{
  context.now = 200 * kS;
  EXPECT_TRUE (ft_reachability_not_reporting (&machine, &context));
  EXPECT_TRUE (silent (false, true));
  context.answering_since = 199 * kS;
  EXPECT_FALSE (ft_reachability_not_reporting (&machine, &context));
  EXPECT_TRUE (silent (false, true));
  context.on_time_since = 199 * kS;
  EXPECT_FALSE (silent (false, true));
}

TEST_F (ReachabilityModule, IsSilentAfterProbesInVainButNotBeforeAHeartbeatIsOverdue)
{
  for (guint i = 0; i < FT_SILENT_PROBES; i++)
    ft_reachability_request_unanswered (&machine);
  context.now = 100 * kS + ft_reachability_overdue_us (&context);
  EXPECT_FALSE (silent (true, true)) << "not overdue";
  context.now++;
  EXPECT_TRUE (silent (false, true));
  EXPECT_FALSE (silent (false, false)) << "one that is not reconciled takes more probes";
  EXPECT_TRUE (silent (true, false)) << "nothing comes from its zone";
  ft_reachability_request_unanswered (&machine);
  EXPECT_TRUE (silent (false, false));
  ft_reachability_status_received (&machine, FALSE, context.now);
  EXPECT_EQ (machine.probe_fails, 0u);
}

// ---- the worker's lease ----

TEST_F (ReachabilityModule, TheWorkersLeaseRunsFromTheLastAnswerThatItMayHaveHad)
{
  context.now = 1000 * kS;
  EXPECT_FALSE (ft_reachability_lease_over (&machine, &context)) << "it was never answered";
  ft_reachability_registered (&machine, 105 * kS, 100 * kS); // by a former leader, until then
  ft_reachability_registry_loaded (&machine, 102 * kS);
  EXPECT_EQ (machine.last_answer_at, 105 * kS);
  ft_reachability_answer_sent (&machine, TRUE, 110 * kS);
  context.now = 110 * kS + ft_reachability_lease_us (&context);
  EXPECT_FALSE (ft_reachability_lease_over (&machine, &context));
  context.now++;
  EXPECT_TRUE (ft_reachability_lease_over (&machine, &context));
}

} // namespace
