// Troubles that meet. Each test brings one meeting about in the stand-in world,
// asserts that it happened, and leaves the verdict to the checker. What is drawn
// varies with the seed: half of the days are without hints between controllers,
// since no rule may rest on them, and half have clocks at the limits of their drift.
#include "day.hpp"

using namespace sim;

namespace {

constexpr guint32 kSeeds = 4;

class Meeting : public testing::TestWithParam<guint32> {
protected:
  Day day{ GetParam () * 7919 };
  World &world = day.world;
  const Time cancel = (Time) (world.settings.cancel_s * kSecond), lease = (Time) (world.settings.lease_s * kSecond);
  void
  SetUp () override
  {
    world.faults.advisories = GetParam () % 2 == 0;
    world.faults.extreme_clocks = GetParam () % 4 < 2;
  }
  Time
  about (double from, double to)
  {
    return (Time) (world.uniform (from, to) * kSecond);
  }
  // Whatever happens, no task of a cancelled job is left: the checker's rule, and
  // this much is known to have been put to the test.
  void
  expect_confirmed (Time from, Time to)
  {
    EXPECT_GT (day.confirmed_between (from, to), 0u) << "no cancellation was confirmed in the gap";
  }
};

// The meeting that comes before all others.
TEST_P (Meeting, RefusedAloneThenOutageWhileJobsAreCancelled)
{
  Time refusal = 60 * kSecond, outage = refusal + about (1, 2.5), long_gone = cancel + 24 * kSecond;
  guint answers = 0, later = 0;
  world.faults.slow_store_answers = GetParam () % 3 == 0 ? 0.3 : 0;
  day.load_long (10, 3, 150);
  day.refuse_leader (refusal, 14 * kSecond);
  day.cancel_running (refusal + (GetParam () % 2 ? about (-0.1, 0) : about (0.1, 0.5)), 5);
  day.outage (outage, long_gone);
  if (GetParam () % 2 == 0)
    world.at (refusal + 2 * kSecond, [&] { day.refused_leader->freeze (world.now + about (3, 9)); });
  world.at (outage, [&] { answers = day.refused_leader->heartbeats_answered; });
  world.at (outage + lease, [&] { later = day.refused_leader->heartbeats_answered; });
  day.finish ();
  expect_confirmed (refusal, outage);
  EXPECT_GT (later, answers) << "the old leader answered no worker";
}

// The same with a new leader that claims, and is cut off before it has read its rows.
TEST_P (Meeting, OutageWhileANewLeaderReadsItsRows)
{
  bool reading = false;
  Time refusal = 60 * kSecond, claimed = 0;
  day.load_long (10, 3, 150); // their rows are more than a page
  day.refuse_leader (refusal, 40 * kSecond);
  day.cancel_running (refusal + about (0.1, 0.6), 5);
  world.on_takeover = [&] (Node &node) {
    if (claimed > 0 || &node == day.refused_leader || world.now < refusal)
      return;
    claimed = world.now;
    world.after (about (0.01, 0.06), [&, taker = &node] {
      reading = taker->leads () && !ft_scheduler_is_loaded (taker->scheduler ());
      world.store.down = true;
    });
    world.after (cancel + 20 * kSecond, [&] { world.store.down = false; });
  };
  day.finish ();
  expect_confirmed (refusal, claimed);
  EXPECT_TRUE (reading) << "the outage did not fall into the reading";
}

// It has read which jobs are cancelled, and not yet the registry: it knows of the tasks, and
// could stop none.
TEST_P (Meeting, OutageBetweenTheWithdrawalsAndTheRosterOfANewLeader)
{
  Time refusal = 60 * kSecond, claimed = 0;
  bool between = false, entitled = false;
  day.load_long (10, 3, 150);
  day.refuse_leader (refusal, 40 * kSecond);
  day.cancel_running (refusal + about (0.05, 0.2), 5);
  std::function<void (Node *)> await_withdrawals = [&] (Node *taker) {
    if (!taker->leads () || ft_scheduler_is_loaded (taker->scheduler ()))
      return;
    between = std::all_of (day.refs.begin (), day.refs.end (), [&] (const std::string &ref) {
      return ft_scheduler_view (taker->scheduler (), ref.c_str ()).known;
    });
    if (!between) {
      world.after (kSecond / 1000, [&, taker] { await_withdrawals (taker); });
      return;
    }
    world.store.down = true;
    world.after (kSecond / 2, [&, taker] { entitled = taker->may_answer (); });
    world.after (cancel + 20 * kSecond, [&] { world.store.down = false; });
  };
  world.on_takeover = [&] (Node &node) {
    if (claimed > 0 || &node == day.refused_leader || world.now < refusal)
      return;
    claimed = world.now;
    await_withdrawals (&node);
  };
  day.finish ();
  expect_confirmed (refusal, claimed);
  EXPECT_TRUE (between) << "the outage did not fall between the two";
  EXPECT_FALSE (entitled) << "it keeps alive what it cannot stop";
}

// Its pages differ in age: it is refused between them, and the outage begins when it
// has just read the last.
TEST_P (Meeting, OutageRightAfterRowsWereReadInPagesOfDifferentAge)
{
  Time claimed = 0, read = 0, when = 60 * kSecond;
  day.load_long (10, 3, 150);
  world.at (when, [&] {
    if (day.leader () != nullptr)
      day.leader ()->crash (kSecond / 3); // it takes over from its former self
  });
  std::function<void (Node *)> await_rows = [&] (Node *taker) {
    if (!taker->leads ())
      return;
    bool first = ft_scheduler_view (taker->scheduler (), day.refs[0].c_str ()).known;
    if (first && claimed == 0) {
      claimed = world.now;
      taker->store_refuses_until = claimed + 7 * kSecond;
      day.cancel_running (claimed + kSecond / 10, 4);
    }
    if (!ft_scheduler_is_loaded (taker->scheduler ())) {
      world.after (kSecond / 500, [&, taker] { await_rows (taker); });
      return;
    }
    read = world.now;
    world.store.down = true;
    world.after (cancel + 20 * kSecond, [&] { world.store.down = false; });
  };
  world.on_takeover = [&] (Node &node) {
    if (claimed > 0 || world.now < when)
      return;
    world.faults.advisories = false;
    await_rows (&node);
  };
  day.finish ();
  ASSERT_GT (claimed, 0);
  EXPECT_GT (read, claimed + 6 * kSecond) << "the refusal did not fall into the reading";
  expect_confirmed (claimed, read);
}

// Cancelled tasks on machines that hang, and the leader has lost the store.
TEST_P (Meeting, CancelledTasksHangWhileTheStoreIsOut)
{
  Time when = 60 * kSecond, outage = when + about (0.3, 0.8);
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
  // It stands still, so that it finds them silent only when its lease is over.
  world.at (when + kSecond / 2, [&] {
    if (day.leader () != nullptr)
      day.leader ()->freeze (world.now + about (4, 7));
  });
  day.outage (outage, cancel + 30 * kSecond);
  world.at (outage + 10 * kSecond, [&] {
    ASSERT_NE (day.leader (), nullptr);
    EXPECT_FALSE (day.leader ()->reaches_store ());
  });
  day.finish ();
  expect_confirmed (when, outage);
  EXPECT_GT (hung, 0u) << "no cancelled task was on a machine that hung";
}

// The same, and most machines hang: the leader hears few, and cannot tell by that whether it is
// cut off itself, but the cloud still answers it.
TEST_P (Meeting, MostMachinesHangWithCancelledTasksWhileTheStoreIsOut)
{
  Time when = 60 * kSecond, outage = when + about (0.3, 0.8);
  guint hung = 0, well = 0;
  world.faults.advisories = false; // the leader learns of no cancellation
  day.load_long (10, 3, 150);
  world.at (when - kSecond, [&] {
    for (auto &node : world.nodes) // it last looked a moment before, and does not see them
      node->store_refuses_until = node->leads () ? when + 2 * kSecond : 0;
  });
  day.cancel_running (when, 5);
  world.at (when, [&] {
    for (auto &[name, machine] : world.machines) {
      if (!machine->alive || !machine->up)
        continue;
      bool hangs = (hung + well) % 5 != 4;
      hung += hangs;
      well += !hangs;
      if (hangs)
        machine->hang (world.now + cancel + 20 * kSecond);
    }
  });
  day.outage (outage, cancel + 30 * kSecond);
  day.finish ();
  expect_confirmed (when, outage + kSecond / 2);
  EXPECT_GT (hung, well) << "most machines must be silent";
}

// They hang, the leader ends, and many other machines can't be asked either: the
// bound on terminations for silence must not keep a cancelled task past its time.
TEST_P (Meeting, CancelledTasksHangAcrossATakeoverAmongManyUnreachable)
{
  Time when = 60 * kSecond;
  guint hung = 0;
  day.load_long (12, 3, 90);
  world.at (when, [&] {
    for (auto &[name, machine] : world.machines)
      if (machine->alive && machine->up && (hung < 4 || world.chance (0.8))) {
        machine->hang (world.now + cancel + about (15, 30));
        hung++;
      }
  });
  day.cancel_running (when + kSecond, 6);
  world.at (when + 2 * kSecond, [&] {
    Node *leader = day.leader ();
    if (leader != nullptr)
      leader->crash (60 * kSecond);
  });
  day.finish ();
  expect_confirmed (when, when + 5 * kSecond);
  EXPECT_GT (hung, 3u);
}

TEST_P (Meeting, ReportsAreHeldUntilANewLeaderHasActed)
{
  day.load_long (8, 3, 60);
  day.load ();
  for (int i = 0; i < 4; i++) {
    Time when = (50 + 20 * i) * kSecond;
    world.at (when, [&] {
      Node *leader = day.leader ();
      for (auto &[name, machine] : world.machines)
        for (auto &node : world.nodes)
          if (world.chance (0.7))
            world.cut (node->name (), name, world.now + about (4, 12));
      if (leader != nullptr)
        leader->crash (about (0.2, 3));
    });
  }
  day.finish ();
  EXPECT_GT (world.counters.heartbeats_after_takeover, 0u) << "no report was held across a takeover";
}

TEST_P (Meeting, AllControllersAreAwayForLongerThanALease)
{
  guint before = 0, after = 0;
  day.load_long (10, 3, 120);
  day.cancel_running (59 * kSecond, 3);
  world.at (60 * kSecond, [&] {
    before = world.checker->starts ();
    for (int i = 0; i < 3; i++)
      world.nodes[i]->crash (lease + about (2, 8));
  });
  // One returns, ends, and is back within a second.
  for (int i = 0; i < 3; i++)
    day.restart_quickly (60 * kSecond + lease + 8 * kSecond, i);
  world.at (60 * kSecond + lease, [&] { after = world.checker->starts (); });
  day.finish ();
  expect_confirmed (59 * kSecond, 62 * kSecond);
  EXPECT_LE (after, before + 30) << "nobody started work meanwhile";
  EXPECT_GT (world.checker->starts (), after) << "work was taken up again";
}

TEST_P (Meeting, LeaderKeepsWorkersAndUsersWhileTheNewOneTakesCancellations)
{
  Time when = 60 * kSecond;
  Node *former = nullptr;
  guint answers = 0, later = 0;
  bool two = false;
  day.load_long (10, 3, 150);
  world.at (when, [&] {
    former = day.leader ();
    ASSERT_NE (former, nullptr);
    former->store_refuses_until = world.now + 60 * kSecond; // of the store; sim controllers need no peers
    world.faults.advisories = false;
    answers = former->heartbeats_answered;
  });
  day.cancel_running (when + about (1, 6), 3);
  day.cancel_running (when + about (10, 16), 3);
  for (int i = 0; i < 40; i++)
    world.at (when + i * kSecond, [&] {
      int n = 0;
      for (auto &node : world.nodes)
        n += node->leads ();
      two |= n > 1;
    });
  world.at (when + 12 * kSecond, [&] { later = former->heartbeats_answered; });
  day.finish ();
  expect_confirmed (when, when + 25 * kSecond);
  EXPECT_GT (later, answers) << "workers went on reporting to the former leader";
  EXPECT_TRUE (two) << "there was never a new leader beside the former one";
}

TEST_P (Meeting, ZoneBoundJobsLoseMachines)
{
  guint lost = 0, bound = 0;
  day.load_long (5, 6, 40, true, false);
  day.load_long (5, 7, 40, false, true);
  for (Time when : { 30 * kSecond, 45 * kSecond, 70 * kSecond })
    world.at (when, [&] {
      for (const std::string &ref : day.refs)
        for (auto &machine : day.machines_of (ref)) {
          bound++;
          if (!machine->alive || world.chance (0.6))
            continue;
          if (world.chance (0.5))
            machine->die ();
          else
            machine->hang (world.now + about (10, 40));
          lost++;
        }
    });
  day.crash (46 * kSecond, world.below (3));
  day.cut_zone (75 * kSecond, 25 * kSecond, "a", world.below (3));
  day.finish ();
  EXPECT_GT (bound, 0u);
  EXPECT_GT (lost, 0u) << "no machine of a zone-bound job was lost";
}

TEST_P (Meeting, OldReportsArriveAfterNewerSessionsAndAttempts)
{
  guint reboots = 0;
  world.faults.duplicates = 0.4;
  day.load ();
  day.load_long (6, 3, 30);
  for (int i = 0; i < 8; i++) {
    Time when = about (20, 140);
    world.at (when, [&] {
      if (world.machines.empty ())
        return;
      auto machine = day.any_machine ();
      if (!machine->alive || !machine->up)
        return;
      machine->reboot ();
      reboots++;
    });
    if (i % 3 == 0)
      day.crash (when + about (0, 3), world.below (3));
  }
  day.finish ();
  EXPECT_GT (reboots, 0u);
}

// With no other trouble.
TEST_P (Meeting, TheEndOfTheLastTaskMeetsCancellationsPollsAndRepeats)
{
  guint ends = 0;
  world.faults.message_loss = world.faults.message_delay = world.faults.wrong_suspicions = 0;
  day.load_long (10, 2, 20);
  world.checker->on_last_task_completed = [&] (const std::string &ref) {
    ends++;
    for (int i = 0; i < 6; i++) {
      world.after (about (0, 4), [&, ref] { world.poll (ref); });
      if (i < 2 && ends % 2 == 0)
        world.after (about (0, 2.5), [&, ref] { world.cancel (ref); });
    }
  };
  day.finish ();
  guint done = 0, called_off = 0;
  for (const auto &[ref, job] : world.checker->jobs ()) {
    done += job.cancellation_requested && job.final_state == "done";
    called_off += job.cancellation_requested && job.final_state == "cancelled";
  }
  EXPECT_GT (ends, 4u);
  EXPECT_GT (done + called_off, 0u) << "no cancellation met an end";
}

TEST_P (Meeting, CommandsAreHeldForSecondsAndTheMachineGoesOn)
{
  world.faults.late_direct_commands = 0.3;
  day.load ();
  day.load_long (8, 3, 40);
  for (int i = 0; i < 6; i++) {
    day.machine_fault (about (20, 120));
    day.reboot (about (20, 120));
  }
  for (int i = 0; i < 4; i++)
    day.cancel_running (about (20, 120), 2);
  day.crash (70 * kSecond, world.below (3));
  day.finish ();
  EXPECT_GT (world.counters.late_commands_executed, 0u) << "no command was executed late";
}

TEST_P (Meeting, ControllersHandOverAndBack)
{
  day.load ();
  day.load_long (8, 3, 60);
  for (int i = 0; i < 12; i++)
    world.at ((30 + 9 * i) * kSecond, [&] {
      Node *leader = day.leader ();
      if (leader != nullptr)
        leader->crash (world.chance (0.5) ? about (0.05, 0.9) : about (3, 6));
    });
  day.cancel_running (65 * kSecond, 2);
  day.cancel_running (100 * kSecond, 2);
  day.finish ();
  EXPECT_GE (world.counters.takeovers, 6u);
}

TEST_P (Meeting, TransactionsAreAppliedLate)
{
  world.at (20 * kSecond, [&] { world.faults.late_writes = 0.15; });
  world.at (150 * kSecond, [&] { world.faults.late_writes = 0; });
  day.load ();
  day.load_long (8, 3, 40);
  for (int i = 0; i < 3; i++)
    day.crash (about (30, 130), world.below (3));
  for (int i = 0; i < 3; i++)
    day.cancel_running (about (30, 130), 2);
  day.finish ();
  EXPECT_GT (world.counters.late_writes_applied, 0u) << "no transaction was applied late";
}

TEST_P (Meeting, ALeaderEndsWhileMachinesCannotBeReachedOrDoNotHear)
{
  guint unreached = 0;
  day.load_long (8, 4, 90);
  world.at (60 * kSecond, [&] {
    for (auto &[name, machine] : world.machines) {
      if (!machine->alive || !machine->up || (unreached > 1 && world.chance (0.4)))
        continue;
      unreached++;
      if (world.chance (0.5))
        machine->stop_receiving (world.now + about (20, 60));
      else
        for (auto &node : world.nodes)
          world.cut (node->name (), name, world.now + about (20, 60));
    }
  });
  day.cancel_running (61 * kSecond, 3);
  world.at (62 * kSecond, [&] {
    if (day.leader () != nullptr)
      day.leader ()->crash (about (0.3, 20));
  });
  day.finish ();
  EXPECT_GT (unreached, 0u);
  expect_confirmed (60 * kSecond, 66 * kSecond);
}

TEST_P (Meeting, TheStateServiceAnswersSlowlyWhileUsersCancel)
{
  day.load ();
  day.load_long (8, 3, 60);
  world.at (20 * kSecond, [&] { world.faults.slow_store_answers = 0.5; });
  world.at (150 * kSecond, [&] { world.faults.slow_store_answers = 0; });
  for (int i = 0; i < 5; i++)
    day.cancel_running (about (25, 120), 2);
  day.refuse_leader (90 * kSecond, 14 * kSecond);
  day.outage (92 * kSecond, cancel + 5 * kSecond);
  day.finish ();
  expect_confirmed (20 * kSecond, 150 * kSecond);
}

TEST_P (Meeting, AZoneWithItsControllerIsCutOffForLongerThanALease)
{
  int inside = world.below (3);
  guint answers = 0, later = 0;
  day.load_long (10, 4, 120);
  day.cut_zone (60 * kSecond, lease + 20 * kSecond, "a", inside);
  day.cancel_running (61 * kSecond, 3);
  world.at (60 * kSecond, [&] {
    for (auto &node : world.nodes)
      answers += node->heartbeats_answered;
  });
  world.at (60 * kSecond + lease, [&] {
    for (auto &node : world.nodes)
      later += node->heartbeats_answered;
  });
  day.finish ();
  expect_confirmed (60 * kSecond, 100 * kSecond);
  EXPECT_GT (later, answers);
}

// Three times the work that the machines have room for; messages are slow.
TEST_P (Meeting, MoreWorkThanRoomOverSlowLinks)
{
  world.cloud.capacity = 4;
  world.faults.message_delay = 0.1;
  world.faults.message_loss = 0.03;
  day.load_long (14, 6, 25);
  day.load ();
  for (int i = 0; i < 6; i++)
    day.cancel_running (about (20, 120), 2);
  world.at (150 * kSecond, [&] {
    world.faults.message_delay = 0.002;
    world.faults.message_loss = 0.002;
    world.cloud.capacity = 14;
  });
  day.finish ();
  expect_confirmed (20 * kSecond, 150 * kSecond);
}

TEST_P (Meeting, TenLeadersInTwoMinutesAlsoInsideAnOutage)
{
  day.load_long (10, 3, 100);
  day.load ();
  for (int i = 0; i < 14; i++)
    world.at ((30 + 9 * i) * kSecond, [&] {
      if (day.leader () != nullptr)
        day.leader ()->crash (about (0.05, 2));
    });
  day.outage (90 * kSecond, 8 * kSecond);
  for (int i = 0; i < 5; i++)
    day.cancel_running (about (40, 140), 2);
  guint before = 0, within = 0;
  world.at (30 * kSecond, [&] { before = world.counters.takeovers; });
  world.at (160 * kSecond, [&] { within = world.counters.takeovers - before; });
  day.finish ();
  EXPECT_GE (within, 10u);
  expect_confirmed (40 * kSecond, 145 * kSecond);
}

TEST_P (Meeting, ATeamAtItsLimitChangesLeadersAmongMachinesThatCannotBeAsked)
{
  Time when = 60 * kSecond;
  guint full = 0;
  day.load_long (16, 4, 60); // 128 CPUs for limits of 48 and 32
  world.at (when, [&] {
    for (const auto &[ref, job] : world.checker->jobs ())
      full += world.checker->live (ref) * (guint) job.cpus;
    for (auto &[name, machine] : world.machines)
      if (machine->alive && machine->up && world.chance (0.5))
        for (auto &node : world.nodes)
          world.cut (node->name (), name, world.now + about (10, 40));
    if (day.leader () != nullptr)
      day.leader ()->crash (about (0.3, 8));
  });
  day.cancel_running (when + about (0.5, 8), 4);
  day.finish ();
  EXPECT_GE (full, 60u) << "the teams were not at their limits";
  expect_confirmed (when, when + 20 * kSecond);
}

// They could be given work directly for ever, and each time their leases run out.
TEST_P (Meeting, MachinesReachNoControllerWhileCommandsReachThem)
{
  guint not_reporting = 0;
  day.load_long (40, 3, 45);
  world.at (40 * kSecond, [&] {
    for (auto &[name, machine] : world.machines)
      if (machine->alive && machine->up && (not_reporting == 0 || world.chance (0.5))) {
        machine->stop_reporting (world.now + 300 * kSecond);
        not_reporting++;
      }
  });
  day.cancel_running (45 * kSecond, 3);
  if (GetParam () % 2)
    day.crash (50 * kSecond, world.below (3));
  day.finish ();
  EXPECT_GT (not_reporting, 0u);
  EXPECT_EQ (world.counters.starts_while_not_reporting, 0u) << "work went on to machines that nobody hears";
}

TEST_P (Meeting, JobsOfTwoOrThreeTasksEndFarApartAcrossTakeovers)
{
  guint apart = 0;
  for (int i = 0; i < 12; i++) {
    std::string ref = "req-8" + std::to_string (i);
    day.refs.push_back (ref);
    guint tasks = 2 + (guint) i % 2;
    world.at (about (1, 60), [&, ref, tasks] { world.submit (ref, tasks, 1, 60, "red", false, false, true); });
    for (Time t = 20 * kSecond; t < day.length; t += 5 * kSecond)
      world.at (t, [&, ref] { world.poll (ref); });
  }
  for (int i = 0; i < 6; i++)
    world.at ((40 + 15 * i) * kSecond, [&] {
      for (const auto &[ref, job] : world.checker->jobs ())
        apart += !job.done.empty () && job.done.size () < job.tasks;
      if (day.leader () != nullptr)
        day.leader ()->crash (about (0.1, 5));
    });
  day.finish ();
  EXPECT_GT (apart, 0u) << "no job was half done at a takeover";
}

// With no trouble at all a start may still be under way when its job is called off.
TEST_P (Meeting, OddRequestsAreRefusedAndCancelledJobsAreNotStarted)
{
  world.faults.message_loss = world.faults.message_delay = world.faults.wrong_suspicions = 0;
  world.faults.advisories = true;
  day.load ();
  guint accepted = 0;
  for (int i = 0; i < 60; i++)
    world.at (about (1, 140), [&, i] { accepted += world.submit_invalid ("req-odd" + std::to_string (i)); });
  for (int i = 0; i < 6; i++)
    world.at (about (30, 140), [&] {
      for (const auto &[ref, job] : world.checker->jobs ())
        if (job.final_state == "done") { // called off too late: it stays done
          world.cancel (ref);
          return;
        }
    });
  day.finish ();
  EXPECT_EQ (accepted, 0u) << "odd requests were accepted";
  for (const auto &[ref, job] : world.checker->jobs ())
    EXPECT_LE (job.latest_start_after_cancellation, 2 * kSecond) << ref;
}

// Other nodes read what was written long before its writer learns of it.
TEST_P (Meeting, TransactionsAreCarriedOutAndOnlyTheirAnswersAreLost)
{
  world.at (10 * kSecond, [&] { world.faults.lost_answers = 0.25; });
  world.at (150 * kSecond, [&] { world.faults.lost_answers = 0; });
  day.load ();
  day.load_long (8, 3, 40);
  for (const std::string &ref : day.refs)
    for (Time t = 10 * kSecond; t < 150 * kSecond; t += 2 * kSecond)
      world.at (t, [&, ref] { world.poll (ref); });
  for (int i = 0; i < 4; i++) {
    day.crash (about (30, 130), world.below (3));
    day.cancel_running (about (30, 130), 2);
  }
  day.finish ();
  EXPECT_GT (world.counters.answers_lost, 10u) << "no answer was lost";
}

TEST_P (Meeting, AnOldReportReachesEveryControllerJustAsANewLeaderBegins)
{
  world.faults.replay_heartbeats = true;
  day.load ();
  day.load_long (8, 3, 40);
  for (int i = 0; i < 6; i++) {
    Time when = (30 + 18 * i) * kSecond;
    world.at (when, [&] {
      if (day.leader () != nullptr)
        day.leader ()->crash (about (0.1, 6));
    });
    day.cancel_running (when + about (-1, 1), 1);
    day.reboot (when + about (-3, 0)); // its kept report is of an earlier incarnation
  }
  day.finish ();
  EXPECT_GT (world.counters.replayed_heartbeats, 0u) << "no kept report reached a leader";
}

TEST_P (Meeting, CommandsOfADeposedLeaderArriveAfterTheNewOnes)
{
  world.faults.late_direct_commands = 0.5;
  day.load_long (10, 3, 40);
  day.load ();
  for (int i = 0; i < 8; i++) {
    Time when = (25 + 14 * i) * kSecond;
    world.at (when, [&] {
      Node *leader = day.leader ();
      if (leader == nullptr)
        return;
      if (world.chance (0.5))
        leader->crash (about (0.1, 4));
      else
        leader->store_refuses_until = world.now + about (8, 20);
    });
    day.cancel_running (when + about (0, 3), 1);
  }
  day.finish ();
  EXPECT_GT (world.counters.late_commands_refused, 0u) << "no command of a former leader came after a newer one's";
}

TEST_P (Meeting, OneTaskJobsComeFourASecondAndAQuarterIsCancelled)
{
  for (int i = 0; i < 480; i++) {
    std::string ref = "req-6" + std::to_string (i);
    Time when = (Time) ((5 + i * 0.25) * kSecond);
    world.at (when, [&, ref] { world.submit (ref, 1, 1, 4, world.chance (0.6) ? "red" : "blue", false, false, true); });
    if (i % 4 == 0) {
      day.cancelled.push_back (ref);
      world.at (when + about (0.05, 6), [&, ref] { world.cancel (ref); });
    }
    for (Time t = when + 2 * kSecond; t < day.length; t += 20 * kSecond)
      world.at (t, [&, ref] { world.poll (ref); });
  }
  for (int i = 0; i < 3; i++)
    day.crash (about (20, 120), world.below (3));
  day.finish ();
  guint cancelled = 0;
  for (const std::string &ref : day.cancelled)
    cancelled += world.checker->jobs ().at (ref).final_state == "cancelled";
  EXPECT_GT (cancelled, 20u);
}

TEST_P (Meeting, NewMachinesGetWorkAtOnceWhileWritesLagAndTheLeaderEnds)
{
  guint young = 0;
  world.cloud.least_boot_s = 0.2;
  world.cloud.longest_boot_s = 1.8;
  world.faults.slow_store_answers = 0.4;
  day.load_long (6, 3, 30);
  for (int i = 0; i < 5; i++) {
    Time when = (20 + 20 * i) * kSecond;
    // A fresh need for machines; the leader ends as soon as the first of them is launched.
    world.at (when, [&, i] {
      for (int n = 0; n < 3; n++) {
        std::string ref = "req-5" + std::to_string (10 * i + n);
        day.refs.push_back (ref);
        world.submit (ref, 4, 4, 15, n % 2 ? "red" : "blue", false, false, true);
        for (Time t = world.now + 5 * kSecond; t < day.length; t += 7 * kSecond)
          world.at (t, [&, ref] { world.poll (ref); });
      }
    });
  }
  // The leader ends within two seconds of a machine's launch, again and again.
  guint known = 0;
  Time next = 0;
  for (Time t = 15 * kSecond; t < 140 * kSecond; t += kSecond / 5)
    world.at (t, [&] {
      bool launched = world.cloud.launched > known;
      known = world.cloud.launched;
      if (!launched || world.now < next || day.leader () == nullptr)
        return;
      next = world.now + 12 * kSecond;
      young++;
      world.after (about (0.3, 1.9), [&] {
        if (day.leader () != nullptr)
          day.leader ()->crash (about (0.1, 3));
      });
    });
  world.at (150 * kSecond, [&] { world.faults.slow_store_answers = 0; });
  day.finish ();
  EXPECT_GT (young, 0u) << "no leader ended with new machines";
}

// Requests to the cloud are carried out long after their leader has gone: machines that
// nobody expects are used or returned, and what a late return takes is placed again.
TEST_P (Meeting, RentalsAndReturnsOfAnEarlierLeaderAreCarriedOutLate)
{
  world.faults.late_cloud_calls = 0.7;
  day.load ();
  day.load_long (14, 4, 40);
  for (int i = 0; i < 5; i++)
    world.at ((15 + 20 * i) * kSecond, [&] {
      if (day.leader () != nullptr)
        day.leader ()->crash (about (0.1, 5));
    });
  world.at (150 * kSecond, [&] { world.faults.late_cloud_calls = 0; });
  day.finish ();
  EXPECT_GT (world.counters.late_launches, 0u) << "no machine was rented late";
  EXPECT_LE (world.alive_machines (), 2u) << "machines without work were kept";
}

INSTANTIATE_TEST_SUITE_P (Seeds, Meeting, testing::Range<guint32> (1, 1 + kSeeds));

} // namespace
