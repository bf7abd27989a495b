// Tests of the leader's lease: when a controller acquires, renews and yields it, and when its holder may start tasks
// and answer heartbeats. The lease consists of two rows in the store: the fence row changes when a controller acquires
// the lease, and the renewal row changes at each renewal. A sweep is a read of both rows.
#include "scheduler_harness.hpp"

namespace {

// The lease as controller "me" sees it, with a lease time of 9 s, a sweep interval of 3 s, and an answer grace period
// of 18 s.
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
  // Acquires the lease, which no controller holds. `sent_at`: the reported send time of the claim.
  void
  acquire (gint64 sent_at = 0)
  {
    observe (0, 0, nullptr, 0, 0);
    ft_lease_claim (lease, 0);
    ft_lease_acquired (lease, sent_at, 10);
  }
};

TEST (Lease, LeaseIsClaimedOnlyAfterALeaseTimeWithoutRenewal)
{
  LeaseView view;
  view.observe (0, 4, "other", 10, 20);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 9 * kS));
  view.observe (8 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 16 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (view.lease, 18 * kS));
  FtLeaseClaim claim = ft_lease_claim (view.lease, 18 * kS);
  EXPECT_EQ (claim.token, 4u + FT_WORKER_TOKENS);
  EXPECT_EQ (ft_lease_worker_tokens (view.lease).first, 5u);
  EXPECT_EQ (ft_lease_worker_tokens (view.lease).last, claim.token);
  EXPECT_EQ (claim.fence_revision, 10u);
  EXPECT_TRUE (claim.check_renewal);
}

TEST (Lease, StoreOutageDoesNotCountAsTimeWithoutRenewal)
{
  LeaseView view;
  view.observe (0, 4, "other", 10, 20);
  ft_lease_sweep_failed (view.lease, 8 * kS);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 16 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (view.lease, 18 * kS));
}

// Guards against waiting for a whole sweep interval, which was up to 3.75 s with jitter, before the rows are read again
// after an outage of the store.
TEST (Lease, FailedSweepIsRetriedWithinASecond)
{
  g_autoptr (FtLease) lease = ft_lease_new ("hearth-0", 1, 9 * kS, 3 * kS, 18 * kS, 1);
  ft_lease_sweep_failed (lease, 100 * kS);
  EXPECT_FALSE (ft_lease_sweep_due (lease, 100 * kS + kS / 10));
  EXPECT_TRUE (ft_lease_sweep_due (lease, 101 * kS));
}

TEST (Lease, OwnEarlierLeaseAndReleasedLeaseAreClaimedAtOnce)
{
  LeaseView own, released;
  own.observe (0, 4, "me", 10, 20);
  EXPECT_TRUE (ft_lease_acquire_due (own.lease, 0));
  released.observe (0, 4, "other", 10, 20, true);
  EXPECT_TRUE (ft_lease_acquire_due (released.lease, 0));
}

TEST (Lease, ValidityCountsFromTheSendTimeOfTheRenewal)
{
  LeaseView view;
  view.acquire (1 * kS);
  ft_lease_cancellations_known (view.lease, 8 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 9 * kS));
  EXPECT_FALSE (ft_lease_may_start (view.lease, 10 * kS));
  ft_lease_tick (view.lease, 10 * kS);
  EXPECT_EQ (ft_lease_state (view.lease), FT_LEASE_EXPIRED);
  // A holder whose lease has expired answers heartbeats for the answer grace period, which counts from the last renewal
  // or from the last read of the cancellations, whichever is older.
  ft_lease_cancellations_known (view.lease, 18 * kS);
  EXPECT_TRUE (ft_lease_may_answer (view.lease, 18 * kS));
  EXPECT_FALSE (ft_lease_may_answer (view.lease, 19 * kS));
  // No other controller has acquired the lease, so the renewal makes it valid again.
  ft_lease_renewed (view.lease, 17 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 20 * kS));
  ft_lease_lost (view.lease, 21 * kS);
  EXPECT_FALSE (ft_lease_may_start (view.lease, 21 * kS));
  EXPECT_FALSE (ft_lease_may_answer (view.lease, 21 * kS));
}

// Until a new holder has read the cancellations, its answers would keep tasks running that were cancelled before it
// acquired the lease.
TEST (Lease, NewHolderAnswersNoHeartbeatBeforeItHasReadTheCancellations)
{
  LeaseView view;
  view.observe (0, 4, "me", 10, 20);
  for (guint64 revision : { 30u, 40u }) { // revisions of the fence row after two acquisitions
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

// A renewal that succeeds after an outage does not show which jobs were cancelled during the outage.
TEST (Lease, RenewalWithoutARecentReadOfCancellationsPermitsNeitherStartsNorAnswers)
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
  // A late answer to an earlier request for the cancellations does not make the known cancellations older.
  ft_lease_cancellations_known (view.lease, 5 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 32 * kS));
}

TEST (Lease, YieldingHolderStartsNothingAndAnswersUntilItsGracePeriodIsOver)
{
  LeaseView view;
  view.acquire ();
  ft_lease_cancellations_known (view.lease, kS);
  ft_lease_yield (view.lease, 2 * kS);
  EXPECT_EQ (ft_lease_state (view.lease), FT_LEASE_EXPIRED);
  EXPECT_FALSE (ft_lease_may_start (view.lease, 2 * kS));
  EXPECT_TRUE (ft_lease_may_answer (view.lease, 17 * kS));
  EXPECT_FALSE (ft_lease_may_answer (view.lease, 18 * kS));
  // No other controller has acquired the lease, so a renewal that succeeds lets the holder start tasks again.
  ft_lease_renewed (view.lease, 4 * kS);
  EXPECT_TRUE (ft_lease_may_start (view.lease, 5 * kS));
}

TEST (Lease, LeaseOfASuspectedHolderIsClaimedOnlyIfItsRowsAreUnchanged)
{
  LeaseView alive, gone;
  for (LeaseView *view : { &alive, &gone }) {
    view->observe (0, 4, "other", 10, 19);
    view->observe (20 * kS, 4, "other", 10, 20);
    ft_lease_suspect (view->lease, "other", TRUE, 21 * kS);
    EXPECT_TRUE (ft_lease_sweep_due (view->lease, 21 * kS));
    EXPECT_FALSE (ft_lease_acquire_due (view->lease, 21 * kS)) << "the rows must be read before the lease is claimed";
  }
  alive.observe (22 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (alive.lease, 22 * kS));
  gone.observe (22 * kS, 4, "other", 10, 20);
  ASSERT_TRUE (ft_lease_acquire_due (gone.lease, 22 * kS));
  FtLeaseClaim claim = ft_lease_claim (gone.lease, 22 * kS);
  EXPECT_TRUE (claim.check_renewal);
}

// Guards against leaders that replace each other twice a second while controllers refuse each other's connections and
// so suspect each other. A suspicion that no other peer confirms, or one of a leader whose fence row has changed
// recently, permits a claim only when a renewal is overdue.
TEST (Lease, UnconfirmedSuspicionOrSuspicionOfANewLeaderPermitsAClaimOnlyIfARenewalIsOverdue)
{
  LeaseView unconfirmed, new_leader;
  for (LeaseView *view : { &unconfirmed, &new_leader }) {
    view->observe (0, 4, "other", view == &new_leader ? 9 : 10, 20);
    view->observe (20 * kS, 4, "other", 10, 20);
    ft_lease_suspect (view->lease, "other", view == &new_leader, 21 * kS);
    view->observe (21 * kS + kS / 5, 4, "other", 10, 20);
    EXPECT_TRUE (ft_lease_sweep_due (view->lease, 22 * kS)) << "the rows are read often during the suspicion";
    EXPECT_EQ (ft_lease_acquire_due (view->lease, 22 * kS), view == &unconfirmed)
        << "only the unconfirmed suspicion is about a lease without renewal for its lease time";
  }
  new_leader.observe (23 * kS, 4, "other", 10, 20);
  EXPECT_FALSE (ft_lease_acquire_due (new_leader.lease, 23 * kS));
  new_leader.observe (24 * kS + kS / 10, 4, "other", 10, 20);
  EXPECT_TRUE (ft_lease_acquire_due (new_leader.lease, 24 * kS + kS / 10)) << "a renewal is one second overdue";
  LeaseView renewed;
  renewed.observe (0, 4, "other", 10, 20);
  ft_lease_suspect (renewed.lease, "other", FALSE, kS);
  renewed.observe (3 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (renewed.lease, 8 * kS));
}

TEST (Lease, ControllerThatReleasedTheLeaseAbstainsFromClaimingIt)
{
  LeaseView view;
  view.acquire ();
  ft_lease_released (view.lease, kS);
  view.observe (2 * kS, 1, "me", 10, 11, true);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 2 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (view.lease, 2 * kS + (gint64) (FT_ABSTAIN_S * kS)));
}

TEST (Lease, FollowerWaitsForTheLongerOfItsOwnAndTheStoredLeaseTime)
{
  LeaseView view;
  ft_lease_set_times (view.lease, 3 * kS, kS, 0.25, 3);
  view.observe (0, 4, "other", 10, 20, false, 12 * kS);
  EXPECT_FALSE (ft_lease_acquire_due (view.lease, 11 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (view.lease, 13 * kS));
}

TEST (Lease, HolderUsesTheLeaseTimeThatItsRenewalWrote)
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
