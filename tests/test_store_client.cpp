// The client of the key-value store against a stand-in over loopback: its queues, and on each path the contract of
// completion callbacks (net/http.h): the callback is called once, and never before the requesting function has
// returned.
#include <gtest/gtest.h>

#include <deque>

#include "store_stand_in.hpp"

using namespace loopback;

namespace {

// A request to the store client, and the calls of its callback.
struct StoreCall {
  std::string name;              // the requesting function
  bool returned = false;         // whether that function has returned
  guint calls = 0;               // of the callback
  guint calls_before_return = 0; // of the callback, before that function had returned
  FtStoreResult result = FT_STORE_OK;
  static void
  on_done (FtStoreResult result, const json_t *, gpointer data)
  {
    auto self = (StoreCall *) data;
    self->calls++;
    self->calls_before_return += !self->returned;
    self->result = result;
  }
};

class StoreClient : public testing::Test {
protected:
  std::deque<StoreCall> calls;
  StoreStandIn stand_in;

  StoreCall *
  new_call (const char *name)
  {
    return &calls.emplace_back (StoreCall{ name });
  }
  void
  get (FtStorePriority priority)
  {
    StoreCall *call = new_call ("get");
    ft_store_client_get (stand_in.client, "j/req-1", priority, StoreCall::on_done, call);
    call->returned = true;
  }
  void
  list (FtStorePriority priority)
  {
    StoreCall *call = new_call ("list");
    ft_store_client_list (stand_in.client, "j/", nullptr, priority, StoreCall::on_done, call);
    call->returned = true;
  }
  void
  commit (FtStorePriority priority)
  {
    StoreCall *call = new_call ("commit");
    json_auto_t *txn = ft_txn_new_check ();
    ft_txn_if (txn, "j/req-1", 7);
    ft_store_client_commit (stand_in.client, txn, priority, StoreCall::on_done, call);
    call->returned = true;
  }
  void
  watch ()
  {
    StoreCall *call = new_call ("watch");
    ft_store_client_watch (stand_in.client, "o/", 1, StoreCall::on_done, call);
    call->returned = true;
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
  // Waits until the callbacks of all calls from `first` on were called, and checks that each was called once, with that
  // result, after the requesting function had returned.
  void
  expect_done (size_t first, FtStoreResult result)
  {
    EXPECT_TRUE (wait_for ([&] {
      return std::all_of (calls.begin () + (long) first, calls.end (), [] (auto &call) { return call.calls > 0; });
    }));
    wait_for_second_calls ();
    for (size_t i = first; i < calls.size (); i++) {
      EXPECT_EQ (calls[i].calls, 1u) << calls[i].name;
      EXPECT_EQ (calls[i].calls_before_return, 0u) << calls[i].name;
      EXPECT_EQ (calls[i].result, result) << calls[i].name;
    }
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
  expect_done (0, FT_STORE_OK);
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
  expect_done (first, FT_STORE_UNAVAILABLE);
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
  expect_done (0, FT_STORE_OK);
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
  expect_done (0, FT_STORE_THROTTLED);
}

TEST_F (StoreClient, CallbackComesAfterTheReturnWhenTheStoreRefuses)
{
  stand_in.make_client (StoreStandIn::kManyRequests);
  stand_in.answer = StoreStandIn::Answer::kUnavailable;
  request_all_priorities ();
  expect_done (0, FT_STORE_UNAVAILABLE);
  size_t first = calls.size ();
  stand_in.answer = StoreStandIn::Answer::kInvalidStatus;
  request_all_priorities ();
  expect_done (first, FT_STORE_FAILED);
}

TEST_F (StoreClient, CallbackComesAfterTheReturnWhenTheDeadlinePasses)
{
  stand_in.make_client (StoreStandIn::kManyRequests);
  stand_in.answer = StoreStandIn::Answer::kNone;
  request_all_priorities ();
  expect_done (0, FT_STORE_UNANSWERED);
}

TEST_F (StoreClient, CallbackComesAfterTheReturnWhenTheConnectionIsRefusedOrLost)
{
  stand_in.make_client (StoreStandIn::kManyRequests);
  request_all_priorities ();
  expect_done (0, FT_STORE_OK); // leaves connections open, which end with the server
  stand_in.stop ();
  size_t first = calls.size ();
  request_all_priorities ();
  expect_done (first, FT_STORE_UNANSWERED);
}

TEST_F (StoreClient, NoCallbackIsCalledAfterTheClientIsFreed)
{
  stand_in.make_client (StoreStandIn::kOneRequest);
  stand_in.answer = StoreStandIn::Answer::kNone;
  stand_in.fill_read_queue (); // one request is in flight, the others wait
  request_all_priorities ();   // those for reads are refused
  stand_in.free_client ();
  wait_for_second_calls ();
  for (const StoreCall &call : calls)
    EXPECT_EQ (call.calls, 0u) << call.name;
}

} // namespace
