// A task is cancelled while its machine restarts, hangs or is being returned, the cloud is out and only some messages
// reach the machine, under the same leader or a new one.
#include <tuple>

#include "one_idle_machine.hpp"

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

class CancelledTask : public OneIdleMachine, public testing::TestWithParam<Combination> {
protected:
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
    world.direct_delay = [this] (const DirectMessage &direct) { return on_direct_message (direct); };
    fill_other_machines ();
  }

  // Notes the first start of the task, and holds it if the cancellation is to overtake it.
  Time
  on_direct_message (const DirectMessage &direct)
  {
    if (started_at > 0 || !starts_job (direct))
      return 0;
    started_at = world.now;
    if (cancelled () != Cancelled::kBeforeStartIsAnswered)
      return 0;
    cancel ();
    return kStartHeld;
  }

  void
  cancel ()
  {
    if (!cancellation_requested)
      world.cancel (kJob);
    cancellation_requested = true;
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
    submit_job ();
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
      break;
    case Reach::kHeartbeats:
      machine->stop_reporting (world.now); // it may have been unable to report until now
      machine->lose_commands (world.now + kPartlyReachable);
      break;
    case Reach::kNothingUntilLateInLease:
      make_unreachable (lease_ends_at - kBeforeLeaseEnds);
      break;
    case Reach::kNothingUntilAfterLease:
      make_unreachable (lease_ends_at + kAfterLeaseEnds);
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
      ft_machine_terminate (record (), "returned by the test");
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

  Time started_at = 0; // when the start that the machine executes was sent
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
  expect_room_used_again ();
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
