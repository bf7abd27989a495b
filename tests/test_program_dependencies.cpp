// Tests, with the real program, of jobs with dependencies.
#include "loopback.hpp"
#include "loopback/three_controllers.hpp"

using namespace loopback;

namespace {

class Pipelines : public ThreeControllers {
protected:
  void
  SetUp () override
  {
    ASSERT_NO_FATAL_FAILURE (ThreeControllers::SetUp ());
    find_leader ();
  }
  // Submits the job until the answer is not 503, since the controller must know the catalog and its peers first.
  // Returns the status of the last answer.
  guint
  submit_once_ready (size_t i, json_t *body)
  {
    guint status = 0;
    wait_for ([&] {
      status = submit (i, json_incref (body))->status;
      return status != 503;
    });
    json_decref (body);
    return status;
  }
  // Returns a field of the job in the leader's administration API; "" if the leader does not list the job.
  std::string
  admin_field (const std::string &ref, const char *field)
  {
    auto jobs = administer ("GET", leader, "/admin/jobs");
    const char *value = nullptr;
    size_t i;
    json_t *item;
    json_array_foreach (json_object_get (jobs->body, "jobs"), i, item)
    {
      if (g_strcmp0 (json_string_value (json_object_get (item, "job")), ref.c_str ()) == 0)
        value = json_string_value (json_object_get (item, field));
    }
    return value ? value : "";
  }
};

TEST_F (Pipelines, JobsRunAfterTheirDependenciesAndStayKnownAcrossFailovers)
{
  Machine machine (controllers.front);
  ASSERT_EQ (submit_once_ready (0, job ("req-3", 1)), 201u); // runs until it is cancelled
  ASSERT_EQ (submit_once_ready (1, job ("req-1", 2)), 201u);
  ASSERT_EQ (submit_once_ready (2, job_after ("req-11", { "req-1" }, 2)), 201u);
  ASSERT_EQ (submit_once_ready (0, job_after ("req-12", { "req-11", "req-1", "req-11" })), 201u);
  ASSERT_EQ (submit_once_ready (1, job_after ("req-13", { "req-3" })), 201u);
  EXPECT_TRUE (reaches (2, "req-12", "done"));
  EXPECT_LT (machine.first_start_of ("req-1/1"), machine.first_start_of ("req-11/0"));
  EXPECT_LT (machine.first_start_of ("req-11/1"), machine.first_start_of ("req-12/0"));
  EXPECT_EQ (submit_once_ready (2, job_after ("req-14", { "req-12" })), 201u)
      << "a dependency may have been done long before";
  EXPECT_TRUE (reaches (0, "req-14", "done"));
  for (size_t i = 0; i < 3; i++) {
    ASSERT_NO_FATAL_FAILURE (restart (i));
    EXPECT_EQ (state_of (i, "req-13"), "queued");
  }
  EXPECT_EQ (submit_once_ready (2, job_after ("req-13", { "req-3" })), 200u) << "the job is already known";
  EXPECT_EQ (machine.first_start_of ("req-13/0"), 0u) << "the job was started although req-3 is not done";
}

TEST_F (Pipelines, EachControllerRefusesInvalidDependenciesInTheSameWay)
{
  ASSERT_EQ (submit_once_ready (0, job ("req-3", 1)), 201u);
  ASSERT_EQ (submit_once_ready (1, job ("req-2", 1)), 201u);
  EXPECT_EQ (cancel (2, "req-2"), "withdrawn");
  for (int again = 0; again < 2; again++)
    for (size_t i = 0; i < 3; i++) {
      EXPECT_EQ (submit_once_ready (i, job_after ("req-1", { "req-3", "req-404" })), 422u);
      // A job with a missing dependency is refused even if another dependency is cancelled. In a benchmark run, such a
      // job was accepted and then cancelled.
      EXPECT_EQ (submit_once_ready (i, job_after ("req-1", { "req-2", "req-404" })), 422u);
      EXPECT_EQ (submit_once_ready (i, job_after ("req-1", { "req-404", "req-2" })), 422u);
      EXPECT_EQ (submit_once_ready (i, job_after ("req-1", { "req-1" })), 400u) << "a job cannot depend on itself";
      EXPECT_EQ (submit_once_ready (i, job_after ("req-1", { "no job" })), 400u);
      json_t *body = job ("req-1", 1);
      json_object_set_new (body, "awaits", json_string ("req-3"));
      EXPECT_EQ (submit_once_ready (i, body), 400u) << "the dependencies are not a list";
      std::vector<std::string> many;
      for (int k = 0; k < 3000; k++)
        many.push_back ("req-" + std::to_string (100000 + k));
      EXPECT_EQ (submit_once_ready (i, job_after ("req-1", many)), 422u) << "the dependencies do not fit into a row";
      EXPECT_EQ (look_up (i, "req-1")->status, 404u);
    }
  services.down = true;
  EXPECT_TRUE (wait_for ([&] { return submit (0, job_after ("req-1", { "req-404" }))->status == 503; }))
      << "dependencies cannot be checked without the store";
}

TEST_F (Pipelines, CancellationCancelsAllDependents)
{
  Machine machine (controllers.front);
  ASSERT_EQ (submit_once_ready (0, job ("req-3", 1)), 201u);
  ASSERT_EQ (submit_once_ready (1, job_after ("req-11", { "req-3" })), 201u);
  ASSERT_EQ (submit_once_ready (2, job_after ("req-12", { "req-11" })), 201u);
  ASSERT_TRUE (reaches (0, "req-3", "running"));
  EXPECT_EQ (cancel (1, "req-3"), "withdrawn");
  for (size_t i = 0; i < 3; i++)
    EXPECT_TRUE (reaches (i, "req-12", "withdrawn"));
  auto late = submit (0, job_after ("req-13", { "req-12" }));
  EXPECT_EQ (late->status, 201u) << "a job that depends on a cancelled job is accepted as cancelled";
  EXPECT_EQ (late->text ("standing"), "withdrawn");
  EXPECT_EQ (state_of (2, "req-13"), "withdrawn");
  EXPECT_EQ (cancel (1, "req-13"), "withdrawn");
}

// No controller leads, and none can acquire the lease. Each controller finds the cancellation of the dependency in the
// store's rows when it is polled.
TEST_F (Pipelines, CancellationOfADependencyIsReportedWithoutALeader)
{
  ASSERT_EQ (submit_once_ready (0, job ("req-3", 1)), 201u);
  ASSERT_EQ (submit_once_ready (1, job_after ("req-11", { "req-3" })), 201u);
  ASSERT_EQ (submit_once_ready (2, job_after ("req-12", { "req-11" })), 201u);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  size_t other = (leader + 1) % kControllers, third = (leader + 2) % kControllers;
  services.refuse_claims = true;
  controllers.kill (leader);
  EXPECT_EQ (cancel (other, "req-3"), "withdrawn");
  EXPECT_TRUE (reaches (third, "req-12", "withdrawn"));
  EXPECT_EQ (state_of (other, "req-12"), "withdrawn");
  // The next leader deletes the open rows of the cancelled jobs.
  services.refuse_claims = false;
  controllers.start (leader);
  EXPECT_TRUE (wait_for ([&] {
    json_t *all = services.store.dump ();
    bool gone = json_object_get (all, "o/req-12") == nullptr && json_object_get (all, "o/req-11") == nullptr;
    json_decref (all);
    return gone;
  }));
  EXPECT_EQ (state_of (other, "req-11"), "withdrawn");
}

TEST_F (Pipelines, OperatorsSeeTheDependenciesThatAJobWaitsFor)
{
  ASSERT_EQ (submit_once_ready (0, job ("req-3", 1)), 201u);
  ASSERT_EQ (submit_once_ready (1, job_after ("req-11", { "req-3" })), 201u);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  EXPECT_TRUE (wait_for ([&] { return admin_field ("req-11", "state") == "waiting"; }));
  EXPECT_EQ (admin_field ("req-11", "awaits"), "req-3");
  EXPECT_EQ (admin_field ("req-3", "awaited_by"), "req-11");
  EXPECT_EQ (admin_field ("req-11", "waits_for"), "jobs that it needs are not done");
  auto metrics = administer ("GET", leader, "/admin/metrics");
  const json_t *counters = json_object_get (metrics->body, "counters");
  EXPECT_EQ (json_integer_value (json_object_get (counters, "open_jobs")), 2);
  EXPECT_EQ (json_integer_value (json_object_get (counters, "waiting_jobs")), 1);
  for (const char *name : { "up_machines", "unused_machines", "quarantined_machines", "overdue_machines",
                            "reports_older", "reports_session_over", "state_queue_cancel", "state_queue_commit_longest",
                            "state_queue_read_refused", "polls_waiting" })
    EXPECT_TRUE (json_is_integer (json_object_get (counters, name))) << name;
}

} // namespace
