// A task is cancelled while its machine restarts, hangs or is being returned, the cloud is out and only some messages
// reach the machine, under the same leader or a new one.
#include "day.hpp"

#include <tuple>

extern "C" {
#include "core/scheduler_private.h"
}

using namespace sim;

namespace {

// What the machine does.
enum class Event {
  kRestartsAtOnce,        // it restarts within a second, after its last answered heartbeat and before the start
  kRestartsAfterItsLease, // nothing reaches it until its lease has run out
  kHangsAndResumes,       // it hangs for some seconds after the start
  kIsBeingReturned,       // the leader has decided to return it while the cloud is out
};

// What reaches the machine from the start on.
enum class Reach { kCommands, kHeartbeats, kNothingUntilLateInLease, kNothingUntilAfterLease };

// When the user's cancellation comes.
enum class Cancelled { kBeforeStartIsAnswered, kAfterStart, kWhileUnreachable, kBeforeLeaderChange };

// Who leads after the cancellation.
enum class Leader { kSame, kNew };

using Combination = std::tuple<Event, Reach, Cancelled, Leader>;

std::string
combination_name (const testing::TestParamInfo<Combination> &info)
{
  static const char *const events[] = { "RestartedAtOnce", "RestartedAfterLease", "Hung", "BeingReturned" };
  static const char *const reaches[]
      = { "CommandsAlone", "HeartbeatsAlone", "NothingUntilLateInLease", "NothingUntilAfterLease" };
  static const char *const cancellations[] = { "CancelledBeforeStartIsAnswered", "CancelledAfterStart",
                                               "CancelledWhileUnreachable", "CancelledBeforeLeaderChange" };
  static const char *const leaders[] = { "SameLeader", "NewLeader" };
  return std::string (events[(int) std::get<Event> (info.param)]) + reaches[(int) std::get<Reach> (info.param)]
         + cancellations[(int) std::get<Cancelled> (info.param)] + leaders[(int) std::get<Leader> (info.param)];
}

// The machine under test has room for one task of 16 CPUs; all other machines are full and run on.
class CancelledTask : public testing::TestWithParam<Combination> {
protected:
  static constexpr const char *kJob = "req-500000", *kNextJob = "req-600000";
  static constexpr double kLeaseS = 22, kCancelS = 42, kHeartbeatS = 5;
  // How long the answered start is held on its way if the job is cancelled before its answer.
  static constexpr Time kStartHeld = 1500 * kSecond / 1000;
  // Time from the last answered heartbeat to the restart.
  static constexpr Time kRestartAfter = 5500 * kSecond / 1000;
  // How long before or after the end of its lease the machine can be reached again.
  static constexpr Time kBeforeLeaseEnds = 2 * kSecond, kAfterLeaseEnds = 3 * kSecond;
  // How long some messages are lost if that does not depend on the lease.
  static constexpr Time kPartlyReachable = 120 * kSecond;

  static Event
  event ()
  {
    return std::get<Event> (GetParam ());
  }
  static Reach
  reach ()
  {
    return std::get<Reach> (GetParam ());
  }
  static Cancelled
  cancelled ()
  {
    return std::get<Cancelled> (GetParam ());
  }
  static Leader
  new_leader ()
  {
    return std::get<Leader> (GetParam ());
  }

  void
  SetUp () override
  {
    world.settings.heartbeat_s = kHeartbeatS;
    world.settings.lease_s = kLeaseS;
    world.settings.cancel_s = kCancelS;
    world.checker = std::make_unique<Checker> (std::map<std::string, double>{ { "red", 48 }, { "blue", 32 } },
                                               (Time) (kCancelS * kSecond));
    world.faults.message_loss = world.faults.message_delay = world.faults.wrong_suspicions = 0;
    world.direct_delay = [this] (const DirectMessage &direct) { return on_direct_message (direct); };
    fill_other_machines ();
  }

  // Lets three machines run a task each, keeps one more that is idle and ends all others. The cloud is out from then
  // on.
  void
  fill_other_machines ()
  {
    world.at (kSecond, [this] { world.submit ("req-100000", 3, 16, 2000, "red", false, false, true); });
    world.at (kSecond, [this] { world.submit ("req-200000", 1, 16, 4, "blue", false, false, true); });
    world.run_until (50 * kSecond);
    ASSERT_EQ (world.checker->live ("req-100000"), 3u);
    world.cloud.down = true;
    for (auto &[name, worker] : world.machines) {
      bool idle = worker->alive && worker->used_cpus () <= 0;
      if (idle && worker->up && machine == nullptr)
        machine = worker;
      else if (idle)
        worker->die ();
    }
    ASSERT_NE (machine, nullptr) << "no machine is idle";
    world.run_until (70 * kSecond);
  }

  // Counts the starts of the task on the machine, and holds the one that the cancellation is to overtake.
  Time
  on_direct_message (const DirectMessage &direct)
  {
    if (machine == nullptr || direct->machine != machine->name || direct->incarnation != machine->incarnation ())
      return 0;
    for (guint i = 0; i < direct->commands->len; i++) {
      const FtCommand &command = g_array_index (direct->commands, FtCommand, i);
      if (command.op != FT_COMMAND_START || std::string (command.job) != kJob || started_at > 0)
        continue;
      started_at = world.now;
      if (cancelled () != Cancelled::kBeforeStartIsAnswered)
        return 0;
      cancel ();
      return kStartHeld;
    }
    return 0;
  }

  void
  cancel ()
  {
    if (!cancellation_requested)
      world.cancel (kJob);
    cancellation_requested = true;
  }

  // Lets heartbeats and commands be lost until that time.
  void
  make_unreachable (Time until)
  {
    machine->stop_reporting (until);
    machine->lose_commands (until);
  }

  // Waits until the machine has just sent a heartbeat that is answered.
  void
  await_answered_heartbeat ()
  {
    Time before = machine->lease_ends_at ();
    for (Time limit = world.now + 10 * kSecond; machine->lease_ends_at () == before && world.now < limit;)
      world.run_until (world.now + kSecond / 20);
    ASSERT_NE (machine->lease_ends_at (), before) << "no heartbeat was answered";
  }

  // Brings the task onto the machine. A machine that is to restart does so before.
  void
  start_task ()
  {
    await_answered_heartbeat ();
    if (event () == Event::kRestartsAtOnce) {
      machine->stop_reporting (world.now + kRestartAfter + 4 * kSecond);
      world.run_until (world.now + kRestartAfter);
      machine->reboot ();
      world.run_until (world.now + kSecond);
    }
    world.submit (kJob, 1, 16, 2000, "blue", false, false, true);
    for (Time limit = world.now + 8 * kSecond; started_at == 0 && world.now < limit;)
      world.run_until (world.now + kSecond / 50);
    ASSERT_GT (started_at, 0) << "the task was not started directly on the idle machine";
    Time held = cancelled () == Cancelled::kBeforeStartIsAnswered ? kStartHeld : 0;
    world.run_until (started_at + held + kSecond / 10);
  }

  // When nothing or only some messages reach the machine from now on, until when.
  void
  limit_reach ()
  {
    Time lease_ends_at = machine->lease_ends_at ();
    switch (reach ()) {
    case Reach::kCommands:
      machine->stop_reporting (world.now + kPartlyReachable);
      unreachable_until = world.now;
      break;
    case Reach::kHeartbeats:
      machine->stop_reporting (world.now); // it may have been unable to report until now
      machine->lose_commands (world.now + kPartlyReachable);
      unreachable_until = world.now;
      break;
    case Reach::kNothingUntilLateInLease:
      unreachable_until = lease_ends_at - kBeforeLeaseEnds;
      make_unreachable (unreachable_until);
      break;
    case Reach::kNothingUntilAfterLease:
      unreachable_until = lease_ends_at + kAfterLeaseEnds;
      make_unreachable (unreachable_until);
      break;
    }
  }

  void
  let_machine_fail ()
  {
    switch (event ()) {
    case Event::kRestartsAtOnce:
      break;
    case Event::kRestartsAfterItsLease:
      make_unreachable (machine->lease_ends_at () + kSecond);
      break;
    case Event::kHangsAndResumes:
      machine->hang (world.now + 6 * kSecond);
      break;
    case Event::kIsBeingReturned:
      if (Node *node = day.leader ())
        if (FtMachine *record = ft_machine_table_find (&node->scheduler ()->machine_table, machine->name.c_str ()))
          ft_machine_terminate (record, "returned by the test");
      break;
    }
  }

  void
  cancel_and_change_leader ()
  {
    if (new_leader () == Leader::kNew && cancelled () != Cancelled::kBeforeLeaderChange)
      day.leader ()->crash (60 * kSecond);
    if (cancelled () == Cancelled::kWhileUnreachable)
      world.run_until (world.now + 4 * kSecond);
    cancel ();
    if (cancelled () != Cancelled::kBeforeLeaderChange)
      return;
    await_confirmation ();
    // The leader's process ends. It is back at once, or stays away, so that another controller leads next.
    if (Node *node = day.leader ())
      node->crash (new_leader () == Leader::kNew ? 60 * kSecond : kSecond / 20);
  }

  void
  await_confirmation ()
  {
    for (Time limit = world.now + 40 * kSecond; !confirmed_at () && world.now < limit;)
      world.run_until (world.now + kSecond / 50);
    ASSERT_TRUE (confirmed_at ()) << "the cancellation was not confirmed";
  }

  std::optional<Time>
  confirmed_at () const
  {
    return world.checker->jobs ().at (kJob).cancellation_confirmed_at;
  }

  // Whether the leader may place work on the machine.
  bool
  leader_uses_machine ()
  {
    Node *node = day.leader ();
    if (node == nullptr)
      return false;
    const FtMachine *record = ft_machine_table_find (&node->scheduler ()->machine_table, machine->name.c_str ());
    return record != nullptr && ft_machine_usable (record);
  }

  Day day{ 4711 };
  World &world = day.world;
  std::shared_ptr<Worker> machine;
  Time started_at = 0; // when the start that the machine executes was sent
  Time unreachable_until = 0;
  bool cancellation_requested = false;
};

// Guards against ran_cancelled, ran_twice and quota, and against machines that are neither used nor returned.
TEST_P (CancelledTask, IsGoneInTimeAndItsRoomIsUsedAgain)
{
  start_task ();
  let_machine_fail ();
  limit_reach ();
  cancel_and_change_leader ();
  await_confirmation ();
  Time deadline = *confirmed_at () + (Time) (kCancelS * kSecond);
  world.run_until (deadline + kSecond);
  EXPECT_EQ (world.checker->live (kJob), 0u) << "the task runs on after cancel_s";
  world.run_until (std::max (world.now, started_at + kPartlyReachable + 20 * kSecond));
  world.cloud.down = false;
  world.submit (kNextJob, 1, 16, 5, "blue", false, false, true);
  world.run_until (world.now + 90 * kSecond);
  EXPECT_EQ (world.checker->jobs ().at (kNextJob).done.size (), 1u) << "the room is not used again";
  EXPECT_TRUE (!machine->alive || leader_uses_machine ()) << "the machine is neither used nor returned";
  for (const std::string &violation : world.checker->violations ())
    ADD_FAILURE () << violation;
}

INSTANTIATE_TEST_SUITE_P (
    All, CancelledTask,
    testing::Combine (testing::Values (Event::kRestartsAtOnce, Event::kRestartsAfterItsLease, Event::kHangsAndResumes,
                                       Event::kIsBeingReturned),
                      testing::Values (Reach::kCommands, Reach::kHeartbeats, Reach::kNothingUntilLateInLease,
                                       Reach::kNothingUntilAfterLease),
                      testing::Values (Cancelled::kBeforeStartIsAnswered, Cancelled::kAfterStart,
                                       Cancelled::kWhileUnreachable, Cancelled::kBeforeLeaderChange),
                      testing::Values (Leader::kSame, Leader::kNew)),
    combination_name);

} // namespace
