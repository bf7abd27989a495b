// The leader's lease: when a controller acquires, renews and yields it, and what its holder may do.
#include "scheduler_harness.hpp"

namespace {

struct Lease {
  FtLease *lease = ft_lease_new ("me", 7, 9 * kS, 3 * kS, 18 * kS, 1);
  ~Lease () { ft_lease_free (lease); }
  void
  see (gint64 now, guint64 token, const char *holder, guint64 fence, guint64 renewal, bool released = false,
       gint64 lease_us = 0)
  {
    FtLeaseRows rows = { token, (char *) holder, 1, fence, renewal, lease_us, released };
    ft_lease_observe (lease, now, &rows);
  }
};

TEST (Lease, TakesARowUnrenewedForALeaseTimeAndNotBefore)
{
  Lease l;
  l.see (0, 4, "other", 10, 20);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 9 * kS));
  l.see (8 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 16 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (l.lease, 18 * kS));
  FtLeaseClaim c = ft_lease_claim (l.lease, 18 * kS);
  EXPECT_EQ (c.token, 5u);
  EXPECT_EQ (c.fence_revision, 10u);
  EXPECT_TRUE (c.check_renewal);
}

TEST (Lease, TimeWithoutSightDoesNotCountAgainstTheHolder)
{
  Lease l;
  l.see (0, 4, "other", 10, 20);
  ft_lease_sweep_failed (l.lease, 8 * kS);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 16 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (l.lease, 18 * kS));
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
  Lease own, released;
  own.see (0, 4, "me", 10, 20);
  EXPECT_TRUE (ft_lease_acquire_due (own.lease, 0));
  released.see (0, 4, "other", 10, 20, true);
  EXPECT_TRUE (ft_lease_acquire_due (released.lease, 0));
}

TEST (Lease, ValidityCountsFromWhenTheRenewalWasSent)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 1 * kS, 10);
  ft_lease_cancellations_known (l.lease, 8 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 9 * kS));
  EXPECT_FALSE (ft_lease_may_start (l.lease, 10 * kS));
  ft_lease_tick (l.lease, 10 * kS);
  EXPECT_EQ (ft_lease_state (l.lease), FT_LEASE_EXPIRED);
  // A expired holder answers reports for the hold, counted from the older contact.
  ft_lease_cancellations_known (l.lease, 18 * kS);
  EXPECT_TRUE (ft_lease_may_answer (l.lease, 18 * kS));
  EXPECT_FALSE (ft_lease_may_answer (l.lease, 19 * kS));
  // Nobody acquired in between: the renewal makes it go on.
  ft_lease_renewed (l.lease, 17 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 20 * kS));
  ft_lease_lost (l.lease, 21 * kS);
  EXPECT_FALSE (ft_lease_may_start (l.lease, 21 * kS));
  EXPECT_FALSE (ft_lease_may_answer (l.lease, 21 * kS));
}

// Its answers would keep tasks alive that were cancelled before it was the holder.
TEST (Lease, ANewHolderAnswersNobodyBeforeItHasReadTheWithdrawals)
{
  Lease l;
  l.see (0, 4, "me", 10, 20);
  for (guint64 revision : { 30u, 40u }) { // again after each acquisition
    ft_lease_claim (l.lease, 0);
    ft_lease_acquired (l.lease, 0, revision);
    EXPECT_FALSE (ft_lease_may_answer (l.lease, kS));
    EXPECT_FALSE (ft_lease_may_start (l.lease, kS));
    ft_lease_cancellations_known (l.lease, kS);
    EXPECT_TRUE (ft_lease_may_answer (l.lease, 2 * kS));
    EXPECT_TRUE (ft_lease_may_start (l.lease, 2 * kS));
    ft_lease_lost (l.lease, 3 * kS);
    l.see (3 * kS, 5, "me", revision, 50);
  }
}

// A renewal that succeeds after an outage tells nothing of the cancellations meanwhile.
TEST (Lease, ARenewalAloneProlongsNoHoldAndStartsNothing)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 0, 10);
  ft_lease_cancellations_known (l.lease, 2 * kS);
  ft_lease_tick (l.lease, 10 * kS);
  ft_lease_renewed (l.lease, 30 * kS);
  EXPECT_EQ (ft_lease_state (l.lease), FT_LEASE_HOLDING);
  EXPECT_FALSE (ft_lease_may_start (l.lease, 31 * kS));
  EXPECT_FALSE (ft_lease_may_answer (l.lease, 31 * kS));
  ft_lease_cancellations_known (l.lease, 31 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 32 * kS));
  EXPECT_TRUE (ft_lease_may_answer (l.lease, 32 * kS));
  // An answer that comes late, of a request sent before, takes nothing back.
  ft_lease_cancellations_known (l.lease, 5 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 32 * kS));
}

TEST (Lease, ACedingHolderStartsNothingAndAnswersUntilItsHoldIsOver)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 0, 10);
  ft_lease_cancellations_known (l.lease, kS);
  ft_lease_yield (l.lease, 2 * kS);
  EXPECT_EQ (ft_lease_state (l.lease), FT_LEASE_EXPIRED);
  EXPECT_FALSE (ft_lease_may_start (l.lease, 2 * kS));
  EXPECT_TRUE (ft_lease_may_answer (l.lease, 17 * kS));
  EXPECT_FALSE (ft_lease_may_answer (l.lease, 18 * kS));
  // Nobody has taken the lease and the store is back: it goes on.
  ft_lease_renewed (l.lease, 4 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 5 * kS));
}

TEST (Lease, ASuspectedHolderIsTakenOverOnlyIfItsRowsStandStill)
{
  Lease alive, gone;
  for (Lease *l : { &alive, &gone }) {
    l->see (0, 4, "other", 10, 19);
    l->see (20 * kS, 4, "other", 10, 20);
    ft_lease_suspect (l->lease, "other", TRUE, 21 * kS);
    EXPECT_TRUE (ft_lease_sweep_due (l->lease, 21 * kS));
    EXPECT_FALSE (ft_lease_acquire_due (l->lease, 21 * kS)) << "the rows must be read first";
  }
  alive.see (22 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (alive.lease, 22 * kS));
  gone.see (22 * kS, 4, "other", 10, 20);
  ASSERT_TRUE (ft_lease_acquire_due (gone.lease, 22 * kS));
  FtLeaseClaim c = ft_lease_claim (gone.lease, 22 * kS);
  EXPECT_TRUE (c.check_renewal);
}

// Found on the fleets' day of refused connections: every controller looked dead to
// the others, and a new leader claimed twice a second.
TEST (Lease, AHintWithoutAWitnessOrAboutANewLeaderWaitsForARenewal)
{
  Lease unsure, young;
  for (Lease *l : { &unsure, &young }) {
    l->see (0, 4, "other", l == &young ? 9 : 10, 20);
    l->see (20 * kS, 4, "other", 10, 20);
    ft_lease_suspect (l->lease, "other", l == &young, 21 * kS);
    l->see (21 * kS + kS / 5, 4, "other", 10, 20);
    EXPECT_TRUE (ft_lease_sweep_due (l->lease, 22 * kS)) << "it is looked at often meanwhile";
    EXPECT_EQ (ft_lease_acquire_due (l->lease, 22 * kS), l == &unsure) << "unsure: unrenewed since 0 s";
  }
  young.see (23 * kS, 4, "other", 10, 20);
  EXPECT_FALSE (ft_lease_acquire_due (young.lease, 23 * kS));
  young.see (24 * kS + kS / 10, 4, "other", 10, 20);
  EXPECT_TRUE (ft_lease_acquire_due (young.lease, 24 * kS + kS / 10)) << "a renewal is a second overdue";
  Lease renewed;
  renewed.see (0, 4, "other", 10, 20);
  ft_lease_suspect (renewed.lease, "other", FALSE, kS);
  renewed.see (3 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (renewed.lease, 8 * kS));
}

TEST (Lease, AReleasedHolderKeepsOff)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 0, 10);
  ft_lease_released (l.lease, kS);
  l.see (2 * kS, 1, "me", 10, 11, true);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 2 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (l.lease, 2 * kS + (gint64) (FT_ABSTAIN_S * kS)));
}

TEST (Tuning, NodesThatDisagreeAboutTheLeaseTimeWaitForTheLonger)
{
  Lease l;
  ft_lease_set_times (l.lease, 3 * kS, kS, 0.25, 3);
  l.see (0, 4, "other", 10, 20, false, 12 * kS);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 11 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (l.lease, 13 * kS));
}

TEST (Tuning, AHolderCountsWithWhatItsRenewalWrote)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 0, 10);
  ft_lease_cancellations_known (l.lease, 9 * kS);
  ft_lease_set_times (l.lease, 18 * kS, kS, 0.25, 3);
  EXPECT_FALSE (ft_lease_may_start (l.lease, 10 * kS));
  ft_lease_renew_sent (l.lease, 8 * kS);
  ft_lease_set_times (l.lease, 30 * kS, kS, 0.25, 3);
  ft_lease_renewed (l.lease, 8 * kS);
  ft_lease_cancellations_known (l.lease, 24 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 25 * kS));
  EXPECT_FALSE (ft_lease_may_start (l.lease, 26 * kS));
}

} // namespace
