// Tests of the state transitions of tasks and jobs, and of the done-set of a job, which records the tasks that are
// done.
#include "scheduler_harness.hpp"

namespace {

TEST (Task, IllegalStateTransitionsAreRefused)
{
  FtJob *job = ft_job_new (new_job_spec ("req-1", 2), nullptr, 1, FT_TASK_QUEUED);
  EXPECT_FALSE (ft_task_set_state (job, 0, FT_TASK_DONE));
  EXPECT_TRUE (ft_task_set_state (job, 0, FT_TASK_STARTING));
  EXPECT_TRUE (ft_task_set_state (job, 0, FT_TASK_FINISHED));
  EXPECT_TRUE (ft_task_set_state (job, 0, FT_TASK_DONE));
  for (FtTaskState to : { FT_TASK_QUEUED, FT_TASK_RUNNING, FT_TASK_CANCELLED, FT_TASK_UNKNOWN })
    EXPECT_FALSE (ft_task_set_state (job, 0, to));
  EXPECT_EQ (job->counts[FT_TASK_DONE], 1u);
  EXPECT_EQ (job->counts[FT_TASK_QUEUED], 1u);
  EXPECT_TRUE (ft_job_set_state (job, FT_JOB_CANCELLING, "test"));
  EXPECT_FALSE (ft_job_set_state (job, FT_JOB_OPEN, "test"));
  ft_job_free (job);
}

TEST (Job, DoneSetIsDividedIntoChunksThatFitTheValueLimitOfTheStore)
{
  FtJob *job = ft_job_new (new_job_spec ("req-1", FT_JOB_TASKS_MAX), nullptr, 1, FT_TASK_QUEUED);
  ASSERT_EQ (ft_job_chunk_count (job), (FT_JOB_TASKS_MAX + FT_DONE_CHUNK_TASKS - 1) / FT_DONE_CHUNK_TASKS);
  ft_task_set_state (job, FT_DONE_CHUNK_TASKS + 9, FT_TASK_STARTING);
  ft_task_set_state (job, FT_DONE_CHUNK_TASKS + 9, FT_TASK_FINISHED);
  g_autofree char *bits = ft_job_chunk_bits (job, 1);
  EXPECT_LT (strlen (bits), 1024u);
  gsize size;
  g_autofree guchar *raw = g_base64_decode (bits, &size);
  EXPECT_EQ (raw[1], 2);
  EXPECT_EQ (raw[0], 0);
  ft_job_free (job);
}

} // namespace
