// Polls of open jobs, and checks of their ancestors, against a stand-in for the key-value store. On each path the
// callback is called once, and never before the function that starts the operation has returned (net/http.h).
#include "completion_call.hpp"
#include "store_stand_in.hpp"

extern "C" {
#include "net/ancestors.h"
#include "net/job_cache.h"
#include "net/polls.h"
}

using namespace loopback;

namespace {

using PollCall = CompletionCall<FtPollResult>;
using CheckCall = CompletionCall<FtAncestorsResult>;

class Polls : public testing::Test {
protected:
  // The greatest difference between the stack frames of callbacks that are called at the same depth of recursion.
  static constexpr guintptr kOneDepthBytes = 4096;
  CompletionCalls<FtPollResult> polls;
  CompletionCalls<FtAncestorsResult> checks;
  FtNode node{};
  StoreStandIn stand_in;

  void
  SetUp () override
  {
    make_client (StoreStandIn::kManyRequests);
    node.config = &stand_in.config;
    node.job_cache = ft_job_cache_new ();
    node.polls = ft_polls_new (&node);
    ft_job_cache_add_open (node.job_cache, "req-1", 7, FALSE);
  }
  void
  TearDown () override
  {
    wait_for ([&] { return node.store == nullptr || ft_store_client_in_flight (node.store) == 0; });
    free_modules ();
  }
  void
  make_client (double requests_per_s)
  {
    stand_in.free_client ();
    stand_in.make_client (requests_per_s);
    node.store = stand_in.client;
  }
  // Frees the modules in the order in which the controller frees them.
  void
  free_modules ()
  {
    stand_in.free_client ();
    node.store = nullptr;
    ft_polls_free (node.polls);
    node.polls = nullptr;
    ft_job_cache_free (node.job_cache);
    node.job_cache = nullptr;
  }
  // Puts a job with dependencies that has not been checked yet into the cache.
  void
  cache_job (const char *ref, const char *const *dependencies)
  {
    FtCachedJob *job = ft_job_cache_add_open (node.job_cache, ref, 7, TRUE);
    g_strfreev (job->dependencies);
    job->dependencies = g_strdupv ((GStrv) dependencies);
  }
  static void
  on_polled (FtPollResult result, gpointer data)
  {
    ((PollCall *) data)->complete (result);
  }
  PollCall &
  poll (std::function<void ()> on_call = nullptr)
  {
    PollCall &call = add_call (polls, "poll");
    call.on_call = on_call;
    EXPECT_TRUE (ft_polls_add (node.polls, "req-1", on_polled, &call));
    call.returned = true;
    return call;
  }
  static void
  on_checked (FtAncestorsResult result, const char *, gpointer data)
  {
    ((CheckCall *) data)->complete (result);
  }
  // Checks a job that the cache cannot decide.
  CheckCall &
  check (const char *ref)
  {
    CheckCall &call = add_call (checks, ref);
    FtAncestorsResult result;
    EXPECT_TRUE (ft_ancestors_check (&node, ref, &result, on_checked, &call)) << ref;
    call.returned = true;
    return call;
  }
  CheckCall &
  check_named (const char *const *refs)
  {
    CheckCall &call = add_call (checks, "check of named jobs");
    FtAncestorsResult result;
    EXPECT_TRUE (ft_ancestors_check_named (&node, refs, &result, on_checked, &call));
    call.returned = true;
    return call;
  }
  // The number of bytes of the stack between the callbacks that were called highest and lowest.
  guintptr
  stack_between_callbacks () const
  {
    auto less = [] (const PollCall &first, const PollCall &second) { return first.stack < second.stack; };
    auto ends = std::minmax_element (polls.begin (), polls.end (), less);
    return ends.second->stack - ends.first->stack;
  }
};

const char *const kDependencies[] = { "req-11", "req-12", "req-13", nullptr };

TEST_F (Polls, CallbackComesAfterTheReturnWhenTheReadQueueIsFull)
{
  make_client (StoreStandIn::kOneRequest);
  stand_in.fill_read_queue ();
  poll ();
  expect_done (polls, FT_POLL_FAILED);
}

TEST_F (Polls, CallbackComesAfterTheReturnWhenTheRowIsUnchangedOrChanged)
{
  poll ();
  poll ();
  expect_done (polls, FT_POLL_OPEN);
  polls.clear ();
  stand_in.answer = StoreStandIn::Answer::kConflict;
  stand_in.changed_keys = { "j/req-1" };
  poll ();
  expect_done (polls, FT_POLL_CHANGED);
}

TEST_F (Polls, CallbackComesAfterTheReturnWhenTheStoreRefuses)
{
  for (auto answer : { StoreStandIn::Answer::kUnavailable, StoreStandIn::Answer::kThrottled,
                       StoreStandIn::Answer::kInvalidStatus, StoreStandIn::Answer::kConflict }) {
    polls.clear ();
    stand_in.answer = answer;
    poll ();
    poll ();
    expect_done (polls, FT_POLL_FAILED);
  }
}

TEST_F (Polls, CallbackComesAfterTheReturnWhenTheDeadlinePasses)
{
  stand_in.answer = StoreStandIn::Answer::kNone;
  poll ();
  poll ();
  expect_done (polls, FT_POLL_FAILED);
}

TEST_F (Polls, CallbackComesAfterTheReturnWhenTheConnectionIsRefused)
{
  stand_in.stop ();
  poll ();
  poll ();
  expect_done (polls, FT_POLL_FAILED);
}

TEST_F (Polls, NoCallbackIsCalledAfterThePollsAreFreed)
{
  stand_in.answer = StoreStandIn::Answer::kNone;
  poll ();
  poll ();
  wait_for ([&] { return stand_in.requests > 0; });
  free_modules ();
  expect_never_called (polls);
}

TEST_F (Polls, PollBeyondTheLimitIsNotAdded)
{
  make_client (StoreStandIn::kOneRequest);
  poll (); // is sent, and the others wait for its answer
  while (ft_polls_waiting (node.polls) < FT_POLLS_MAX)
    poll ();
  PollCall call;
  EXPECT_FALSE (ft_polls_add (node.polls, "req-1", on_polled, &call));
  EXPECT_EQ (call.calls, 0u);
}

// Guards against a recursion whose depth grows with the number of waiting polls, when the full queue refuses one
// transaction after the other.
TEST_F (Polls, ThousandsOfWaitingPollsAreRefusedAtOneDepthOfRecursion)
{
  make_client (StoreStandIn::kOneRequest);
  poll (); // is sent, and the others wait for its answer
  while (ft_polls_waiting (node.polls) < FT_POLLS_MAX)
    poll ();
  stand_in.fill_read_queue ();
  ASSERT_TRUE (wait_for ([&] { return polls.front ().calls == 1; }));
  EXPECT_EQ (polls.front ().result, FT_POLL_OPEN);
  polls.pop_front ();
  expect_done (polls, FT_POLL_FAILED);
  EXPECT_LT (stack_between_callbacks (), kOneDepthBytes);
}

// Guards against a caller that polls again after each failure and so keeps the main loop from its other work.
TEST_F (Polls, PollThatIsRepeatedByItsCallbackIsRefusedInALaterTurnOfTheMainLoop)
{
  make_client (StoreStandIn::kOneRequest);
  stand_in.fill_read_queue ();
  guint turns = 0;
  std::vector<guint> turns_of_callbacks;
  std::function<void ()> repeat = [&] {
    turns_of_callbacks.push_back (turns);
    if (turns_of_callbacks.size () < 10)
      poll (repeat);
  };
  poll (repeat);
  while (turns_of_callbacks.size () < 10 && turns < 10000) {
    turns++;
    g_main_context_iteration (nullptr, FALSE);
  }
  ASSERT_EQ (turns_of_callbacks.size (), 10u);
  for (size_t i = 1; i < turns_of_callbacks.size (); i++)
    EXPECT_GT (turns_of_callbacks[i], turns_of_callbacks[i - 1]);
}

// A conflict that names no compared row proves nothing about polls that have arrived since.
TEST_F (Polls, PollThatArrivedAfterAFailedTransactionIsComparedInTheNextOne)
{
  stand_in.answer = StoreStandIn::Answer::kConflict;
  PollCall &failed = poll ();
  PollCall &later = poll ();
  failed.on_call = [&] { stand_in.answer = StoreStandIn::Answer::kEmpty; };
  ASSERT_TRUE (wait_for ([&] { return failed.calls == 1 && later.calls == 1; }));
  EXPECT_EQ (failed.result, FT_POLL_FAILED);
  EXPECT_EQ (later.result, FT_POLL_OPEN);
}

TEST_F (Polls, CheckThatTheCacheDecidesReturnsTheResultWithoutACallback)
{
  CheckCall call;
  FtAncestorsResult result = FT_ANCESTORS_UNKNOWN;
  EXPECT_FALSE (ft_ancestors_check (&node, "req-1", &result, on_checked, &call));
  EXPECT_EQ (result, FT_ANCESTORS_OPEN) << "a job without dependencies";
  result = FT_ANCESTORS_UNKNOWN;
  EXPECT_FALSE (ft_ancestors_check_named (&node, nullptr, &result, on_checked, &call));
  EXPECT_EQ (result, FT_ANCESTORS_OPEN) << "no dependencies";
  const char *const ended[] = { "req-21", "req-22", nullptr };
  ft_job_cache_add_ended (node.job_cache, "req-21", FT_JOB_END_DONE, 1);
  ft_job_cache_add_ended (node.job_cache, "req-22", FT_JOB_END_CANCELLED, 1);
  EXPECT_FALSE (ft_ancestors_check_named (&node, ended, &result, on_checked, &call));
  EXPECT_EQ (result, FT_ANCESTORS_CANCELLED) << "a dependency is cancelled";
  run_main_loop_for (kSecondCallS);
  EXPECT_EQ (call.calls, 0u);
  EXPECT_EQ (stand_in.requests, 0u);
}

// Guards against a check that is freed while it still starts reads, because the refusal of a read comes too early
// (review/1).
TEST_F (Polls, CheckIsAnsweredOnceWhenTheReadQueueIsFull)
{
  cache_job ("req-10", kDependencies);
  make_client (StoreStandIn::kOneRequest);
  stand_in.fill_read_queue ();
  check ("req-10");
  check ("req-99");
  check_named (kDependencies);
  expect_done (checks, FT_ANCESTORS_UNKNOWN);
}

TEST_F (Polls, CheckIsAnsweredOnceWhenTheStoreRefusesIsSilentOrUnreachable)
{
  for (auto answer : { StoreStandIn::Answer::kUnavailable, StoreStandIn::Answer::kThrottled,
                       StoreStandIn::Answer::kInvalidStatus, StoreStandIn::Answer::kNone }) {
    checks.clear ();
    cache_job ("req-10", kDependencies);
    stand_in.answer = answer;
    check ("req-10");
    check_named (kDependencies);
    expect_done (checks, FT_ANCESTORS_UNKNOWN);
  }
  stand_in.stop ();
  checks.clear ();
  check ("req-10");
  check_named (kDependencies);
  expect_done (checks, FT_ANCESTORS_UNKNOWN);
}

} // namespace
