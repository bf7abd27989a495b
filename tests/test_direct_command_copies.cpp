// Late copies of direct commands that were carried out and answered before. The protocol sets no age for such a copy:
// a worker executes it while fencing token and incarnation match.
#include "day.hpp"

#include <tuple>

using namespace sim;

namespace {

// How the task's first attempt ends.
enum class End { kMoved, kCancelled, kDone };

// What happens within a second after that.
enum class Return {
  kController,            // the leader's process ends and starts again
  kControllerUnreachable, // the same, while the machine reaches no controller for some seconds
  kMachineResumes,        // the machine hangs and resumes
  kMachineRestarts,       // the machine restarts and begins a new incarnation
};

// How late the copy arrives, counted from the end of the attempt.
enum class Age { kSecond, kLease, kMinutes };

using Combination = std::tuple<End, Return, Age>;

std::string
combination_name (const testing::TestParamInfo<Combination> &info)
{
  static const char *const ends[] = { "Moved", "Cancelled", "Done" };
  static const char *const returns[]
      = { "ControllerBack", "ControllerBackUnreachable", "MachineResumes", "MachineRestarts" };
  static const char *const ages[] = { "SecondLate", "LeaseLate", "MinutesLate" };
  return std::string (ends[(int) std::get<End> (info.param)]) + returns[(int) std::get<Return> (info.param)]
         + ages[(int) std::get<Age> (info.param)];
}

// A job of one task that is started directly, beside long tasks that keep all machines in use.
class DirectCommandCopies : public testing::TestWithParam<Combination> {
protected:
  static constexpr const char *kJob = "req-500000";
  static constexpr Time kSubmittedAt = 60 * kSecond;
  static constexpr Time kSettled = 20 * kSecond;
  // Shorter than the silence after which a leader terminates a machine.
  static constexpr Time kUnreachable = 4 * kSecond;

  void
  SetUp () override
  {
    world.faults.message_loss = world.faults.message_delay = world.faults.wrong_suspicions = 0;
    world.on_direct_message = [this] (const DirectMessage &direct) { keep_first_start (direct); };
    world.at (kSecond, [this] { world.submit ("req-100000", 6, 6, 2000, "red", false, false, true); });
    double run_s = end () == End::kDone ? 3 : 2000;
    world.at (kSubmittedAt, [this, run_s] { world.submit (kJob, 1, 2, run_s, "blue", false, false, true); });
    world.run_until (kSubmittedAt + 10 * kSecond);
    ASSERT_NE (message, nullptr) << "the task was not started directly";
  }

  static End
  end ()
  {
    return std::get<End> (GetParam ());
  }

  // Keeps the first message that carries the start of the task.
  void
  keep_first_start (const DirectMessage &direct)
  {
    for (guint i = 0; message == nullptr && i < direct->commands->len; i++) {
      const FtCommand &command = g_array_index (direct->commands, FtCommand, i);
      if (command.op != FT_COMMAND_START || std::string (command.job) != kJob)
        continue;
      message = direct;
      attempt = command.attempt;
      if (end () == End::kMoved)
        first_machine ().tasks_fail_until = world.now + 5 * kSecond;
    }
  }

  Worker &
  first_machine ()
  {
    return *world.machines.at (message->machine);
  }

  // Whether the first attempt is on its machine and has not exited.
  bool
  attempt_is_live ()
  {
    for (const WorkerTask &task : first_machine ().tasks ())
      if (task.job == kJob && task.attempt == attempt && task.phase != FT_TASK_PHASE_EXITED)
        return true;
    return false;
  }

  // Waits until the first attempt has ended. A task that moves is started again, on another machine.
  void
  end_attempt ()
  {
    if (end () == End::kCancelled)
      world.cancel (kJob);
    for (Time until = world.now + kSettled; attempt_is_live () && world.now < until;)
      world.run_until (world.now + kSecond / 10);
    ASSERT_FALSE (attempt_is_live ()) << "the first attempt has not ended";
    const Checker::Job &job = world.checker->jobs ().at (kJob);
    EXPECT_EQ (world.checker->live (kJob), end () == End::kMoved ? 1u : 0u);
    EXPECT_EQ (job.done.size (), end () == End::kDone ? 1u : 0u);
    EXPECT_EQ (job.cancellation_confirmed_at.has_value (), end () == End::kCancelled);
  }

  void
  go_and_return ()
  {
    switch (std::get<Return> (GetParam ())) {
    case Return::kControllerUnreachable:
      for (const auto &node : world.nodes)
        world.cut (node->name (), message->machine, world.now + kUnreachable);
      [[fallthrough]];
    case Return::kController:
      day.leader ()->crash (kSecond / 2);
      break;
    case Return::kMachineResumes:
      first_machine ().hang (world.now + kSecond / 2);
      break;
    case Return::kMachineRestarts:
      first_machine ().reboot ();
      break;
    }
  }

  Time
  copy_delay () const
  {
    switch (std::get<Age> (GetParam ())) {
    case Age::kSecond:
      return kSecond;
    case Age::kLease:
      return lease + kSecond;
    case Age::kMinutes:
      break;
    }
    return 240 * kSecond;
  }

  Day day{ 4711 };
  World &world = day.world;
  const Time lease = (Time) (world.settings.lease_s * kSecond);
  DirectMessage message; // the first message that carried the start of the task
  guint64 attempt = 0;   // the attempt that it started
};

// Guards against ran_twice and ran_cancelled: a late copy of a direct start, which was carried out and answered,
// started a task again that had been moved, cancelled or completed since, because its worker had been told to forget
// it.
TEST_P (DirectCommandCopies, CopyOfAnAnsweredStartStartsNothing)
{
  end_attempt ();
  go_and_return ();
  Time copy_at = world.now + copy_delay ();
  world.at (copy_at, [this] {
    world.deliver_copy (message);
    EXPECT_FALSE (attempt_is_live ()) << "the copy has started the attempt again";
  });
  world.run_until (copy_at + kSettled);
  ASSERT_TRUE (first_machine ().alive);
  EXPECT_EQ (world.counters.copies_executed + world.counters.copies_refused, 1u) << "the copy has not arrived";
  for (const std::string &violation : world.checker->violations ())
    ADD_FAILURE () << violation;
}

INSTANTIATE_TEST_SUITE_P (All, DirectCommandCopies,
                          testing::Combine (testing::Values (End::kMoved, End::kCancelled, End::kDone),
                                            testing::Values (Return::kController, Return::kControllerUnreachable,
                                                             Return::kMachineResumes, Return::kMachineRestarts),
                                            testing::Values (Age::kSecond, Age::kLease, Age::kMinutes)),
                          combination_name);

} // namespace
