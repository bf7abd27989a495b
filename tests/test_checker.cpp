// Tests of the checker, which observes the machines and the users of the simulated world: it reports each violation of
// a rule of the protocol, and nothing else.
#include <gtest/gtest.h>

#include <algorithm>

#include "checker.hpp"

using namespace sim;

namespace {

// Each test breaks one rule, apart from the test that counts starts after a cancellation. Team red has a limit of 8
// CPUs, and a job must have no task left 10 s after its confirmed cancellation. Each job has three tasks of 4 CPUs:
// req-1 forbids spot machines, req-2 must be spread over zones, and req-3 must stay in one zone.
class CheckerReports : public testing::Test {
protected:
  Checker checker{ { { "red", 8 } }, 10 * kSecond };
  void
  SetUp () override
  {
    Checker::Job job;
    job.team = "red";
    job.cpus = 4;
    job.tasks = 3;
    job.spot = false;
    checker.submitted ("req-1", job);
    job.spread = true;
    job.spot = true;
    checker.submitted ("req-2", job);
    job.spread = false;
    job.one_zone = true;
    checker.submitted ("req-3", job);
  }
  void
  expect_violation_of (const std::string &rule)
  {
    ASSERT_EQ (checker.violations ().size (), 1u);
    EXPECT_EQ (checker.violations ()[0].substr (0, rule.size ()), rule);
  }
};

TEST_F (CheckerReports, TaskOnTwoMachinesAtOnce)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", false });
  checker.task_stopped ("req-1", 0, "m1");
  checker.task_started (1, "req-1", 0, { "m2", "a", false });
  EXPECT_TRUE (checker.violations ().empty ());
  checker.task_started (2, "req-1", 0, { "m3", "a", false });
  expect_violation_of ("ran_twice");
}

TEST_F (CheckerReports, TeamAboveItsCpuLimit)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", false });
  checker.task_started (0, "req-1", 1, { "m1", "a", false });
  EXPECT_TRUE (checker.violations ().empty ());
  checker.task_started (0, "req-1", 2, { "m1", "a", false });
  expect_violation_of ("quota");
}

TEST_F (CheckerReports, TaskOnASpotMachineThatItsJobForbids)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", true });
  expect_violation_of ("wrong_place");
}

TEST_F (CheckerReports, MoreThanHalfOfASpreadJobInOneZone)
{
  Checker roomy_checker{ { { "red", 80 } }, 10 * kSecond };
  Checker::Job job = checker.jobs ().at ("req-2");
  roomy_checker.submitted ("req-2", job);
  roomy_checker.task_started (0, "req-2", 0, { "m1", "a", true });
  roomy_checker.task_started (0, "req-2", 1, { "m1", "a", true });
  EXPECT_TRUE (roomy_checker.violations ().empty ());
  roomy_checker.task_started (0, "req-2", 2, { "m1", "a", true });
  ASSERT_EQ (roomy_checker.violations ().size (), 1u);
}

TEST_F (CheckerReports, OneZoneJobInTwoZones)
{
  checker.task_started (0, "req-3", 0, { "m1", "a", true });
  checker.task_started (0, "req-3", 1, { "m2", "b", true });
  expect_violation_of ("wrong_place");
}

TEST_F (CheckerReports, CancelledTaskLeftOnItsMachineAfterTheDeadline)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", false });
  checker.cancellation_requested ("req-1");
  checker.state_reported (kSecond, "req-1", "cancelled");
  checker.check_cancelled_jobs (11 * kSecond);
  EXPECT_TRUE (checker.violations ().empty ());
  checker.check_cancelled_jobs (11 * kSecond + 1);
  expect_violation_of ("ran_cancelled");
}

TEST_F (CheckerReports, AcceptedJobAnsweredAsNotFound)
{
  checker.state_reported (0, "req-1", "");
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (0, "req-1", "queued");
  checker.state_reported (1, "req-1", "");
  expect_violation_of ("forgotten");
}

TEST_F (CheckerReports, RefusedResubmissionOfAnAcceptedJob)
{
  checker.state_reported (0, "req-1", "queued");
  checker.resubmission_refused ("req-1");
  expect_violation_of ("forgotten");
}

TEST_F (CheckerReports, StateOfAJobThatWasNeverSubmitted)
{
  checker.state_reported (0, "req-9", "");
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (0, "req-9", "queued");
  expect_violation_of ("invented");
}

TEST_F (CheckerReports, DoneJobWithAnIncompleteTask)
{
  checker.task_completed (0, "req-1", 0);
  checker.task_completed (0, "req-1", 1);
  checker.state_reported (0, "req-1", "done");
  expect_violation_of ("not_done");
}

TEST_F (CheckerReports, ChangeOfAFinalState)
{
  checker.cancellation_requested ("req-1");
  checker.state_reported (0, "req-1", "cancelled");
  checker.state_reported (1, "req-1", "running");
  expect_violation_of ("went_back");
}

TEST_F (CheckerReports, CancelledJobWithoutACancellationRequest)
{
  checker.state_reported (0, "req-1", "cancelled");
  expect_violation_of ("went_back");
}

TEST_F (CheckerReports, RunThatStartsNoTask)
{
  checker.check_at_end ();
  expect_violation_of ("nothing_ran");
}

TEST_F (CheckerReports, RunnableJobThatWaitsTooLong)
{
  checker.observe_waiting (0, "req-1", true); // not counted: faults are still active
  checker.faults_over (kSecond);
  checker.observe_waiting (kSecond, "req-1", true);
  checker.observe_waiting (91 * kSecond, "req-1", true);
  checker.observe_waiting (92 * kSecond, "req-1", false); // its team has reached its limit, so the wait starts anew
  checker.observe_waiting (93 * kSecond, "req-1", true);
  checker.task_started (150 * kSecond, "req-1", 0,
                        { "m1", "a", false }); // one of its tasks starts, so the wait starts anew
  checker.observe_waiting (160 * kSecond, "req-1", true);
  checker.observe_waiting (250 * kSecond, "req-1", true);
  EXPECT_TRUE (checker.violations ().empty ());
  checker.observe_waiting (250 * kSecond + 1, "req-1", true);
  expect_violation_of ("waiting");
}

TEST_F (CheckerReports, MachineThatIsUpWithoutWorkForTooLong)
{
  checker.observe_unused (0, "m1", "reason"); // not counted: faults are still active
  checker.faults_over (kSecond);
  checker.observe_unused (kSecond, "m1", "reason");
  checker.observe_unused (91 * kSecond, "m1", "reason");
  checker.observe_unused (92 * kSecond, "m1", ""); // it may get work
  checker.observe_unused (93 * kSecond, "m1", "reason");
  checker.observe_unused (183 * kSecond, "m1", "reason");
  EXPECT_TRUE (checker.violations ().empty ());
  checker.observe_unused (183 * kSecond + 1, "m1", "reason");
  expect_violation_of ("unused");
}

TEST_F (CheckerReports, AcceptedJobThatCanNeverRun)
{
  Checker::Job job;
  job.can_ever_run = false;
  checker.submitted ("req-4", job);
  checker.state_reported (0, "req-4", ""); // the submission was refused
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (1, "req-4", "queued");
  expect_violation_of ("accepted");
}

TEST_F (CheckerReports, StartsAfterAConfirmedCancellationAsACount)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", false });
  checker.cancellation_requested ("req-1");
  checker.state_reported (kSecond, "req-1", "cancelled");
  EXPECT_EQ (checker.starts_after_cancellation (), 0u);
  checker.task_started (3 * kSecond, "req-1", 1, { "m1", "a", false });
  EXPECT_EQ (checker.starts_after_cancellation (), 1u);
  EXPECT_EQ (checker.jobs ().at ("req-1").latest_start_after_cancellation, 2 * kSecond);
  EXPECT_TRUE (checker.violations ().empty ())
      << "such a start is counted, and violates a rule only once cancel_s has passed";
}

TEST_F (CheckerReports, JobWithoutAnAnswerForMoreThan75Seconds)
{
  checker.state_reported (0, "req-1", "queued");
  checker.polled (0, "req-1", true);
  checker.polled (200 * kSecond, "req-1", false); // not counted: faults are still active
  checker.faults_over (200 * kSecond);
  checker.polled (275 * kSecond, "req-1", false);
  EXPECT_TRUE (checker.violations ().empty ());
  checker.polled (275 * kSecond + 1, "req-1", false);
  expect_violation_of ("forgotten");
}

// Tests of the rule that at least half of the jobs of each team and job class are done, and that the largest jobs of a
// class start in time.
class CheckerServiceRule : public testing::Test {
protected:
  Checker checker{ { { "red", 800 } }, 10 * kSecond };
  // Adds an accepted job, whose first task starts at `first_start` and whose tasks all complete if `done`.
  void
  add_job (const std::string &ref, guint tasks, bool done, Time first_start)
  {
    Checker::Job job;
    job.team = job.job_class = "red";
    job.tasks = tasks;
    checker.submitted (ref, job);
    checker.state_reported (0, ref, "queued");
    checker.task_started (first_start, ref, 0, { "m1", "a", true });
    for (guint i = 0; done && i < tasks; i++)
      checker.task_completed (0, ref, i);
  }
  bool
  violates (const std::string &what)
  {
    checker.check_at_end ();
    const auto &all = checker.violations ();
    return std::any_of (all.begin (), all.end (),
                        [&] (const std::string &s) { return s.find (what) != std::string::npos; });
  }
};

TEST_F (CheckerServiceRule, HalfOfTheJobsOfATeamAndClassDoneIsNoViolation)
{
  add_job ("req-1", 2, true, 0);
  add_job ("req-2", 1, false, 0);
  EXPECT_FALSE (violates ("served"));
}

TEST_F (CheckerServiceRule, LessThanHalfOfTheJobsOfATeamOrClassDoneIsAViolation)
{
  add_job ("req-1", 3, true, 0);
  add_job ("req-2", 1, false, 0);
  add_job ("req-3", 1, false, 0);
  EXPECT_TRUE (violates ("team red: 1 of 3"));
  EXPECT_TRUE (violates ("class red: 1 of 3"));
}

TEST_F (CheckerServiceRule, LargestJobOfAClassMustBeDoneToo)
{
  add_job ("req-1", 9, false, 0);
  add_job ("req-2", 1, true, 0);
  EXPECT_TRUE (violates ("the largest of class red: 0 of 1"));
}

TEST_F (CheckerServiceRule, LargestJobOfAClassMustStartWithinFourMinutes)
{
  add_job ("req-1", 9, true, 240 * kSecond + 1);
  add_job ("req-2", 1, true, 300 * kSecond);
  EXPECT_TRUE (violates ("did not begin in four minutes"));
}

// Each test breaks one rule about dependent jobs: req-3 depends on req-2, and req-2 on req-1.
class DependencyCheckerReports : public testing::Test {
protected:
  Checker checker{ { { "red", 8 } }, 10 * kSecond };
  void
  SetUp () override
  {
    Checker::Job job;
    job.team = "red";
    job.tasks = 1;
    checker.submitted ("req-1", job);
    job.dependencies = { "req-1" };
    checker.submitted ("req-2", job);
    job.dependencies = { "req-2" };
    checker.submitted ("req-3", job);
  }
  bool
  violated (const std::string &rule)
  {
    const auto &all = checker.violations ();
    return std::any_of (all.begin (), all.end (), [&] (const std::string &s) { return s.rfind (rule, 0) == 0; });
  }
};

TEST_F (DependencyCheckerReports, TaskStartedBeforeItsDependencyIsDone)
{
  checker.task_completed (0, "req-1", 0);
  checker.task_started (0, "req-2", 0, { "m1", "a", true });
  EXPECT_TRUE (checker.violations ().empty ());
  checker.task_started (0, "req-3", 0, { "m1", "a", true });
  EXPECT_TRUE (violated ("too_early"));
}

TEST_F (DependencyCheckerReports, OpenJobAfterTheCancellationOfAnAncestor)
{
  checker.cancellation_requested ("req-1");
  checker.state_reported (kSecond, "req-1", "cancelled");
  checker.state_reported (11 * kSecond, "req-3", "open");
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (11 * kSecond + 1, "req-3", "open");
  EXPECT_TRUE (violated ("orphaned"));
}

TEST_F (DependencyCheckerReports, CancelledJobOfWhichOnlyADependentWasCancelled)
{
  checker.cancellation_requested ("req-2");
  checker.state_reported (0, "req-3", "cancelled");
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (0, "req-1", "cancelled");
  EXPECT_TRUE (violated ("went_back"));
}

} // namespace
