// The write queue: which writes a batch takes, and in which order.
#include "scheduler_harness.hpp"

namespace {

// Three jobs that each have a chunk of their done-set to write.
struct ThreePartlyDoneJobs : OneMachine {
  ThreePartlyDoneJobs ()
  {
    guint64 sequence = 2;
    for (const char *ref : { "req-1", "req-2", "req-3" }) {
      FtJobSpec *job_spec = new_job_spec (ref, 2);
      job_spec->cpus = 2;
      ft_scheduler_job_added (scheduler, job_spec, 5, 101 * kS, 0);
    }
    g_autoptr (GArray) starts = exchange (102 * kS, sequence++);
    std::vector<FtTaskStatus> ended;
    for (const char *ref : { "req-1", "req-2", "req-3" })
      if (const FtAttempt *attempt = job (ref)->tasks[0].attempt)
        ended.push_back (task_status (ref, 0, attempt->id, FT_TASK_PHASE_EXITED, FT_EXIT_DONE));
    g_autoptr (GArray) none = exchange (103 * kS, sequence++, ended);
  }
  // Commits one batch and returns how many chunks it contained.
  guint
  commit_chunks (gboolean spare)
  {
    return commit_and_count (FT_WRITE_CHUNK, 110 * kS, spare);
  }
};

// Guards against a delay of urgent writes: chunks of many done-sets took all changes that a batch may contain, while
// ends of jobs and new starts waited.
TEST (WriteQueue, BatchWritesFewChunksWhileTheStoreHasCapacityForUrgentChangesOnly)
{
  ThreePartlyDoneJobs harness;
  EXPECT_EQ (harness.commit_chunks (FALSE), (guint) FT_CHUNKS_WITHOUT_SPARE);
  EXPECT_EQ (harness.commit_chunks (FALSE), (guint) FT_CHUNKS_WITHOUT_SPARE)
      << "each batch takes some chunks, so no chunk waits for ever";
  EXPECT_EQ (harness.commit_chunks (TRUE), 3u - 2u * FT_CHUNKS_WITHOUT_SPARE);
  EXPECT_EQ (harness.commit_chunks (TRUE), 0u);
}

} // namespace
