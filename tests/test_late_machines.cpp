// Rentals and deletions that the cloud carries out late, and machines that are back within a second, under their old
// name or with an address that another machine had: every task that runs is known to the leader or stopped, and every
// machine is used or returned.
#include "day.hpp"
#include "scheduler_harness.hpp"

using namespace sim;

namespace {

// Guards against a machine that nobody uses or returns: it reports again after its return was confirmed.
TEST (LateMachines, MachineThatIsBackUnderItsOldNameIsUsedAgain)
{
  OneMachine harness;
  ft_scheduler_machine_gone (harness.scheduler, harness.machine ("n-1"), "returned");
  ft_scheduler_tick (harness.scheduler, 101 * kS, TRUE); // the machine leaves the table
  g_autoptr (GArray) copy = harness.exchange (102 * kS, 9);
  EXPECT_EQ (copy, nullptr) << "a late copy from before its return";
  FtTaskStatus unknown = task_status ("req-9", 0, 77, FT_TASK_PHASE_RUNNING);
  g_autoptr (GArray) commands = harness.exchange (103 * kS, 10, { unknown }, 2);
  ASSERT_NE (commands, nullptr);
  EXPECT_EQ (count_commands (commands, FT_COMMAND_STOP), 1u) << "a task that no controller knows of runs on";
  harness.commit_writes (103 * kS);
  g_autoptr (GArray) none = harness.exchange (104 * kS, 11, {}, 2);
  EXPECT_TRUE (ft_machine_usable (harness.machine ("n-1")));
}

// Guards against a task that no controller knows of: the command has reached another machine, which has the address
// now.
TEST (LateMachines, TaskThatStartedAtAnOldAddressIsKnownAndStopped)
{
  OneMachine harness;
  FtDirectRequest *direct = harness.start_directly ("req-1", 5, 101 * kS);
  ASSERT_NE (direct, nullptr);
  harness.second_machine_up (101 * kS);
  guint64 attempt = g_array_index (direct->commands, FtCommand, 0).attempt;
  g_autoptr (FtWorkerHeartbeat) other = harness.new_heartbeat (1, 2, 3, "n-2");
  add_tasks (other, { task_status ("req-1", 0, attempt, FT_TASK_PHASE_RUNNING) });
  ft_scheduler_direct_request_done (harness.scheduler, direct, FT_DIRECT_OK, other, 102 * kS);
  ft_direct_request_free (direct);
  EXPECT_EQ (harness.machine ("n-1")->addr, nullptr) << "more commands would go astray";
  EXPECT_EQ (harness.machine_of ("req-1", 0), "n-1") << "its own start is not known to be over";
  FtDirectRequest *stop = ft_scheduler_next_direct_request (harness.scheduler, 102 * kS);
  ASSERT_NE (stop, nullptr);
  EXPECT_STREQ (stop->machine, "n-2");
  EXPECT_EQ (count_commands (stop->commands, FT_COMMAND_STOP), 1u);
  ft_direct_request_free (stop);
}

// Guards against commands to an address that the machine has given up: a late copy of a heartbeat names it.
TEST (LateMachines, LateCopyOfAHeartbeatDoesNotBringAnOldAddressBack)
{
  OneMachine harness (5);
  g_autoptr (FtWorkerHeartbeat) copy = harness.new_heartbeat (1, 4, 3);
  g_free (copy->addr);
  copy->addr = g_strdup ("10.1.0.99:9000");
  ft_scheduler_heartbeat (harness.scheduler, copy, 101 * kS);
  EXPECT_STREQ (harness.machine ("n-1")->addr, "10.1.0.1:9000");
}

// Random runs in which the cloud carries out calls late and machines restart at once. At the end no machine is left
// that the leader does not know of.
class LateMachinesRun : public testing::TestWithParam<guint32> {};

TEST_P (LateMachinesRun, EachMachineIsKnownUsedOrReturned)
{
  Day day (GetParam () * 104729);
  day.world.faults.late_cloud_calls = 0.9;
  day.world.at (150 * kSecond, [&] { day.world.faults.late_cloud_calls = 0; });
  day.load ();
  day.load_long (6, 3, 40);
  for (int i = 0; i < 12; i++)
    day.reboot (day.world.seconds_between (15, 150));
  day.crash (60 * kSecond, day.any_node ());
  day.crash (110 * kSecond, day.any_node ());
  day.finish ();
  EXPECT_GT (day.world.counters.late_launches, 0u) << "no machine was rented late";
  Node *leader = day.leader ();
  ASSERT_NE (leader, nullptr);
  for (const auto &[name, worker] : day.world.machines) {
    bool known = ft_machine_table_find (&leader->scheduler ()->machine_table, name.c_str ()) != nullptr;
    EXPECT_TRUE (!worker->alive || !worker->up || known) << name << " is up, and the leader does not know it";
  }
}

INSTANTIATE_TEST_SUITE_P (Seeds, LateMachinesRun, testing::Range<guint32> (1, 5));

} // namespace
