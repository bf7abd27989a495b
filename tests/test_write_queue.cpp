// The queue of writes: what a batch for the store takes, and in which order.
#include "scheduler_harness.hpp"

namespace {

// Chunks of done-sets due for each of three jobs.
struct ThreeJobsPartlyDone : OneMachine {
  ThreeJobsPartlyDone ()
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
  guint
  chunks (gboolean spare)
  {
    return commit_and_count (FT_WRITE_CHUNK, 110 * kS, spare);
  }
};

// Done-sets of many jobs took the changes that the ends of jobs and new starts waited for.
TEST (WriteQueue, DoneSetsLeaveChangesToUrgentWritesWhileNoneAreSpare)
{
  ThreeJobsPartlyDone harness;
  EXPECT_EQ (harness.chunks (FALSE), (guint) FT_CHUNKS_WITHOUT_SPARE);
  EXPECT_EQ (harness.chunks (FALSE), (guint) FT_CHUNKS_WITHOUT_SPARE)
      << "each batch takes some, so none waits for ever";
  EXPECT_EQ (harness.chunks (TRUE), 3u - 2u * FT_CHUNKS_WITHOUT_SPARE);
  EXPECT_EQ (harness.chunks (TRUE), 0u);
}

} // namespace
