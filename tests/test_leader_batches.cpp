// The leader's write batches, against a stand-in for the key-value store.
#include "leader_module.hpp"

extern "C" {
#include "net/leader_batches.h"
}

using namespace loopback;

namespace {

class LeaderBatches : public LeaderModule {
protected:
  // Seconds for which a test lets the leader write.
  static constexpr double kRunS = 1;
  // The most batches that may be sent in that time: one at once, and one after each shortest pause.
  static constexpr guint kBatchesMax = 1 + (guint) (kRunS / (FT_BACKOFF_FIRST_S * FT_BACKOFF_JITTER_LEAST));
  FtLeaderBatches *batches = nullptr;

  void
  SetUp () override
  {
    LeaderModule::SetUp ();
    batches = ft_leader_batches_new (&term);
    ft_leader_batches_begin (batches, 5);
    term.progress_data = this;
    term.progress = [] (gpointer data) { ((LeaderBatches *) data)->commit (); };
  }
  void
  free_module () override
  {
    ft_leader_batches_free (batches);
    json_decref (stand_in.journal);
  }
  void
  commit ()
  {
    ft_leader_batches_commit (batches, g_get_monotonic_time ());
  }
  // Makes a machine report, whose row in the registry is to be written then.
  void
  machine_reports ()
  {
    g_autoptr (FtWorkerHeartbeat) heartbeat = ft_worker_heartbeat_new ();
    heartbeat->machine = g_strdup ("n-1");
    heartbeat->addr = g_strdup ("10.1.0.1:9000");
    heartbeat->type = g_strdup ("std");
    heartbeat->zone = g_strdup ("a");
    heartbeat->incarnation = heartbeat->sequence = 1;
    heartbeat->token = 7;
    ASSERT_TRUE (ft_scheduler_heartbeat (term.scheduler, heartbeat, g_get_monotonic_time ()));
  }
  // Writes for kRunS, as the timer of the leader does.
  void
  write_for_a_while ()
  {
    machine_reports ();
    for (int i = 0; i < 100; i++) {
      commit ();
      run_main_loop_for (kRunS / 100);
    }
  }
};

// Guards against a batch that is sent again at once, and again, when the store refuses it without naming a row.
TEST_F (LeaderBatches, BatchIsRepeatedAfterAPauseWhenTheConflictNamesNoRow)
{
  stand_in.answer = StoreStandIn::Answer::kConflict;
  write_for_a_while ();
  EXPECT_GE (stand_in.commits, 2u) << "the batch is repeated";
  EXPECT_LE (stand_in.commits, kBatchesMax);
}

// Guards against the same when the store answers with a status that the protocol does not define, and the journal row
// shows that the batch was not applied.
TEST_F (LeaderBatches, BatchIsRepeatedAfterAPauseWhenTheStatusIsNotDefined)
{
  stand_in.answer = StoreStandIn::Answer::kInvalidStatus;
  stand_in.journal
      = json_pack ("{s:s, s:{s:i, s:i}, s:i}", "key", "l/journal", "data", "token", 0, "batch", 0, "stamp", 6);
  write_for_a_while ();
  EXPECT_GE (stand_in.commits, 2u) << "the batch is repeated";
  EXPECT_LE (stand_in.commits, kBatchesMax);
}

} // namespace
