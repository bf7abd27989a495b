// Unit tests of a leader's requests: an answer to a request of an earlier term is dropped, and a request that is sent
// again keeps its context.
#include <gtest/gtest.h>

#include <functional>
#include <string>

extern "C" {
#include "core/constants.h"
#include "net/leader_request.h"
}

namespace {

struct Counts {
  guint sent = 0, handled = 0, cleared = 0, progressed = 0;
  std::string superseded;
  FtLeaderOutcome outcome = FT_LEADER_OUTCOME_DONE; // returned by the handler of the next answer
  FtLeaderRequest *last = nullptr;                  // the request that was sent last
  int context_value = 0;                            // value in the context when the handler ran
};

struct Request {
  FtLeaderRequest base;
  int value; // an example of the data that one kind of request adds to the common part of its context
};

Counts *
counts_of (const FtLeaderRequest *request)
{
  return (Counts *) request->owner;
}

const FtLeaderRequestKind kind = {
  sizeof (Request),
  [] (FtLeaderRequest *request) {
    counts_of (request)->sent++;
    counts_of (request)->last = request;
  },
  [] (FtLeaderRequest *request, FtStoreResult, const json_t *) {
    Counts *counts = counts_of (request);
    counts->handled++;
    counts->context_value = ((Request *) request)->value;
    request->superseded_reason = "test";
    return counts->outcome;
  },
  nullptr,
  nullptr,
  [] (FtLeaderRequest *request) { counts_of (request)->cleared++; },
};

// The term of a leading controller. Its scheduler is never called, so the term may have any pointer other than
// null as its scheduler.
class LeaderRequestModule : public testing::Test {
protected:
  FtNode node{};
  FtLeaderTerm term{};
  Counts counts;
  void
  SetUp () override
  {
    node.random = g_rand_new_with_seed (1);
    term.node = &node;
    term.scheduler = (FtScheduler *) &node;
    term.number = 7;
    term.progress_data = term.superseded_data = &counts;
    term.progress = [] (gpointer data) { ((Counts *) data)->progressed++; };
    term.superseded = [] (const char *reason, gpointer data) { ((Counts *) data)->superseded = reason; };
    auto request = (Request *) ft_leader_request_new (&term, &kind, &counts);
    request->value = 42;
    ft_leader_request_send (&request->base);
  }
  void
  TearDown () override
  {
    EXPECT_EQ (counts.cleared, 1u) << "the context was not freed exactly once";
    g_rand_free (node.random);
  }
  void
  answer (FtLeaderOutcome outcome)
  {
    counts.outcome = outcome;
    ft_leader_request_on_store_answer (FT_STORE_OK, nullptr, counts.last);
  }
  // Runs the main loop for longer than the pause before the first retry, or until the condition holds.
  static void
  run_past_retry (std::function<bool ()> condition)
  {
    gint64 end = g_get_monotonic_time () + (gint64) (2 * FT_BACKOFF_FIRST_S * FT_BACKOFF_JITTER_MOST * FT_SECOND);
    while (!condition () && g_get_monotonic_time () < end)
      g_main_context_iteration (nullptr, FALSE);
  }
  void
  wait_for_retry ()
  {
    run_past_retry ([&] { return counts.sent > 1 || counts.cleared > 0; });
  }
};

TEST_F (LeaderRequestModule, AnswerInTheTermOfItsRequestIsHandledAndTheHandlersOutcomeIsApplied)
{
  answer (FT_LEADER_OUTCOME_PROGRESS);
  EXPECT_EQ (counts.handled, 1u);
  EXPECT_EQ (counts.progressed, 1u);
}

TEST_F (LeaderRequestModule, AnswerToARequestOfAnEarlierTermIsDropped)
{
  term.number++;
  answer (FT_LEADER_OUTCOME_PROGRESS);
  EXPECT_EQ (counts.handled, 0u);
  EXPECT_EQ (counts.progressed, 0u);
}

TEST_F (LeaderRequestModule, AnswerAfterTheEndOfTheLeadershipIsDropped)
{
  term.scheduler = nullptr;
  answer (FT_LEADER_OUTCOME_PROGRESS);
  EXPECT_EQ (counts.handled, 0u);
}

TEST_F (LeaderRequestModule, RetriedRequestKeepsItsContext)
{
  FtLeaderRequest *first = counts.last;
  answer (FT_LEADER_OUTCOME_RETRY);
  wait_for_retry ();
  ASSERT_EQ (counts.sent, 2u);
  EXPECT_EQ (counts.last, first);
  EXPECT_EQ (first->retries, 1u);
  answer (FT_LEADER_OUTCOME_DONE);
  EXPECT_EQ (counts.context_value, 42);
  EXPECT_EQ (counts.progressed, 0u);
}

TEST_F (LeaderRequestModule, RetryIsNotSentAfterTheEndOfItsTerm)
{
  answer (FT_LEADER_OUTCOME_RETRY);
  term.number++;
  wait_for_retry ();
  EXPECT_EQ (counts.sent, 1u);
}

// Guards against a retry that uses the leader's modules after these were freed.
TEST_F (LeaderRequestModule, RetryIsNotSentAfterTheEndOfTheController)
{
  answer (FT_LEADER_OUTCOME_RETRY);
  ft_leader_request_drop_retries (&term);
  EXPECT_EQ (counts.cleared, 1u);
  run_past_retry ([] { return false; });
  EXPECT_EQ (counts.sent, 1u);
}

TEST_F (LeaderRequestModule, AnswerThatShowsAnotherLeaderEndsTheTermAndReportsTheHandlersReason)
{
  answer (FT_LEADER_OUTCOME_SUPERSEDED);
  EXPECT_EQ (counts.superseded, "test");
}

} // namespace
