// Fault interactions in which the store refuses requests, is down, or answers late or not at all while another fault is
// active. A test fails if the checker of the simulated world reports a violation of a rule of the protocol, or if a job
// has not ended by the end of the run.
#include "fault_interaction.hpp"

using namespace sim;

namespace {

class StoreFaults : public FaultInteraction {};

// The store refuses only the leader's requests, and is then down for all controllers.
TEST_P (StoreFaults, StoreRefusesLeaderThenFailsWhileJobsAreCancelled)
{
  Time refusal = 60 * kSecond, outage = refusal + seconds_between (1, 2.5);
  guint answers_before = 0, answers_after = 0;
  world.faults.slow_store_answers = GetParam () % 3 == 0 ? 0.3 : 0;
  day.load_long (10, 3, 150);
  day.refuse_leader (refusal, 14 * kSecond);
  day.cancel_running (refusal + (GetParam () % 2 ? seconds_between (-0.1, 0) : seconds_between (0.1, 0.5)), 5);
  day.outage (outage, cancel + 24 * kSecond);
  if (GetParam () % 2 == 0)
    world.at (refusal + 2 * kSecond, [&] { day.refused_leader->freeze (world.now + seconds_between (3, 9)); });
  world.at (outage, [&] { answers_before = day.refused_leader->heartbeats_answered; });
  world.at (outage + lease, [&] { answers_after = day.refused_leader->heartbeats_answered; });
  day.finish ();
  expect_cancellations_confirmed (refusal, outage);
  EXPECT_GT (answers_after, answers_before) << "the former leader answered no heartbeat";
}

// The store refuses the leader, a new leader acquires the lease, and the store goes down before the new leader has
// loaded its state.
TEST_P (StoreFaults, OutageWhileNewLeaderLoads)
{
  bool loading = false;
  Time refusal = 60 * kSecond, acquired = 0;
  day.load_long (10, 3, 150); // the rows of these jobs fill more than one page
  day.refuse_leader (refusal, 40 * kSecond);
  day.cancel_running (refusal + seconds_between (0.1, 0.6), 5);
  world.on_takeover = [&] (Node &node) {
    if (acquired > 0 || &node == day.refused_leader || world.now < refusal)
      return;
    acquired = world.now;
    world.after (seconds_between (0.01, 0.06), [&, taker = &node] {
      loading = taker->leads () && !ft_scheduler_is_loaded (taker->scheduler ());
      world.store.down = true;
    });
    world.after (cancel + 20 * kSecond, [&] { world.store.down = false; });
  };
  day.finish ();
  expect_cancellations_confirmed (refusal, acquired);
  EXPECT_TRUE (loading) << "the outage did not begin while the new leader was loading";
}

// The store goes down when the new leader has read which jobs are cancelled, but has not read the machine registry. The
// new leader could not stop the cancelled tasks, so it must not answer heartbeats, which would keep them running.
TEST_P (StoreFaults, OutageBetweenLoadingCancellationsAndMachines)
{
  Time refusal = 60 * kSecond, acquired = 0;
  bool between = false, may_answer = false;
  day.load_long (10, 3, 150);
  day.refuse_leader (refusal, 40 * kSecond);
  day.cancel_running (refusal + seconds_between (0.05, 0.2), 5);
  std::function<void (Node *)> await_cancellations = [&] (Node *taker) {
    if (!taker->leads () || ft_scheduler_is_loaded (taker->scheduler ()))
      return;
    between = std::all_of (day.refs.begin (), day.refs.end (), [&] (const std::string &ref) {
      return ft_scheduler_job_progress (taker->scheduler (), ref.c_str ()).open_at_leader;
    });
    if (!between) {
      world.after (kSecond / 1000, [&, taker] { await_cancellations (taker); });
      return;
    }
    begin_long_outage ();
    world.after (kSecond / 2, [&, taker] { may_answer = taker->may_answer (); });
  };
  world.on_takeover = [&] (Node &node) {
    if (acquired > 0 || &node == day.refused_leader || world.now < refusal)
      return;
    acquired = world.now;
    await_cancellations (&node);
  };
  day.finish ();
  expect_cancellations_confirmed (refusal, acquired);
  EXPECT_TRUE (between)
      << "the outage did not begin between the reads of the cancellations and of the machine registry";
  EXPECT_FALSE (may_answer) << "the new leader's answers would keep tasks running that it cannot stop";
}

// The store refuses the new leader between the first and the last page of the rows, and goes down when the last page
// has been read. By then the first page is some seconds old, and jobs on it have been cancelled.
TEST_P (StoreFaults, OutageAfterLoadingPagesOfDifferentAge)
{
  Time acquired = 0, loaded = 0, when = 60 * kSecond;
  day.load_long (10, 3, 150);
  world.at (when, [&] {
    if (day.leader () != nullptr)
      day.leader ()->crash (kSecond / 3); // the controller restarts and claims its own earlier lease
  });
  std::function<void (Node *)> await_rows = [&] (Node *taker) {
    if (!taker->leads ())
      return;
    bool first_page_read = ft_scheduler_job_progress (taker->scheduler (), day.refs[0].c_str ()).open_at_leader;
    if (first_page_read && acquired == 0) {
      acquired = world.now;
      taker->store_refuses_until = acquired + 7 * kSecond;
      day.cancel_running (acquired + kSecond / 10, 4);
    }
    if (!ft_scheduler_is_loaded (taker->scheduler ())) {
      world.after (kSecond / 500, [&, taker] { await_rows (taker); });
      return;
    }
    loaded = world.now;
    begin_long_outage ();
  };
  world.on_takeover = [&] (Node &node) {
    if (acquired > 0 || world.now < when)
      return;
    world.faults.advisories = false;
    await_rows (&node);
  };
  day.finish ();
  ASSERT_GT (acquired, 0);
  EXPECT_GT (loaded, acquired + 6 * kSecond) << "the refusal did not delay the loading";
  expect_cancellations_confirmed (acquired, loaded);
}

// Machines with cancelled tasks hang while the leader cannot reach the store.
TEST_P (StoreFaults, OutageWhileMachinesWithCancelledTasksHang)
{
  Time when = 60 * kSecond, outage = when + seconds_between (0.3, 0.8);
  guint hung = 0;
  day.load_long (10, 3, 150);
  day.cancel_running (when, 3);
  world.at (when, [&] {
    for (const std::string &ref : day.cancelled)
      for (auto &machine : day.machines_of (ref)) {
        machine->hang (world.now + cancel + 20 * kSecond);
        hung++;
      }
  });
  // The leader freezes, so that it notices the missing heartbeats only after its lease has expired.
  world.at (when + kSecond / 2, [&] {
    if (day.leader () != nullptr)
      day.leader ()->freeze (world.now + seconds_between (4, 7));
  });
  day.outage (outage, cancel + 30 * kSecond);
  world.at (outage + 10 * kSecond, [&] {
    ASSERT_NE (day.leader (), nullptr);
    EXPECT_FALSE (day.leader ()->reaches_store ());
  });
  day.finish ();
  expect_cancellations_confirmed (when, outage);
  EXPECT_GT (hung, 0u) << "no cancelled task was on a machine that hung";
}

// Most machines hang while the leader cannot reach the store. So few heartbeats arrive that the leader cannot conclude
// from them whether it is cut off itself, but the cloud still answers its requests.
TEST_P (StoreFaults, OutageWhileMostMachinesHang)
{
  Time when = 60 * kSecond, outage = when + seconds_between (0.3, 0.8);
  guint hung = 0, healthy = 0;
  world.faults.advisories = false; // peers do not advise the leader of the cancellations
  day.load_long (10, 3, 150);
  world.at (when - kSecond, [&] {
    for (auto &node : world.nodes) // the leader last reads the store just before the cancellations
      node->store_refuses_until = node->leads () ? when + 2 * kSecond : 0;
  });
  day.cancel_running (when, 5);
  world.at (when, [&] {
    for (auto &[name, machine] : world.machines) {
      if (!machine->alive || !machine->up)
        continue;
      bool hangs = (hung + healthy) % 5 != 4;
      hung += hangs;
      healthy += !hangs;
      if (hangs)
        machine->hang (world.now + cancel + 20 * kSecond);
    }
  });
  day.outage (outage, cancel + 30 * kSecond);
  day.finish ();
  expect_cancellations_confirmed (when, outage + kSecond / 2);
  EXPECT_GT (hung, healthy) << "the machines that hung were not the majority";
}

// The store refuses the leader, which continues to answer heartbeats for its answer grace period, while a new leader
// cancels jobs.
TEST_P (StoreFaults, FormerLeaderAnswersWorkersWhileNewLeaderCancels)
{
  Time when = 60 * kSecond;
  Node *former = nullptr;
  guint answers_before = 0, answers_after = 0;
  bool two_leaders = false;
  day.load_long (10, 3, 150);
  world.at (when, [&] {
    former = day.leader ();
    ASSERT_NE (former, nullptr);
    former->store_refuses_until = world.now + 60 * kSecond;
    world.faults.advisories = false;
    answers_before = former->heartbeats_answered;
  });
  day.cancel_running (when + seconds_between (1, 6), 3);
  day.cancel_running (when + seconds_between (10, 16), 3);
  for (int i = 0; i < 40; i++)
    world.at (when + i * kSecond, [&] {
      auto leaders
          = std::count_if (world.nodes.begin (), world.nodes.end (), [] (const auto &node) { return node->leads (); });
      two_leaders |= leaders > 1;
    });
  world.at (when + 12 * kSecond, [&] { answers_after = former->heartbeats_answered; });
  day.finish ();
  expect_cancellations_confirmed (when, when + 25 * kSecond);
  EXPECT_GT (answers_after, answers_before) << "the former leader answered no heartbeat after the store refused it";
  EXPECT_TRUE (two_leaders) << "there were never two leaders at the same time";
}

TEST_P (StoreFaults, StoreIsSlowRefusesTheLeaderAndFailsWhileUsersCancelJobs)
{
  day.load ();
  day.load_long (8, 3, 60);
  world.at (20 * kSecond, [&] { world.faults.slow_store_answers = 0.5; });
  world.at (150 * kSecond, [&] { world.faults.slow_store_answers = 0; });
  for (int i = 0; i < 5; i++)
    day.cancel_running (seconds_between (25, 120), 2);
  day.refuse_leader (90 * kSecond, 14 * kSecond);
  day.outage (92 * kSecond, cancel + 5 * kSecond);
  day.finish ();
  expect_cancellations_confirmed (20 * kSecond, 150 * kSecond);
}

// The store applies transactions late, after newer transactions of the same controller.
TEST_P (StoreFaults, TransactionsAppliedLate)
{
  world.at (20 * kSecond, [&] { world.faults.late_writes = 0.15; });
  world.at (150 * kSecond, [&] { world.faults.late_writes = 0; });
  day.load ();
  day.load_long (8, 3, 40);
  for (int i = 0; i < 3; i++)
    day.crash (seconds_between (30, 130), day.any_node ());
  for (int i = 0; i < 3; i++)
    day.cancel_running (seconds_between (30, 130), 2);
  day.finish ();
  EXPECT_GT (world.counters.late_writes_applied, 0u) << "no transaction was applied late";
}

// The store applies transactions without an answer, so other controllers read a write long before its writer learns
// that it is committed.
TEST_P (StoreFaults, TransactionsAppliedWithoutAnAnswer)
{
  world.at (10 * kSecond, [&] { world.faults.lost_answers = 0.25; });
  world.at (150 * kSecond, [&] { world.faults.lost_answers = 0; });
  day.load ();
  day.load_long (8, 3, 40);
  for (const std::string &ref : day.refs)
    for (Time when = 10 * kSecond; when < 150 * kSecond; when += 2 * kSecond)
      world.at (when, [&, ref] { world.poll (ref); });
  for (int i = 0; i < 4; i++) {
    day.crash (seconds_between (30, 130), day.any_node ());
    day.cancel_running (seconds_between (30, 130), 2);
  }
  day.finish ();
  EXPECT_GT (world.counters.answers_lost, 10u) << "too few answers were lost";
}

INSTANTIATE_TEST_SUITE_P (Seeds, StoreFaults, testing::Range<guint32> (1, 1 + kSeeds));

} // namespace
