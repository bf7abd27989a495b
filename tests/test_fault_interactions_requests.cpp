// Races of users' requests with each other, with the ends of jobs and with failovers. A test fails if the checker of
// the simulated world reports a violation of a rule of the protocol, or if a job has not ended by the end of the run.
#include "fault_interaction.hpp"

using namespace sim;

namespace {

class RequestRaces : public FaultInteraction {};

// No fault is active. Polls and cancellations race with the completion of a job's last task.
TEST_P (RequestRaces, LastTaskCompletesDuringCancellationsAndPolls)
{
  guint ends = 0;
  world.faults.message_loss = world.faults.message_delay = world.faults.wrong_suspicions = 0;
  day.load_long (10, 2, 20);
  world.checker->on_last_task_completed = [&] (const std::string &ref) {
    ends++;
    for (int i = 0; i < 6; i++) {
      world.after (seconds_between (0, 4), [&, ref] { world.poll (ref); });
      if (i < 2 && ends % 2 == 0)
        world.after (seconds_between (0, 2.5), [&, ref] { world.cancel (ref); });
    }
  };
  day.finish ();
  guint done = 0, cancelled = 0;
  for (const auto &[ref, job] : world.checker->jobs ()) {
    done += job.cancellation_requested && job.final_state == "done";
    cancelled += job.cancellation_requested && job.final_state == "cancelled";
  }
  EXPECT_GT (ends, 4u);
  EXPECT_GT (done + cancelled, 0u) << "no cancelled job reached a final state";
}

// Jobs of one task are submitted four times a second, and every fourth job is cancelled, while controllers crash.
TEST_P (RequestRaces, ShortJobsAndCancellationsDuringFailovers)
{
  for (int i = 0; i < 480; i++) {
    std::string ref = "req-6" + std::to_string (i);
    Time when = (Time) ((5 + i * 0.25) * kSecond);
    world.at (when, [&, ref] { world.submit (ref, 1, 1, 4, world.chance (0.6) ? "red" : "blue", false, false, true); });
    if (i % 4 == 0) {
      day.cancelled.push_back (ref);
      world.at (when + seconds_between (0.05, 6), [&, ref] { world.cancel (ref); });
    }
    day.poll_until_end (ref, when + 2 * kSecond, 20 * kSecond);
  }
  for (int i = 0; i < 3; i++)
    day.crash (seconds_between (20, 120), day.any_node ());
  day.finish ();
  guint cancelled = 0;
  for (const std::string &ref : day.cancelled)
    cancelled += world.checker->jobs ().at (ref).final_state == "cancelled";
  EXPECT_GT (cancelled, 20u);
}

// No fault is active. The start of a task may still be in flight when the cancellation of its job is confirmed, so
// starts within 2 s after the confirmation are allowed.
TEST_P (RequestRaces, InvalidSubmissionsAndCancellationsOfEndedJobs)
{
  world.faults.message_loss = world.faults.message_delay = world.faults.wrong_suspicions = 0;
  world.faults.advisories = true;
  day.load ();
  guint accepted = 0;
  for (int i = 0; i < 60; i++)
    world.at (seconds_between (1, 140), [&, i] { accepted += world.submit_invalid ("req-bad" + std::to_string (i)); });
  for (int i = 0; i < 6; i++)
    world.at (seconds_between (30, 140), [&] {
      for (const auto &[ref, job] : world.checker->jobs ())
        if (job.final_state == "done") { // the cancellation comes too late, and the job stays done
          world.cancel (ref);
          return;
        }
    });
  day.finish ();
  EXPECT_EQ (accepted, 0u) << "invalid submissions were accepted";
  for (const auto &[ref, job] : world.checker->jobs ())
    EXPECT_LE (job.latest_start_after_cancellation, 2 * kSecond) << ref;
}

INSTANTIATE_TEST_SUITE_P (Seeds, RequestRaces, testing::Range<guint32> (1, 1 + kSeeds));

} // namespace
