// The client of the key-value store against a stand-in over loopback: its queues, and on each path the contract of
// completion callbacks (net/http.h): the callback is called once, and never before the requesting function has
// returned.
#include "completion_call.hpp"
#include "store_stand_in.hpp"

using namespace loopback;

namespace {

using StoreCall = CompletionCall<FtStoreResult>;

void
on_done (FtStoreResult result, const json_t *, gpointer data)
{
  ((StoreCall *) data)->complete (result);
}

class StoreClient : public testing::Test {
protected:
  CompletionCalls<FtStoreResult> calls;
  StoreStandIn stand_in;

  void
  get (FtStorePriority priority)
  {
    StoreCall &call = add_call (calls, "get");
    ft_store_client_get (stand_in.client, "j/req-1", priority, on_done, &call);
    call.returned = true;
  }
  void
  list (FtStorePriority priority)
  {
    StoreCall &call = add_call (calls, "list");
    ft_store_client_list (stand_in.client, "j/", nullptr, priority, on_done, &call);
    call.returned = true;
  }
  void
  commit (FtStorePriority priority)
  {
    StoreCall &call = add_call (calls, "commit");
    json_auto_t *txn = ft_txn_new_check ();
    ft_txn_if (txn, "j/req-1", 7);
    ft_store_client_commit (stand_in.client, txn, priority, on_done, &call);
    call.returned = true;
  }
  void
  watch ()
  {
    StoreCall &call = add_call (calls, "watch");
    ft_store_client_watch (stand_in.client, "o/", 1, on_done, &call);
    call.returned = true;
  }
  void
  request_all (FtStorePriority priority)
  {
    get (priority);
    list (priority);
    commit (priority);
  }
  // Makes requests of all kinds and priorities.
  void
  request_all_priorities ()
  {
    for (FtStorePriority priority :
         { FT_STORE_PRIORITY_LEASE, FT_STORE_PRIORITY_CANCEL, FT_STORE_PRIORITY_COMMIT, FT_STORE_PRIORITY_READ })
      request_all (priority);
    watch ();
  }
};

TEST_F (StoreClient, QueueStatusShowsWaitingAndRefusedRequests)
{
  stand_in.make_client (StoreStandIn::kOneRequest);
  stand_in.fill_read_queue ();
  get (FT_STORE_PRIORITY_READ);
  get (FT_STORE_PRIORITY_READ);
  FtStoreQueueStatus reads = stand_in.read_queue ();
  EXPECT_EQ (reads.length, (guint) FT_STORE_QUEUE_MAX);
  EXPECT_EQ (reads.longest, (guint) FT_STORE_QUEUE_MAX);
  EXPECT_EQ (reads.refused, 2u);
  FtStoreQueueStatus commits = ft_store_client_queue_status (stand_in.client, FT_STORE_PRIORITY_COMMIT);
  EXPECT_EQ (commits.length, 0u);
  EXPECT_EQ (commits.refused, 0u);
}

TEST_F (StoreClient, QueueStatusKeepsTheGreatestLengthWhenTheQueueIsEmptyAgain)
{
  stand_in.make_client (StoreStandIn::kManyRequests);
  get (FT_STORE_PRIORITY_READ);
  expect_done (calls, FT_STORE_OK);
  FtStoreQueueStatus reads = stand_in.read_queue ();
  EXPECT_EQ (reads.length, 0u);
  EXPECT_EQ (reads.longest, 1u);
  EXPECT_EQ (reads.refused, 0u);
}

// Guards against a caller that is freed by its callback while it still starts requests (review/1).
TEST_F (StoreClient, CallbackComesAfterTheReturnWhenTheQueueIsFull)
{
  stand_in.make_client (StoreStandIn::kOneRequest);
  stand_in.fill_read_queue ();
  size_t first = calls.size ();
  request_all (FT_STORE_PRIORITY_READ);
  expect_done (calls, FT_STORE_UNAVAILABLE, first);
}

// Guards against a renewal of the lease that waits behind the callbacks of refused reads.
TEST_F (StoreClient, LeaseRequestIsSentAndAnsweredBeforeManyRefusedReads)
{
  stand_in.make_client (StoreStandIn::kOneRequest);
  stand_in.fill_read_queue ();
  for (int i = 0; i < 1000 * FT_COMPLETIONS_AT_ONCE; i++)
    get (FT_STORE_PRIORITY_READ);
  guint in_flight = ft_store_client_in_flight (stand_in.client);
  commit (FT_STORE_PRIORITY_LEASE);
  const StoreCall &renewal = calls.back (), &last_read = calls[calls.size () - 2];
  EXPECT_EQ (ft_store_client_in_flight (stand_in.client), in_flight + 1) << "the renewal was not sent at once";
  ASSERT_TRUE (wait_for ([&] { return renewal.calls == 1; }));
  EXPECT_EQ (last_read.calls, 0u) << "the renewal was answered after all refused reads";
}

TEST_F (StoreClient, CallbackComesAfterTheReturnWhenABudgetIsExhausted)
{
  stand_in.make_client (50); // 11 requests a second for a follower
  while (ft_store_client_queued (stand_in.client) == 0)
    get (FT_STORE_PRIORITY_READ);
  request_all_priorities ();
  expect_done (calls, FT_STORE_OK);
}

TEST_F (StoreClient, ReadIsRefusedWhenItHasWaitedForLongerThanAUserMayWait)
{
  stand_in.make_client (StoreStandIn::kOneRequest);
  stand_in.fill_read_queue ();
  size_t first = calls.size ();
  get (FT_STORE_PRIORITY_CANCEL);
  get (FT_STORE_PRIORITY_COMMIT);
  guint queued = ft_store_client_queued (stand_in.client);
  EXPECT_TRUE (wait_for ([&] { return stand_in.read_queue ().length == 0; }));
  EXPECT_EQ (queued, FT_STORE_QUEUE_MAX + 1u);
  EXPECT_EQ (stand_in.read_queue ().refused, (guint64) FT_STORE_QUEUE_MAX);
  EXPECT_EQ (ft_store_client_queued (stand_in.client), 1u) << "the read for the leader still waits";
  EXPECT_EQ (calls[first].calls + calls[first + 1].calls, 0u);
}

TEST_F (StoreClient, CallbackComesAfterTheReturnWhenTheStoreThrottles)
{
  stand_in.make_client (StoreStandIn::kManyRequests);
  stand_in.answer = StoreStandIn::Answer::kThrottled;
  request_all_priorities ();
  expect_done (calls, FT_STORE_THROTTLED);
}

TEST_F (StoreClient, CallbackComesAfterTheReturnWhenTheStoreRefuses)
{
  stand_in.make_client (StoreStandIn::kManyRequests);
  stand_in.answer = StoreStandIn::Answer::kUnavailable;
  request_all_priorities ();
  expect_done (calls, FT_STORE_UNAVAILABLE);
  size_t first = calls.size ();
  stand_in.answer = StoreStandIn::Answer::kInvalidStatus;
  request_all_priorities ();
  expect_done (calls, FT_STORE_FAILED, first);
}

TEST_F (StoreClient, CallbackComesAfterTheReturnWhenTheDeadlinePasses)
{
  stand_in.make_client (StoreStandIn::kManyRequests);
  stand_in.answer = StoreStandIn::Answer::kNone;
  request_all_priorities ();
  expect_done (calls, FT_STORE_UNANSWERED);
}

TEST_F (StoreClient, CallbackComesAfterTheReturnWhenTheConnectionIsRefusedOrLost)
{
  stand_in.make_client (StoreStandIn::kManyRequests);
  request_all_priorities ();
  expect_done (calls, FT_STORE_OK); // leaves connections open, which end with the server
  stand_in.stop ();
  size_t first = calls.size ();
  request_all_priorities ();
  expect_done (calls, FT_STORE_UNANSWERED, first);
}

TEST_F (StoreClient, NoCallbackIsCalledAfterTheClientIsFreed)
{
  stand_in.make_client (StoreStandIn::kOneRequest);
  stand_in.answer = StoreStandIn::Answer::kNone;
  stand_in.fill_read_queue (); // one request is in flight, the others wait
  request_all_priorities ();   // those for reads are refused
  stand_in.free_client ();
  expect_never_called (calls);
}

} // namespace
