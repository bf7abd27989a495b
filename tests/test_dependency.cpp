// Tests of how the scheduler handles jobs with DAG dependencies.
#include "scheduler_harness.hpp"

extern "C" {
#include "wire/store.h"
}

namespace {

// A scheduler with one machine, to which a test adds jobs that depend on each other.
struct Pipeline : OneMachine {
  // Adds a submitted job, and returns it.
  FtJob *
  add (FtJobSpec *job_spec, gint64 now, guint64 revision)
  {
    std::string ref = job_spec->ref;
    ft_scheduler_job_added (scheduler, job_spec, revision, now, now / 1000);
    return job (ref.c_str ());
  }
  // The writes that are due now; the caller reports whether they are committed.
  GPtrArray *
  writes (gint64 now)
  {
    return ft_scheduler_next_writes (scheduler, 11, TRUE, now);
  }
  // Whether the list contains a write of the given kind for the job `ref`.
  bool
  has (GPtrArray *list, FtWriteKind kind, const std::string &ref)
  {
    for (guint i = 0; i < list->len; i++) {
      auto write = (const FtWrite *) g_ptr_array_index (list, i);
      if (write->kind == kind && ref == write->name)
        return true;
    }
    return false;
  }
  // Starts the job's only task and reports its completion; the end of the job is not committed yet.
  void
  run_to_its_end (const char *ref, gint64 at, guint64 sequence)
  {
    g_autoptr (GArray) first = exchange (at, sequence);
    commit_writes (at); // commits the raised dispatch watermark
    g_autoptr (GArray) starts = exchange (at + kS, sequence + 1);
    ASSERT_NE (job (ref)->tasks[0].attempt, nullptr);
    guint64 attempt = job (ref)->tasks[0].attempt->id;
    g_autoptr (GArray) none
        = exchange (at + 2 * kS, sequence + 2, { task_status (ref, 0, attempt, FT_TASK_PHASE_EXITED, FT_EXIT_DONE) });
  }
};

// A dependency counts as done once its end is committed. A heartbeat that reports the dependency's last task as done
// does not suffice, nor does a pending or failed write of the end.
TEST (Dependencies, JobStartsOnlyAfterTheEndOfItsDependencyIsCommitted)
{
  Pipeline pipeline;
  pipeline.add (new_job_spec ("req-1", 1), 101 * kS, 5);
  FtJob *second = pipeline.add (new_dependent_spec ("req-2", { "req-1" }), 101 * kS, 6);
  pipeline.run_to_its_end ("req-1", 102 * kS, 2);
  EXPECT_EQ (second->state, FT_JOB_WAITING);
  g_autoptr (GPtrArray) writes = pipeline.writes (105 * kS);
  ASSERT_TRUE (pipeline.has (writes, FT_WRITE_JOB_DONE, "req-1"));
  ft_scheduler_place (pipeline.scheduler, 105 * kS, TRUE);
  EXPECT_EQ (second->tasks[0].attempt, nullptr);
  ft_scheduler_writes_failed (pipeline.scheduler, writes, nullptr, 105 * kS);
  EXPECT_EQ (second->state, FT_JOB_WAITING) << "the write of the end failed, so the dependency is not done";
  pipeline.commit_writes (106 * kS);
  EXPECT_EQ (second->state, FT_JOB_OPEN);
  EXPECT_EQ (second->ready_at, 106 * kS);
  g_autoptr (GArray) answer = pipeline.exchange (107 * kS, 6);
  EXPECT_NE (second->tasks[0].attempt, nullptr);
}

// While a job waits for a dependency, it is not placed, takes nothing of its team's guaranteed share, and does not
// starve.
TEST (Dependencies, WaitingJobIsNeitherInThePlacementOrderNorGuaranteedNorStarved)
{
  Pipeline pipeline;
  pipeline.add (new_job_spec ("req-1", 1), 101 * kS, 5);
  FtJob *waiting = pipeline.add (new_dependent_spec ("req-2", { "req-1" }, 4), 101 * kS, 6);
  for (gint64 at = 102; at < 400; at++) {
    ft_scheduler_tick (pipeline.scheduler, at * kS, TRUE);
    ASSERT_FALSE (waiting->starved) << "a job that waits for a dependency must not count as starved";
  }
  EXPECT_FALSE (pipeline.in_placement_order (waiting)) << "guarantees and scaling must not count the job";
  EXPECT_FALSE (waiting->guaranteed);
  EXPECT_EQ (waiting->team->unknown_cpus, 0);
}

// A cancellation cascades to all dependents once the leader has read it from the store. A peer's report of the
// cancellation (an advisory) is not enough.
TEST (Dependencies, JobIsCancelledWithItsDependency)
{
  Pipeline pipeline;
  pipeline.add (new_job_spec ("req-1", 1), 101 * kS, 5);
  pipeline.add (new_dependent_spec ("req-2", { "req-1" }), 101 * kS, 6);
  pipeline.add (new_dependent_spec ("req-3", { "req-2" }), 101 * kS, 7);
  ft_scheduler_advisory_cancellation (pipeline.scheduler, "req-1", 102 * kS);
  g_autoptr (GPtrArray) none = pipeline.writes (102 * kS);
  EXPECT_FALSE (pipeline.has (none, FT_WRITE_JOB_CANCELLED, "req-2"))
      << "an advisory is no evidence of a committed cancellation";
  ft_scheduler_job_cancelled (pipeline.scheduler, "req-1", 0, 103 * kS);
  g_autoptr (GPtrArray) writes = pipeline.writes (103 * kS);
  EXPECT_TRUE (pipeline.has (writes, FT_WRITE_JOB_CANCELLED, "req-2"));
  EXPECT_TRUE (pipeline.has (writes, FT_WRITE_JOB_CANCELLED, "req-3"));
  ft_scheduler_writes_committed (pipeline.scheduler, writes, 103 * kS);
  EXPECT_EQ (pipeline.job ("req-2"), nullptr);
  FtJob *later = pipeline.add (new_dependent_spec ("req-4", { "req-3" }), 104 * kS, 9);
  ASSERT_NE (later, nullptr);
  EXPECT_TRUE (later->dependency_cancelled) << "a job that is added after the cancellation is cancelled too";
}

// A user cancels a job while the leader cancels the same job because its dependency was cancelled. The user's
// cancellation is committed first, so the leader's write of the cancellation conflicts and is not repeated.
TEST (Dependencies, UsersCancellationPrevailsIfItIsCommittedFirst)
{
  Pipeline pipeline;
  pipeline.add (new_job_spec ("req-1", 1), 101 * kS, 5);
  pipeline.add (new_dependent_spec ("req-2", { "req-1" }), 101 * kS, 6);
  ft_scheduler_job_cancelled (pipeline.scheduler, "req-1", 0, 103 * kS);
  g_autoptr (GPtrArray) writes = pipeline.writes (103 * kS);
  ASSERT_TRUE (pipeline.has (writes, FT_WRITE_JOB_CANCELLED, "req-2"));
  json_t *body = json_pack ("{s:[s]}", "failed", "j/req-2");
  const char *conflicted = nullptr;
  EXPECT_EQ (ft_store_batch_conflict (body, writes, &conflicted), FT_BATCH_CONFLICT_JOB);
  EXPECT_STREQ (conflicted, "req-2");
  json_decref (body);
  ft_scheduler_writes_failed (pipeline.scheduler, writes, "req-2", 103 * kS);
  ft_scheduler_job_conflict_resolved (pipeline.scheduler, "req-2", FALSE, 104 * kS);
  ft_scheduler_job_cancelled (pipeline.scheduler, "req-2", 0, 104 * kS);
  g_autoptr (GPtrArray) next = pipeline.writes (104 * kS);
  EXPECT_TRUE (pipeline.has (next, FT_WRITE_JOB_STOPPED, "req-2"));
  EXPECT_FALSE (pipeline.has (next, FT_WRITE_JOB_CANCELLED, "req-2"));
}

// A new leader does not assume that a dependency is done because it is not among the open jobs: it reads the
// dependency's row.
TEST (Dependencies, NewLeaderReadsTheRowsOfUnknownDependencies)
{
  SchedulerHarness harness;
  ft_scheduler_load_job (harness.scheduler, new_dependent_spec ("req-2", { "req-1", "req-3" }), 6, 100 * kS, 100000);
  ft_scheduler_load_job (harness.scheduler, new_job_spec ("req-3", 1), 5, 100 * kS, 100000);
  EXPECT_EQ (ft_scheduler_next_unread_job (harness.scheduler, 100 * kS), nullptr)
      << "a dependency is unknown only after all open jobs are loaded";
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  EXPECT_STREQ (ft_scheduler_next_unread_job (harness.scheduler, 100 * kS), "req-1");
  EXPECT_EQ (ft_scheduler_next_unread_job (harness.scheduler, 100 * kS), nullptr)
      << "req-1 is returned only once, and the open req-3 is not returned";
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_WAITING);
  ft_scheduler_job_end_read (harness.scheduler, "req-1", FT_JOB_END_DONE, 30 * kS, 101 * kS);
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_WAITING);
  ft_scheduler_job_end_read (harness.scheduler, "req-3", FT_JOB_END_DONE, 0, 101 * kS);
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_WAITING) << "an open job ends only by its own committed write";
  ft_scheduler_job_cancelled (harness.scheduler, "req-3", 0, 102 * kS);
  EXPECT_TRUE (harness.job ("req-2")->dependency_cancelled);
}

TEST (Dependencies, ReadyTimeAfterAFailoverIsTheEndOfTheLastDependency)
{
  SchedulerHarness harness;
  FtJobSpec *job = new_dependent_spec ("req-2", { "req-1" });
  job->submitted_wall_ms = 10000;
  job->deadline_s = 200;
  ft_scheduler_load_job (harness.scheduler, job, 6, 100 * kS, 100000);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  ft_scheduler_job_end_read (harness.scheduler, "req-1", FT_JOB_END_DONE, 30 * kS, 101 * kS);
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_OPEN);
  EXPECT_EQ (harness.job ("req-2")->ready_at, 71 * kS);
  EXPECT_EQ (harness.job ("req-2")->deadline_at, 210 * kS) << "the deadline counts from the submission";
}

// A job's stored dispatch watermark limits its starts: only tasks with an index below it are sent to machines. A raised
// watermark is committed evidence that all dependencies of the job were done, so their rows are not read again.
TEST (Dependencies, StartedJobNeedsNoReadOfItsDependencies)
{
  SchedulerHarness harness;
  FtJobSpec *job = new_dependent_spec ("req-2", { "req-1" }, 4);
  job->dispatch_watermark = 2;
  ft_scheduler_load_job (harness.scheduler, job, 6, 100 * kS, 100000);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_OPEN);
  EXPECT_EQ (ft_scheduler_next_unread_job (harness.scheduler, 100 * kS), nullptr);
}

TEST (Dependencies, JobInheritsThePriorityAndDeadlineOfItsDependent)
{
  Pipeline pipeline;
  FtJobSpec *low = new_job_spec ("req-1", 1);
  low->priority = FT_PRIORITY_LOW;
  FtJob *first = pipeline.add (low, 101 * kS, 5);
  FtJobSpec *high = new_dependent_spec ("req-2", { "req-1" });
  high->priority = FT_PRIORITY_HIGH;
  high->deadline_s = 60;
  high->submitted_wall_ms = 101000;
  pipeline.add (high, 101 * kS, 6);
  EXPECT_EQ (first->priority, FT_PRIORITY_HIGH);
  EXPECT_GT (first->deadline_at, 0);
  EXPECT_EQ (first->deadline_at, pipeline.job ("req-2")->deadline_at);
}

} // namespace
