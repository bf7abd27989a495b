// Fault interactions in which heartbeats and commands are late, duplicated or lost, or links are cut, while another
// fault is active. A test fails if the checker of the simulated world reports a violation of a rule of the protocol, or
// if a job has not ended by the end of the run.
#include "fault_interaction.hpp"

using namespace sim;

namespace {

class MessageFaults : public FaultInteraction {};

// Cut links delay heartbeats that were sent to the former leader until a new leader has taken over.
TEST_P (MessageFaults, HeartbeatsDelayedAcrossFailover)
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
            world.cut (node->name (), name, world.now + seconds_between (4, 12));
      if (leader != nullptr)
        leader->crash (seconds_between (0.2, 3));
    });
  }
  day.finish ();
  EXPECT_GT (world.counters.heartbeats_after_takeover, 0u) << "no heartbeat was delayed across a takeover";
}

// Copies of a machine's heartbeats arrive after newer ones, which it sent after a reboot (as a new incarnation) or with
// newer attempts of its tasks.
TEST_P (MessageFaults, HeartbeatsDuplicatedAcrossReboots)
{
  guint reboots = 0;
  world.faults.duplicates = 0.4;
  day.load ();
  day.load_long (6, 3, 30);
  for (int i = 0; i < 8; i++) {
    Time when = seconds_between (20, 140);
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
      day.crash (when + seconds_between (0, 3), day.any_node ());
  }
  day.finish ();
  EXPECT_GT (reboots, 0u);
}

// A copy of an old heartbeat of each machine reaches every controller when a new leader's term begins.
TEST_P (MessageFaults, HeartbeatsReplayedToNewLeader)
{
  world.faults.replay_heartbeats = true;
  day.load ();
  day.load_long (8, 3, 40);
  for (int i = 0; i < 6; i++) {
    Time when = (30 + 18 * i) * kSecond;
    world.at (when, [&] { crash_leader (0.1, 6); });
    day.cancel_running (when + seconds_between (-1, 1), 1);
    day.reboot (when + seconds_between (-3, 0)); // the copy of the machine's heartbeat names an earlier incarnation
  }
  day.finish ();
  EXPECT_GT (world.counters.replayed_heartbeats, 0u) << "no copy of an old heartbeat was answered by a new leader";
}

TEST_P (MessageFaults, CommandsDelayedWhileMachinesFail)
{
  world.faults.late_direct_commands = 0.3;
  day.load ();
  day.load_long (8, 3, 40);
  for (int i = 0; i < 6; i++) {
    day.machine_fault (seconds_between (20, 120));
    day.reboot (seconds_between (20, 120));
  }
  for (int i = 0; i < 4; i++)
    day.cancel_running (seconds_between (20, 120), 2);
  day.crash (70 * kSecond, day.any_node ());
  day.finish ();
  EXPECT_GT (world.counters.late_commands_executed, 0u) << "no command was executed late";
}

// Jobs of one task are cancelled as soon as they are accepted, while the commands that start them are carried out late.
// The checker reports machines that get no work after that.
TEST_P (MessageFaults, LateStartsOfJobsCancelledAtOnce)
{
  world.faults.late_direct_commands = 0.5;
  world.at (150 * kSecond, [&] { world.faults.late_direct_commands = 0; });
  day.load ();
  for (int i = 0; i < 120; i++) {
    Time when = (20 + i) * kSecond;
    std::string ref = "req-5" + std::to_string (100 + i);
    world.at (when, [&, ref] { world.submit (ref, 1, 0.25, 15, "red", false, false, true); });
    day.poll_until_end (ref, when + 5 * kSecond, 5 * kSecond);
    if (i % 3 != 0)
      world.at (when + seconds_between (0.3, 0.8), [&, ref] { world.cancel (ref); });
  }
  day.finish ();
  EXPECT_GT (world.counters.late_commands_executed, 0u) << "no command was executed late";
  EXPECT_GT (world.counters.late_commands_refused, 0u) << "no start in doubt was made harmless by a higher token";
}

TEST_P (MessageFaults, CommandsOfFormerLeaderArriveAfterNewerOnes)
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
        leader->crash (seconds_between (0.1, 4));
      else
        leader->store_refuses_until = world.now + seconds_between (8, 20);
    });
    day.cancel_running (when + seconds_between (0, 3), 1);
  }
  day.finish ();
  EXPECT_GT (world.counters.late_commands_refused, 0u)
      << "no command of a former leader was refused for its fencing token";
}

TEST_P (MessageFaults, ZoneWithItsControllerCutOffForLongerThanALease)
{
  int inside = day.any_node ();
  guint answers_before = 0, answers_after = 0;
  day.load_long (10, 4, 120);
  day.cut_zone (60 * kSecond, lease + 20 * kSecond, "a", inside);
  day.cancel_running (61 * kSecond, 3);
  world.at (60 * kSecond, [&] { answers_before = heartbeats_answered (); });
  world.at (60 * kSecond + lease, [&] { answers_after = heartbeats_answered (); });
  day.finish ();
  expect_cancellations_confirmed (60 * kSecond, 100 * kSecond);
  EXPECT_GT (answers_after, answers_before);
}

// The jobs demand three times the capacity of the machines while messages are delayed and lost.
TEST_P (MessageFaults, SlowNetworkWhileWorkExceedsCapacity)
{
  world.cloud.capacity = 4;
  world.faults.message_delay = 0.1;
  world.faults.message_loss = 0.03;
  day.load_long (14, 6, 25);
  day.load ();
  for (int i = 0; i < 6; i++)
    day.cancel_running (seconds_between (20, 120), 2);
  world.at (150 * kSecond, [&] {
    world.faults.message_delay = 0.002;
    world.faults.message_loss = 0.002;
    world.cloud.capacity = 14;
  });
  day.finish ();
  expect_cancellations_confirmed (20 * kSecond, 150 * kSecond);
}

INSTANTIATE_TEST_SUITE_P (Seeds, MessageFaults, testing::Range<guint32> (1, 1 + kSeeds));

} // namespace
