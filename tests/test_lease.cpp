// The leader's lease: when a controller acquires, renews and yields it, and what its holder may do.
#include "scheduler_harness.hpp"

namespace {

// One controller's view of the lease rows.
struct LeaseView {
  FtLease *lease = ft_lease_new ("me", 7, 9 * kS, 3 * kS, 18 * kS, 1);
  ~LeaseView () { ft_lease_free (lease); }
  void
  observe (gint64 now, guint64 token, const char *holder, guint64 fence, guint64 renewal, bool released = false,
           gint64 lease_us = 0)
  {
    FtLeaseRows rows = { token, (char *) holder, 1, fence, renewal, lease_us, released };
    ft_lease_observe (lease, now, &rows);
  }
  // Acquires the lease that nobody held, by a transaction sent at 0 s.
  void
  acquire (gint64 answered_at = 0)
  {
    observe (0, 0, nullptr, 0, 0);
    ft_lease_claim (lease, 0);
    ft_lease_acquired (lease, answered_at, 10);
  }
};

TEST (Lease, TakesARowUnrenewedForALeaseTimeAndNotBefore)
{
  LeaseView view;
  view.observe (0, 4, "other", 10, 20);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 9 * kS));
  view.observe (8 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 16 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (view.lease, 18 * kS));
  FtLeaseClaim claim = ft_lease_claim (view.lease, 18 * kS);
  EXPECT_EQ (claim.token, 5u);
  EXPECT_EQ (claim.fence_revision, 10u);
  EXPECT_TRUE (claim.check_renewal);
}

TEST (Lease, TimeWithTheStoreUnreachableDoesNotCountAgainstTheHolder)
{
  LeaseView view;
  view.observe (0, 4, "other", 10, 20);
  ft_lease_sweep_failed (view.lease, 8 * kS);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 16 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (view.lease, 18 * kS));
}

// Found in a recorded day: after an outage up to 3.75 s went by before anybody looked.
TEST (Lease, AFailedSweepIsRepeatedSoon)
{
  g_autoptr (FtLease) lease = ft_lease_new ("hearth-0", 1, 9 * kS, 3 * kS, 18 * kS, 1);
  ft_lease_sweep_failed (lease, 100 * kS);
  EXPECT_FALSE (ft_lease_sweep_due (lease, 100 * kS + kS / 10));
  EXPECT_TRUE (ft_lease_sweep_due (lease, 101 * kS));
}

TEST (Lease, TakesOverAtOnceFromItsFormerSelfAndFromAReleasedRow)
{
  LeaseView own, released;
  own.observe (0, 4, "me", 10, 20);
  EXPECT_TRUE (ft_lease_acquire_due (own.lease, 0));
  released.observe (0, 4, "other", 10, 20, true);
  EXPECT_TRUE (ft_lease_acquire_due (released.lease, 0));
}

TEST (Lease, ValidityCountsFromWhenTheRenewalWasSent)
{
  LeaseView view;
  view.acquire (1 * kS);
  ft_lease_cancellations_known (view.lease, 8 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 9 * kS));
  EXPECT_FALSE (ft_lease_may_start (view.lease, 10 * kS));
  ft_lease_tick (view.lease, 10 * kS);
  EXPECT_EQ (ft_lease_state (view.lease), FT_LEASE_EXPIRED);
  // A holder whose lease expired answers heartbeats for the grace period, counted from the older contact.
  ft_lease_cancellations_known (view.lease, 18 * kS);
  EXPECT_TRUE (ft_lease_may_answer (view.lease, 18 * kS));
  EXPECT_FALSE (ft_lease_may_answer (view.lease, 19 * kS));
  // Nobody acquired it in between: the renewal makes it valid again.
  ft_lease_renewed (view.lease, 17 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 20 * kS));
  ft_lease_lost (view.lease, 21 * kS);
  EXPECT_FALSE (ft_lease_may_start (view.lease, 21 * kS));
  EXPECT_FALSE (ft_lease_may_answer (view.lease, 21 * kS));
}

// Its answers would keep tasks alive that were cancelled before it was the holder.
TEST (Lease, ANewHolderAnswersNobodyBeforeItHasReadTheCancellations)
{
  LeaseView view;
  view.observe (0, 4, "me", 10, 20);
  for (guint64 revision : { 30u, 40u }) { // again after each acquisition
    ft_lease_claim (view.lease, 0);
    ft_lease_acquired (view.lease, 0, revision);
    EXPECT_FALSE (ft_lease_may_answer (view.lease, kS));
    EXPECT_FALSE (ft_lease_may_start (view.lease, kS));
    ft_lease_cancellations_known (view.lease, kS);
    EXPECT_TRUE (ft_lease_may_answer (view.lease, 2 * kS));
    EXPECT_TRUE (ft_lease_may_start (view.lease, 2 * kS));
    ft_lease_lost (view.lease, 3 * kS);
    view.observe (3 * kS, 5, "me", revision, 50);
  }
}

// A renewal that succeeds after an outage shows nothing of the cancellations meanwhile.
TEST (Lease, ARenewalAloneExtendsNoAnswerGracePeriodAndStartsNothing)
{
  LeaseView view;
  view.acquire ();
  ft_lease_cancellations_known (view.lease, 2 * kS);
  ft_lease_tick (view.lease, 10 * kS);
  ft_lease_renewed (view.lease, 30 * kS);
  EXPECT_EQ (ft_lease_state (view.lease), FT_LEASE_HOLDING);
  EXPECT_FALSE (ft_lease_may_start (view.lease, 31 * kS));
  EXPECT_FALSE (ft_lease_may_answer (view.lease, 31 * kS));
  ft_lease_cancellations_known (view.lease, 31 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 32 * kS));
  EXPECT_TRUE (ft_lease_may_answer (view.lease, 32 * kS));
  // An answer that comes late, of a request sent before, takes nothing back.
  ft_lease_cancellations_known (view.lease, 5 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 32 * kS));
}

TEST (Lease, AYieldingHolderStartsNothingAndAnswersUntilItsGracePeriodIsOver)
{
  LeaseView view;
  view.acquire ();
  ft_lease_cancellations_known (view.lease, kS);
  ft_lease_yield (view.lease, 2 * kS);
  EXPECT_EQ (ft_lease_state (view.lease), FT_LEASE_EXPIRED);
  EXPECT_FALSE (ft_lease_may_start (view.lease, 2 * kS));
  EXPECT_TRUE (ft_lease_may_answer (view.lease, 17 * kS));
  EXPECT_FALSE (ft_lease_may_answer (view.lease, 18 * kS));
  // Nobody has acquired the lease and the store is reachable again: it leads on.
  ft_lease_renewed (view.lease, 4 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 5 * kS));
}

TEST (Lease, ASuspectedHolderIsTakenOverOnlyIfItsRowsDoNotChange)
{
  LeaseView alive, gone;
  for (LeaseView *view : { &alive, &gone }) {
    view->observe (0, 4, "other", 10, 19);
    view->observe (20 * kS, 4, "other", 10, 20);
    ft_lease_suspect (view->lease, "other", TRUE, 21 * kS);
    EXPECT_TRUE (ft_lease_sweep_due (view->lease, 21 * kS));
    EXPECT_FALSE (ft_lease_acquire_due (view->lease, 21 * kS)) << "the rows must be read first";
  }
  alive.observe (22 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (alive.lease, 22 * kS));
  gone.observe (22 * kS, 4, "other", 10, 20);
  ASSERT_TRUE (ft_lease_acquire_due (gone.lease, 22 * kS));
  FtLeaseClaim claim = ft_lease_claim (gone.lease, 22 * kS);
  EXPECT_TRUE (claim.check_renewal);
}

// Found on the fleets' day of refused connections: every controller looked dead to
// the others, and a new leader claimed twice a second.
TEST (Lease, AnAdvisoryWithoutAWitnessOrAboutANewLeaderWaitsForARenewal)
{
  LeaseView unsure, young;
  for (LeaseView *view : { &unsure, &young }) {
    view->observe (0, 4, "other", view == &young ? 9 : 10, 20);
    view->observe (20 * kS, 4, "other", 10, 20);
    ft_lease_suspect (view->lease, "other", view == &young, 21 * kS);
    view->observe (21 * kS + kS / 5, 4, "other", 10, 20);
    EXPECT_TRUE (ft_lease_sweep_due (view->lease, 22 * kS)) << "it is looked at often meanwhile";
    EXPECT_EQ (ft_lease_acquire_due (view->lease, 22 * kS), view == &unsure) << "unsure: unrenewed since 0 s";
  }
  young.observe (23 * kS, 4, "other", 10, 20);
  EXPECT_FALSE (ft_lease_acquire_due (young.lease, 23 * kS));
  young.observe (24 * kS + kS / 10, 4, "other", 10, 20);
  EXPECT_TRUE (ft_lease_acquire_due (young.lease, 24 * kS + kS / 10)) << "a renewal is a second overdue";
  LeaseView renewed;
  renewed.observe (0, 4, "other", 10, 20);
  ft_lease_suspect (renewed.lease, "other", FALSE, kS);
  renewed.observe (3 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (renewed.lease, 8 * kS));
}

TEST (Lease, AReleasedHolderKeepsOff)
{
  LeaseView view;
  view.acquire ();
  ft_lease_released (view.lease, kS);
  view.observe (2 * kS, 1, "me", 10, 11, true);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 2 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (view.lease, 2 * kS + (gint64) (FT_ABSTAIN_S * kS)));
}

TEST (Tuning, NodesThatDisagreeAboutTheLeaseTimeWaitForTheLonger)
{
  LeaseView view;
  ft_lease_set_times (view.lease, 3 * kS, kS, 0.25, 3);
  view.observe (0, 4, "other", 10, 20, false, 12 * kS);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 11 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (view.lease, 13 * kS));
}

TEST (Tuning, AHolderCountsWithWhatItsRenewalWrote)
{
  LeaseView view;
  view.acquire ();
  ft_lease_cancellations_known (view.lease, 9 * kS);
  ft_lease_set_times (view.lease, 18 * kS, kS, 0.25, 3);
  EXPECT_FALSE (ft_lease_may_start (view.lease, 10 * kS));
  ft_lease_renew_sent (view.lease, 8 * kS);
  ft_lease_set_times (view.lease, 30 * kS, kS, 0.25, 3);
  ft_lease_renewed (view.lease, 8 * kS);
  ft_lease_cancellations_known (view.lease, 24 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 25 * kS));
  EXPECT_FALSE (ft_lease_may_start (view.lease, 26 * kS));
}

} // namespace
