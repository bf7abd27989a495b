// Unit tests of the job table: how jobs are added, wait for their dependencies, are cancelled and end.
#include "core_state.hpp"

namespace {

class JobTableModule : public testing::Test, protected CoreState {
protected:
  bool
  queued_to_write (const FtJob *job)
  {
    return g_queue_find (&job_table.pending_writes, job) != nullptr;
  }
};

TEST_F (JobTableModule, KnownOrEndedJobIsNotAddedAgain)
{
  FtJob *job = add_job (new_job_spec ("req-1", 3));
  EXPECT_EQ (add_job (new_job_spec ("req-1", 5)), job);
  EXPECT_EQ (job_table.open_tasks, 3u);
  ft_job_table_end (&job_table, job, FT_JOB_END_DONE);
  EXPECT_EQ (add_job (new_job_spec ("req-1", 3)), nullptr);
  EXPECT_EQ (job_table.open_tasks, 0u);
}

// ---- cancellation ----

TEST_F (JobTableModule, CancellationStopsSentAttemptsAndEndsUnsentOnes)
{
  FtMachine *machine = add_machine ("n-1");
  FtJob *job = add_job (new_job_spec ("req-1", 3));
  FtAttempt *sent = place (machine, job, 0, 1);
  sent->sent_sequence = 4;
  place (machine, job, 1, 2);
  ft_job_table_cancel (&job_table, job, 90 * kS);
  EXPECT_EQ (job->state, FT_JOB_CANCELLING);
  EXPECT_TRUE (ft_attempt_stop_requested (sent));
  EXPECT_EQ (job->tasks[0].state, FT_TASK_STARTING) << "the task keeps its state until its worker has stopped it";
  EXPECT_EQ (ft_machine_attempt (machine, "req-1", 1, 2), nullptr);
  EXPECT_EQ (job->counts[FT_TASK_CANCELLED], 2u);
  EXPECT_EQ (machine->cpus, 4);
}

TEST_F (JobTableModule, CancellationKeepsItsEarliestTime)
{
  FtJob *job = add_job (new_job_spec ("req-1", 1));
  for (auto [at, expected] : { std::pair (95, 95), std::pair (99, 95), std::pair (90, 90) }) {
    ft_job_table_cancel (&job_table, job, at * kS);
    EXPECT_EQ (job->cancelled_at, expected * kS);
  }
}

TEST_F (JobTableModule, OnlyACancellationReadFromTheStoreCancelsDependents)
{
  FtJob *job = add_job (new_job_spec ("req-1", 1));
  FtJob *dependent = add_job (new_dependent_spec ("req-2", { "req-1" }));
  ft_job_table_advisory_cancellation (&job_table, "req-1");
  EXPECT_EQ (job->state, FT_JOB_CANCELLING);
  EXPECT_FALSE (job->cancellation_read);
  EXPECT_FALSE (dependent->dependency_cancelled);
  ft_job_table_cancellation_read (&job_table, "req-1", 99 * kS);
  EXPECT_TRUE (job->cancellation_read);
  EXPECT_TRUE (dependent->dependency_cancelled);
  EXPECT_TRUE (queued_to_write (dependent));
}

// ---- the end of a job ----

TEST_F (JobTableModule, EndOfAJobDropsItsWritesAndDetachesItsAttempts)
{
  FtMachine *machine = add_machine ("n-1");
  FtJob *job = add_job (new_job_spec ("req-1", 3), FT_TASK_UNKNOWN);
  ft_task_set_state (job, 0, FT_TASK_QUEUED);
  FtAttempt *running = place (machine, job, 0, 1);
  FtAttempt *exited = ft_attempt_new (machine, job, "req-1", 1, 2);
  ft_attempt_set_state (exited, FT_ATTEMPT_EXITED);
  ft_job_queue_write (job);
  ft_job_table_end (&job_table, job, FT_JOB_END_CANCELLED);
  EXPECT_EQ (removed, std::vector<std::string>{ "req-1" });
  EXPECT_EQ (ft_job_table_find (&job_table, "req-1"), nullptr);
  EXPECT_EQ (g_queue_get_length (&job_table.pending_writes), 0u);
  EXPECT_EQ (job_table.open_tasks, 0u);
  EXPECT_EQ (quota.teams[0].unknown_cpus, 0);
  EXPECT_EQ (running->job, nullptr);
  EXPECT_TRUE (ft_attempt_stop_requested (running));
  EXPECT_EQ (exited->state, FT_ATTEMPT_FORGETTABLE);
}

// ---- dependencies ----

TEST_F (JobTableModule, JobOpensWhenItsLastDependencyIsDone)
{
  FtJob *first = add_job (new_job_spec ("req-1", 1)), *second = add_job (new_job_spec ("req-2", 1));
  FtJob *dependent = add_job (new_dependent_spec ("req-3", { "req-1", "req-2" }));
  EXPECT_EQ (dependent->state, FT_JOB_WAITING);
  ft_job_table_end (&job_table, first, FT_JOB_END_DONE);
  EXPECT_EQ (dependent->state, FT_JOB_WAITING);
  context.now = 120 * kS;
  context.placement_due = FALSE;
  ft_job_table_end (&job_table, second, FT_JOB_END_DONE);
  EXPECT_EQ (dependent->state, FT_JOB_OPEN);
  EXPECT_EQ (dependent->ready_at, 120 * kS);
  EXPECT_TRUE (context.placement_due);
}

TEST_F (JobTableModule, DependencyNotInTheTableIsReadAndItsDependentJobOpensOnceItIsDone)
{
  FtJob *dependent = add_job (new_dependent_spec ("req-2", { "req-1" }));
  EXPECT_STREQ (ft_job_table_next_unread (&job_table), "req-1");
  EXPECT_EQ (ft_job_table_next_unread (&job_table), nullptr) << "the dependency is not read again at once";
  context.now += ft_seconds (FT_DEPENDENCY_READ_EVERY_S);
  EXPECT_STREQ (ft_job_table_next_unread (&job_table), "req-1");
  ft_job_table_end_read (&job_table, "req-1", FT_JOB_END_DONE, 80 * kS);
  EXPECT_EQ (dependent->state, FT_JOB_OPEN);
}

} // namespace
