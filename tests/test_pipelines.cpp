// Seeded random runs with pipelines, and with upgrades under changed limits of the store.
#include "day.hpp"

using namespace sim;

namespace {

constexpr int kSeedsPerGroup = 4;

class PipelineRun : public testing::TestWithParam<guint32> {
protected:
  // Jobs that are cancelled although their own users did not ask for it.
  static guint
  cancelled_with_dependency (const Day &day)
  {
    guint count = 0;
    for (const auto &[ref, job] : day.world.checker->jobs ())
      count += !job.cancellation_requested && job.final_state == "cancelled";
    return count;
  }
};

TEST_P (PipelineRun, QuietDay)
{
  Day day (GetParam () + 5000);
  day.load ();
  day.load_pipelines (10, 0.3);
  day.finish ();
  EXPECT_GT (cancelled_with_dependency (day), 0u) << "no cancelled job had dependents";
}

// The leader alone cancels what comes after a cancelled job.
TEST_P (PipelineRun, TheLeaderCancelsWhatComesAfter)
{
  Day day (GetParam () + 5100);
  day.world.faults.polls_cancel_dependents = false;
  day.load ();
  day.load_pipelines (10, 0.6);
  for (int i = 0; i < 4; i++)
    day.crash (day.world.seconds_between (10, 150), day.any_node ());
  day.finish ();
  EXPECT_GT (cancelled_with_dependency (day), 0u);
}

// New leaders in the middle of pipelines: what is done is read from its row, never concluded.
TEST_P (PipelineRun, ControllersCrash)
{
  Day day (GetParam () + 5200);
  day.world.faults.lost_answers = 0.02;
  day.world.faults.late_writes = 0.02;
  day.load ();
  day.load_pipelines (12, 0.3);
  for (int i = 0; i < 8; i++)
    day.crash (day.world.seconds_between (10, 150), day.any_node ());
  for (int i = 0; i < 3; i++)
    day.crash (100 * kSecond, i);
  day.finish ();
  EXPECT_GT (day.world.counters.dependency_ends_read, 0u) << "no new leader met a job whose dependency had ended";
}

// Nobody leads for longer than cancel_s after users have cancelled jobs: polls find out.
TEST_P (PipelineRun, NobodyLeadsWhileJobsAreCancelled)
{
  Day day (GetParam () + 5300);
  day.load ();
  day.load_pipelines (12, 0, 40, 58);
  Time from = 60 * kSecond;
  day.world.at (from, [&] {
    // All controllers serve users, none can acquire the lease.
    for (auto &node : day.world.nodes)
      node->claims_fail_until = from + 60 * kSecond;
    if (Node *leader = day.leader ())
      leader->crash (kSecond);
  });
  day.world.at (from + 2 * kSecond, [&] {
    guint cancelled = 0;
    for (const auto &[ref, job] : day.world.checker->jobs ())
      if (cancelled < 6 && ref.rfind ("req-8", 0) == 0 && job.accepted && job.final_state.empty () && job.tasks > 2) {
        day.world.after (day.world.seconds_between (0, 2), [&day, ref = ref] { day.world.cancel (ref); });
        cancelled++;
      }
  });
  day.finish ();
  EXPECT_GT (day.world.counters.cancelled_by_poll, 0u);
}

TEST_P (PipelineRun, EverythingAtOnce)
{
  Day day (GetParam () + 5400);
  day.world.faults.message_loss = 0.02;
  day.world.faults.message_delay = 0.02;
  day.world.faults.duplicates = 0.05;
  day.load ();
  day.load_pipelines (12, 0.4);
  day.all_faults ();
  day.finish ();
}

// Large rows of the previous version are read and split under the new limits; nothing is refused for its size.
TEST_P (PipelineRun, UpgradeAndNewLimits)
{
  Day day (GetParam () + 5500, 4);
  day.world.settings.value_kb = 2;
  day.world.settings.txn_ops = 4;
  day.world.settings.store_write_rps = 28;
  day.rolling_upgrade (50 * kSecond, 12 * kSecond, 95 * kSecond);
  day.load ();
  day.load_long (12, 20, 30);
  day.load_pipelines (10, 0.3, 85, 140);
  day.crash (110 * kSecond, day.any_node ());
  for (int i = 0; i < 4; i++)
    day.machine_fault (day.world.seconds_between (60, 140));
  day.outage (130 * kSecond, 10 * kSecond);
  day.finish ();
  EXPECT_EQ (day.world.store.too_large, 0u);
  EXPECT_GT (day.world.cloud.launched, 16u) << "one row of the previous version holds them all";
}

INSTANTIATE_TEST_SUITE_P (Seeds, PipelineRun, testing::Range<guint32> (1, 1 + kSeedsPerGroup));

} // namespace
