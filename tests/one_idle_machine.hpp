// A machine that is idle while all others are full, with the cloud out: a task that is submitted now starts there.
#pragma once
#include "day.hpp"

extern "C" {
#include "core/scheduler_private.h"
}

// The machine has room for one task of 16 CPUs. Its worker has the times of the schools deployment.
class OneIdleMachine {
protected:
  static constexpr const char *kJob = "req-500000", *kNextJob = "req-600000";
  static constexpr double kLeaseS = 22, kCancelS = 42, kHeartbeatS = 5;

  OneIdleMachine ()
  {
    world.settings.heartbeat_s = kHeartbeatS;
    world.settings.lease_s = kLeaseS;
    world.settings.cancel_s = kCancelS;
    world.checker = std::make_unique<sim::Checker> (std::map<std::string, double>{ { "red", 48 }, { "blue", 32 } },
                                                    (sim::Time) (kCancelS * sim::kSecond));
    world.faults.message_loss = world.faults.message_delay = world.faults.wrong_suspicions = 0;
  }

  // Lets three machines run a task each, keeps one more that is idle and ends all others. The cloud is out from then
  // on.
  void
  fill_other_machines ()
  {
    world.at (sim::kSecond, [this] { world.submit ("req-100000", 3, 16, 2000, "red", false, false, true); });
    world.at (sim::kSecond, [this] { world.submit ("req-200000", 1, 16, 4, "blue", false, false, true); });
    world.run_until (50 * sim::kSecond);
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
    world.run_until (70 * sim::kSecond);
  }

  // Submits the job that starts on the machine.
  void
  submit_job ()
  {
    world.submit (kJob, 1, 16, 2000, "blue", false, false, true);
  }

  // Whether the direct commands carry a start of the job to the machine, which the worker's incarnation allows.
  bool
  starts_job (const sim::DirectMessage &direct) const
  {
    if (machine == nullptr || direct->machine != machine->name || direct->incarnation != machine->incarnation ())
      return false;
    for (guint i = 0; i < direct->commands->len; i++) {
      const FtCommand &command = g_array_index (direct->commands, FtCommand, i);
      if (command.op == FT_COMMAND_START && std::string (command.job) == kJob)
        return true;
    }
    return false;
  }

  // Lets heartbeats and commands be lost until that time.
  void
  make_unreachable (sim::Time until)
  {
    machine->stop_reporting (until);
    machine->lose_commands (until);
  }

  // Waits until the machine has just sent a heartbeat that is answered.
  void
  await_answered_heartbeat ()
  {
    sim::Time before = machine->lease_ends_at ();
    for (sim::Time limit = world.now + 10 * sim::kSecond; machine->lease_ends_at () == before && world.now < limit;)
      world.run_until (world.now + sim::kSecond / 20);
    ASSERT_NE (machine->lease_ends_at (), before) << "no heartbeat was answered";
  }

  std::optional<sim::Time>
  confirmed_at () const
  {
    return world.checker->jobs ().at (kJob).cancellation_confirmed_at;
  }

  void
  await_confirmation ()
  {
    for (sim::Time limit = world.now + 40 * sim::kSecond; !confirmed_at () && world.now < limit;)
      world.run_until (world.now + sim::kSecond / 50);
    ASSERT_TRUE (confirmed_at ()) << "the cancellation was not confirmed";
  }

  // The leader's record of the machine; NULL if there is none.
  FtMachine *
  record ()
  {
    sim::Node *node = day.leader ();
    return node != nullptr ? ft_machine_table_find (&node->scheduler ()->machine_table, machine->name.c_str ())
                           : nullptr;
  }

  // The cloud answers again: the next job runs, and the machine is used for more or has been returned.
  void
  expect_room_used_again ()
  {
    world.cloud.down = false;
    world.submit (kNextJob, 1, 16, 5, "blue", false, false, true);
    world.run_until (world.now + 90 * sim::kSecond);
    EXPECT_EQ (world.checker->jobs ().at (kNextJob).done.size (), 1u) << "the room is not used again";
    EXPECT_TRUE (!machine->alive || (record () != nullptr && ft_machine_usable (record ())))
        << "the machine is neither used nor returned";
    for (const std::string &violation : world.checker->violations ())
      ADD_FAILURE () << violation;
  }

  sim::Day day{ 4711 };
  sim::World &world = day.world;
  std::shared_ptr<sim::Worker> machine;
};
