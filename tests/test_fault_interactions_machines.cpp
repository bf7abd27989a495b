// Fault interactions in which machines hang, die, receive nothing or report nothing while another fault is active. A
// test fails if the checker of the simulated world reports a violation of a rule of the protocol, or if a job has not
// ended by the end of the run.
#include "fault_interaction.hpp"

using namespace sim;

namespace {

class MachineFaults : public FaultInteraction {};

// Machines with cancelled tasks hang, most other machines hang too, and the leader's process crashes. The limit on
// terminations of silent machines must not let a cancelled task run for longer than cancel_s.
TEST_P (MachineFaults, FailoverWhileMachinesWithCancelledTasksHang)
{
  Time when = 60 * kSecond;
  guint hung = 0;
  day.load_long (12, 3, 90);
  world.at (when, [&] {
    for (auto &[name, machine] : world.machines)
      if (machine->alive && machine->up && (hung < 4 || world.chance (0.8))) {
        machine->hang (world.now + cancel + seconds_between (15, 30));
        hung++;
      }
  });
  day.cancel_running (when + kSecond, 6);
  world.at (when + 2 * kSecond, [&] {
    if (Node *leader = day.leader ())
      leader->crash (60 * kSecond);
  });
  day.finish ();
  expect_cancellations_confirmed (when, when + 5 * kSecond);
  EXPECT_GT (hung, 3u);
}

TEST_P (MachineFaults, JobsWithZoneConstraintsLoseMachines)
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
            machine->hang (world.now + seconds_between (10, 40));
          lost++;
        }
    });
  day.crash (46 * kSecond, day.any_node ());
  day.cut_zone (75 * kSecond, 25 * kSecond, "a", day.any_node ());
  day.finish ();
  EXPECT_GT (bound, 0u);
  EXPECT_GT (lost, 0u) << "no job with a zone constraint lost a machine";
}

// Some machines are cut off from all controllers; others send heartbeats but receive nothing.
TEST_P (MachineFaults, FailoverWhileMachinesReceiveNothing)
{
  guint unreachable = 0;
  day.load_long (8, 4, 90);
  world.at (60 * kSecond, [&] {
    for (auto &[name, machine] : world.machines) {
      if (!machine->alive || !machine->up || (unreachable > 1 && world.chance (0.4)))
        continue;
      unreachable++;
      if (world.chance (0.5))
        machine->stop_receiving (world.now + seconds_between (20, 60));
      else
        for (auto &node : world.nodes)
          world.cut (node->name (), name, world.now + seconds_between (20, 60));
    }
  });
  day.cancel_running (61 * kSecond, 3);
  world.at (62 * kSecond, [&] { crash_leader (0.3, 20); });
  day.finish ();
  EXPECT_GT (unreachable, 0u);
  expect_cancellations_confirmed (60 * kSecond, 66 * kSecond);
}

// Guards against starting tasks again and again on machines that cannot report. Such a machine receives direct
// commands, which the leader sends outside the answers to heartbeats, but the worker's lease expires each time and ends
// the tasks.
TEST_P (MachineFaults, MachinesThatReceiveCommandsWithoutReportingGetNoWork)
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
    day.crash (50 * kSecond, day.any_node ());
  day.finish ();
  EXPECT_GT (not_reporting, 0u);
  EXPECT_EQ (world.counters.starts_while_not_reporting, 0u) << "tasks were started on machines that did not report";
}

INSTANTIATE_TEST_SUITE_P (Seeds, MachineFaults, testing::Range<guint32> (1, 1 + kSeeds));

} // namespace
