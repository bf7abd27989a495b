// The checker of the simulated world must be able to fail: what breaks a rule is found, and
// what keeps it is not.
#include <gtest/gtest.h>

#include <algorithm>

#include "checker.hpp"

using namespace sim;

namespace {

// One broken step for each rule.
class CheckerFails : public testing::Test {
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

TEST_F (CheckerFails, RanTwice)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", false });
  checker.task_stopped ("req-1", 0, "m1");
  checker.task_started (1, "req-1", 0, { "m2", "a", false });
  EXPECT_TRUE (checker.violations ().empty ());
  checker.task_started (2, "req-1", 0, { "m3", "a", false });
  expect_violation_of ("ran_twice");
}

TEST_F (CheckerFails, Quota)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", false });
  checker.task_started (0, "req-1", 1, { "m1", "a", false });
  EXPECT_TRUE (checker.violations ().empty ());
  checker.task_started (0, "req-1", 2, { "m1", "a", false });
  expect_violation_of ("quota");
}

TEST_F (CheckerFails, WrongKindOfMachine)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", true });
  expect_violation_of ("wrong_place");
}

TEST_F (CheckerFails, WrongSpread)
{
  Checker wide{ { { "red", 80 } }, 10 * kSecond };
  Checker::Job job = checker.jobs ().at ("req-2");
  wide.submitted ("req-2", job);
  wide.task_started (0, "req-2", 0, { "m1", "a", true });
  wide.task_started (0, "req-2", 1, { "m1", "a", true });
  EXPECT_TRUE (wide.violations ().empty ());
  wide.task_started (0, "req-2", 2, { "m1", "a", true });
  ASSERT_EQ (wide.violations ().size (), 1u);
}

TEST_F (CheckerFails, TwoZones)
{
  checker.task_started (0, "req-3", 0, { "m1", "a", true });
  checker.task_started (0, "req-3", 1, { "m2", "b", true });
  expect_violation_of ("wrong_place");
}

TEST_F (CheckerFails, RanCancelled)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", false });
  checker.cancellation_requested ("req-1");
  checker.state_reported (kSecond, "req-1", "cancelled");
  checker.check_cancelled_jobs (11 * kSecond);
  EXPECT_TRUE (checker.violations ().empty ());
  checker.check_cancelled_jobs (11 * kSecond + 1);
  expect_violation_of ("ran_cancelled");
}

TEST_F (CheckerFails, Forgotten)
{
  checker.state_reported (0, "req-1", "");
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (0, "req-1", "queued");
  checker.state_reported (1, "req-1", "");
  expect_violation_of ("forgotten");
}

TEST_F (CheckerFails, RefusedAgain)
{
  checker.state_reported (0, "req-1", "queued");
  checker.resubmission_refused ("req-1");
  expect_violation_of ("forgotten");
}

TEST_F (CheckerFails, Invented)
{
  checker.state_reported (0, "req-9", "");
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (0, "req-9", "queued");
  expect_violation_of ("invented");
}

TEST_F (CheckerFails, NotDone)
{
  checker.task_completed (0, "req-1", 0);
  checker.task_completed (0, "req-1", 1);
  checker.state_reported (0, "req-1", "done");
  expect_violation_of ("not_done");
}

TEST_F (CheckerFails, WentBack)
{
  checker.cancellation_requested ("req-1");
  checker.state_reported (0, "req-1", "cancelled");
  checker.state_reported (1, "req-1", "running");
  expect_violation_of ("went_back");
}

TEST_F (CheckerFails, CancelledUnasked)
{
  checker.state_reported (0, "req-1", "cancelled");
  expect_violation_of ("went_back");
}

TEST_F (CheckerFails, NothingRan)
{
  checker.check_at_end ();
  expect_violation_of ("nothing_ran");
}

TEST_F (CheckerFails, LeftWaitingThoughItCouldRun)
{
  checker.observe_waiting (0, "req-1", true); // in trouble still
  checker.faults_over (kSecond);
  checker.observe_waiting (kSecond, "req-1", true);
  checker.observe_waiting (91 * kSecond, "req-1", true);
  checker.observe_waiting (92 * kSecond, "req-1", false); // its team is at its limit
  checker.observe_waiting (93 * kSecond, "req-1", true);
  checker.task_started (150 * kSecond, "req-1", 0, { "m1", "a", false }); // a task of it begins
  checker.observe_waiting (160 * kSecond, "req-1", true);
  checker.observe_waiting (250 * kSecond, "req-1", true);
  EXPECT_TRUE (checker.violations ().empty ());
  checker.observe_waiting (250 * kSecond + 1, "req-1", true);
  expect_violation_of ("waiting");
}

TEST_F (CheckerFails, AcceptedThoughItCanNeverRun)
{
  Checker::Job job;
  job.can_ever_run = false;
  checker.submitted ("req-4", job);
  checker.state_reported (0, "req-4", ""); // refused
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (1, "req-4", "queued");
  expect_violation_of ("accepted");
}

TEST_F (CheckerFails, CountsStartsAfterAConfirmedCancellation)
{
  checker.task_started (0, "req-1", 0, { "m1", "a", false });
  checker.cancellation_requested ("req-1");
  checker.state_reported (kSecond, "req-1", "cancelled");
  EXPECT_EQ (checker.starts_after_cancellation (), 0u);
  checker.task_started (3 * kSecond, "req-1", 1, { "m1", "a", false });
  EXPECT_EQ (checker.starts_after_cancellation (), 1u);
  EXPECT_EQ (checker.jobs ().at ("req-1").latest_start_after_cancellation, 2 * kSecond);
  EXPECT_TRUE (checker.violations ().empty ()) << "counted; a rule only after cancel_s";
}

TEST_F (CheckerFails, NoAnswerFor75Seconds)
{
  checker.state_reported (0, "req-1", "queued");
  checker.polled (0, "req-1", true);
  checker.polled (200 * kSecond, "req-1", false); // in trouble still
  checker.faults_over (200 * kSecond);
  checker.polled (275 * kSecond, "req-1", false);
  EXPECT_TRUE (checker.violations ().empty ());
  checker.polled (275 * kSecond + 1, "req-1", false);
  expect_violation_of ("forgotten");
}

// Jobs of one class and team: done, or first_start late.
class CheckerServes : public testing::Test {
protected:
  Checker checker{ { { "red", 800 } }, 10 * kSecond };
  void
  job (const std::string &ref, guint tasks, bool done, Time first_start)
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

TEST_F (CheckerServes, HalfIsEnough)
{
  job ("req-1", 2, true, 0);
  job ("req-2", 1, false, 0);
  EXPECT_FALSE (violates ("served"));
}

TEST_F (CheckerServes, LessThanHalfOfATeamOrClassFails)
{
  job ("req-1", 3, true, 0);
  job ("req-2", 1, false, 0);
  job ("req-3", 1, false, 0);
  EXPECT_TRUE (violates ("team red: 1 of 3"));
  EXPECT_TRUE (violates ("class red: 1 of 3"));
}

TEST_F (CheckerServes, TheLargestMustBeServedToo)
{
  job ("req-1", 9, false, 0);
  job ("req-2", 1, true, 0);
  EXPECT_TRUE (violates ("the largest of class red: 0 of 1"));
}

TEST_F (CheckerServes, TheLargestMustBeginInFourMinutes)
{
  job ("req-1", 9, true, 240 * kSecond + 1);
  job ("req-2", 1, true, 300 * kSecond);
  EXPECT_TRUE (violates ("did not begin in four minutes"));
}

// The same for the rules about jobs that depend on others.
class PipelineCheckerFails : public testing::Test {
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

TEST_F (PipelineCheckerFails, TooEarly)
{
  checker.task_completed (0, "req-1", 0);
  checker.task_started (0, "req-2", 0, { "m1", "a", true });
  EXPECT_TRUE (checker.violations ().empty ());
  checker.task_started (0, "req-3", 0, { "m1", "a", true });
  EXPECT_TRUE (violated ("too_early"));
}

TEST_F (PipelineCheckerFails, Orphaned)
{
  checker.cancellation_requested ("req-1");
  checker.state_reported (kSecond, "req-1", "cancelled");
  checker.state_reported (11 * kSecond, "req-3", "open");
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (11 * kSecond + 1, "req-3", "open");
  EXPECT_TRUE (violated ("orphaned"));
}

TEST_F (PipelineCheckerFails, CancelledThoughNothingBeforeItWasAskedFor)
{
  checker.cancellation_requested ("req-2");
  checker.state_reported (0, "req-3", "cancelled");
  EXPECT_TRUE (checker.violations ().empty ());
  checker.state_reported (0, "req-1", "cancelled");
  EXPECT_TRUE (violated ("went_back"));
}

} // namespace
