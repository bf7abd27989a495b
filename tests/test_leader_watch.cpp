// The leader's watch of the open jobs' rows, against a stand-in for the key-value store.
#include "core_state.hpp"
#include "store_stand_in.hpp"

extern "C" {
#include "core/lease.h"
#include "core/scheduler.h"
#include "net/leader_recovery.h"
#include "net/leader_watch.h"
#include "net/malformed.h"
#include "net/metrics.h"
}

using namespace loopback;

namespace {

class LeaderWatch : public testing::Test {
protected:
  CoreState core;
  FtNode node{};
  FtLeaderTerm term{};
  StoreStandIn stand_in;
  FtLeaderRows *rows = nullptr;
  FtLeaderWatch *watch = nullptr;

  void
  SetUp () override
  {
    gint64 now = g_get_monotonic_time ();
    stand_in.make_client (StoreStandIn::kManyRequests);
    node.config = &stand_in.config;
    node.store = stand_in.client;
    node.random = g_rand_new_with_seed (1);
    node.metrics = ft_metrics_new ();
    node.malformed = ft_malformed_log_new ("hearth-0", node.metrics);
    node.lease = ft_lease_new ("hearth-0", 1, 8 * FT_SECOND, 2 * FT_SECOND, 18 * FT_SECOND, 1);
    term.node = &node;
    term.number = 1;
    term.scheduler = ft_scheduler_new (&core.settings, core.context.catalog, 7, 18 * FT_SECOND, now, 1);
    term.progress = [] (gpointer) {};
    ft_scheduler_loaded (term.scheduler, now);
    rows = ft_leader_rows_new (&term);
    watch = ft_leader_watch_new (&term, rows);
  }
  void
  TearDown () override
  {
    for (FtHttpRequest *request : stand_in.unanswered)
      ft_http_unavailable (request);
    stand_in.unanswered.clear ();
    end_term ();
    wait_for ([&] { return ft_store_client_in_flight (node.store) == 0; });
    stand_in.free_client ();
    ft_leader_watch_free (watch);
    ft_leader_rows_free (rows);
    ft_lease_free (node.lease);
    ft_malformed_log_free (node.malformed);
    ft_metrics_free (node.metrics);
    g_rand_free (node.random);
  }
  void
  end_term ()
  {
    term.number++;
    ft_leader_watch_end (watch);
    g_clear_pointer (&term.scheduler, ft_scheduler_free);
  }
  // Runs the main loop and the watch's timer until the condition holds or that many ticks have passed.
  void
  tick (
      int ticks, std::function<bool ()> condition = [] { return false; })
  {
    for (int i = 0; i < ticks && !condition (); i++) {
      ft_leader_watch_tick (watch, g_get_monotonic_time ());
      gint64 end = g_get_monotonic_time () + 10 * FT_MILLISECOND;
      wait_for ([&] { return g_get_monotonic_time () > end; });
    }
  }
};

// Guards against a watch that starts to read all rows again at each tick, as long as the store no longer has the
// changes and the first of these reads is not answered.
TEST_F (LeaderWatch, RowsAreReadAgainOnceWhenTheStoreNoLongerHasTheChanges)
{
  stand_in.watches_are_compacted = true;
  stand_in.answer = StoreStandIn::Answer::kNone;
  tick (50);
  EXPECT_EQ (stand_in.lists, 1u);
}

TEST_F (LeaderWatch, WatchResumesAfterTheRowsWereReadAgain)
{
  stand_in.watches_are_compacted = true;
  stand_in.answer = StoreStandIn::Answer::kNone;
  tick (50, [&] { return stand_in.lists > 0; });
  ft_leader_watch_resume (watch); // the end of the recovery
  guint requests = stand_in.requests;
  tick (50, [&] { return stand_in.requests > requests; });
  EXPECT_GT (stand_in.requests, requests);
}

} // namespace
