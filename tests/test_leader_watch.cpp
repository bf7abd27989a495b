// The leader's watch of the open jobs' rows, against a stand-in for the key-value store.
#include "leader_module.hpp"

extern "C" {
#include "net/leader_recovery.h"
#include "net/leader_watch.h"
}

using namespace loopback;

namespace {

class LeaderWatch : public LeaderModule {
protected:
  FtLeaderRows *rows = nullptr;
  FtLeaderWatch *watch = nullptr;

  void
  SetUp () override
  {
    LeaderModule::SetUp ();
    rows = ft_leader_rows_new (&term);
    watch = ft_leader_watch_new (&term, rows);
  }
  void
  free_module () override
  {
    ft_leader_watch_free (watch);
    ft_leader_rows_free (rows);
  }
  // Runs the main loop and the watch's timer until the condition holds or that many ticks have passed.
  void
  tick (
      int ticks, std::function<bool ()> condition = [] { return false; })
  {
    for (int i = 0; i < ticks && !condition (); i++) {
      ft_leader_watch_tick (watch, g_get_monotonic_time ());
      run_main_loop_for (0.01);
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
