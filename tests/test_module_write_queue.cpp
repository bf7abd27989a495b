// Unit tests of the write queue: the order of writes in a batch, and the effects of a commit, a failure and a conflict.
#include "core_state.hpp"

extern "C" {
#include "core/write_queue.h"
}

namespace {

// One write of each urgency is due, from the most urgent to the least: a registry row, the end of job "done", a
// dispatch watermark of job "more", a chunk of the done-set of job "part", and the deletion of a chunk of the ended job
// "older". The jobs are queued in the reverse of this order.
class WriteQueueModule : public testing::Test, protected CoreState {
protected:
  FtRegistry registry{};
  FtWriteQueue queue{};
  FtMachine *machine = nullptr;
  FtAttempt *finished = nullptr; // the attempt of the finished task of "part"
  void
  SetUp () override
  {
    ft_registry_init (&registry, &context, &machine_table);
    ft_write_queue_init (&queue, &context, &job_table, &registry);
    machine = add_machine ("n-1");
    ft_registry_add (&registry, machine);
    finished = place (machine, add_job (new_job_spec ("part", 2)), 0, 1);
    ft_attempt_set_state (finished, FT_ATTEMPT_EXITED);
    ft_task_set_state (job ("part"), 0, FT_TASK_FINISHED);
    FtJobSpec *more = new_job_spec ("more", 3);
    more->dispatch_watermark = 1;
    add_job (more)->wanted_watermark = 2;
    ft_job_queue_write (job ("more"));
    ft_task_set_state (add_job (new_job_spec ("done", 1)), 0, FT_TASK_FINISHED);
    ft_write_queue_delete_chunk (&queue, "older", 4);
  }
  void
  TearDown () override
  {
    ft_write_queue_clear (&queue);
    ft_registry_clear (&registry);
  }
  GPtrArray *
  next (guint ops = 12)
  {
    return ft_write_queue_next (&queue, ops, TRUE);
  }
  void
  fail (const char *conflicted)
  {
    g_autoptr (GPtrArray) writes = next ();
    ft_write_queue_failed (&queue, writes, conflicted);
  }
};

std::vector<std::string>
listing (const GPtrArray *writes)
{
  static const char *const kinds[]
      = { "row", "row delete", "drain delete", "watermark", "chunk", "chunk delete", "done", "stopped", "cancelled" };
  std::vector<std::string> lines;
  for (guint i = 0; i < writes->len; i++)
    lines.push_back (std::string (kinds[write_at (writes, i)->kind]) + " " + write_at (writes, i)->name);
  return lines;
}

using Lines = std::vector<std::string>;
const Lines all_writes = { "row 7-0", "done done", "watermark more", "chunk part", "chunk delete older" };

TEST_F (WriteQueueModule, BatchTakesTheMostUrgentWritesFirst)
{
  g_autoptr (GPtrArray) writes = next ();
  EXPECT_EQ (listing (writes), all_writes);
  ft_write_queue_committed (&queue, writes);
  g_autoptr (GPtrArray) rest = next ();
  EXPECT_EQ (listing (rest), Lines{}) << "a committed write was written again";
}

TEST_F (WriteQueueModule, BatchHasNoMoreChangesThanAllowedAndLaterBatchesTakeTheRest)
{
  g_autoptr (GPtrArray) first = next (2); // the end of a job takes two changes and does not fit beside the row
  EXPECT_EQ (listing (first), (Lines{ "row 7-0", "watermark more" }));
  ft_write_queue_committed (&queue, first);
  g_autoptr (GPtrArray) second = next (3);
  EXPECT_EQ (listing (second), (Lines{ "done done", "chunk part" }));
  ft_write_queue_committed (&queue, second);
  g_autoptr (GPtrArray) third = next (2);
  EXPECT_EQ (listing (third), Lines{ "chunk delete older" });
}

TEST_F (WriteQueueModule, CommitRegistersMachinesRaisesWatermarksMarksTasksDoneAndEndsJobs)
{
  g_autoptr (GPtrArray) writes = next ();
  EXPECT_FALSE (machine->registered);
  EXPECT_EQ (job ("more")->spec->dispatch_watermark, 1u);
  ft_write_queue_committed (&queue, writes);
  EXPECT_TRUE (machine->registered);
  EXPECT_EQ (job ("more")->spec->dispatch_watermark, 2u);
  EXPECT_EQ (job ("part")->tasks[0].state, FT_TASK_DONE);
  EXPECT_EQ (ft_machine_attempt (machine, "part", 0, 1), nullptr)
      << "the result is committed, so the attempt has ended";
  EXPECT_EQ (removed, Lines{ "done" });
}

TEST_F (WriteQueueModule, FailedBatchHasNoEffectAndAllItsWritesAreQueuedAgain)
{
  fail (nullptr);
  EXPECT_FALSE (machine->registered);
  EXPECT_EQ (job ("more")->spec->dispatch_watermark, 1u);
  EXPECT_EQ (job ("part")->tasks[0].state, FT_TASK_FINISHED);
  EXPECT_EQ (removed, Lines{});
  g_autoptr (GPtrArray) again = next ();
  EXPECT_EQ (listing (again), all_writes);
}

TEST_F (WriteQueueModule, EndOfAJobThatConflictsWaitsUntilTheStateRowHasBeenRead)
{
  fail ("done");
  g_autoptr (GPtrArray) others = next ();
  EXPECT_EQ (listing (others), (Lines{ "row 7-0", "watermark more", "chunk part", "chunk delete older" }));
  ft_write_queue_committed (&queue, others);
  ft_write_queue_job_still_open (&queue, "done", 9);
  g_autoptr (GPtrArray) again = next ();
  ASSERT_EQ (listing (again), Lines{ "done done" });
  EXPECT_EQ (write_at (again, 0)->revision, 9u);
}

TEST_F (WriteQueueModule, ConflictWithAStateRowThatIsDoneEndsTheJob)
{
  fail ("done");
  ft_write_queue_conflict_resolved (&queue, "done", TRUE);
  EXPECT_EQ (removed, Lines{ "done" });
}

TEST_F (WriteQueueModule, ConflictWithACancelledStateRowCancelsTheJobAndDelaysItsEndUntilTheCancellationIsRead)
{
  fail ("done");
  ft_write_queue_conflict_resolved (&queue, "done", FALSE);
  EXPECT_EQ (job ("done")->state, FT_JOB_CANCELLING);
  g_autoptr (GPtrArray) others = next ();
  EXPECT_EQ (listing (others), (Lines{ "row 7-0", "watermark more", "chunk part", "chunk delete older" }));
  ft_write_queue_committed (&queue, others);
  ft_job_table_cancellation_read (&job_table, "done", context.now);
  g_autoptr (GPtrArray) end = next ();
  EXPECT_EQ (listing (end), Lines{ "stopped done" });
}

} // namespace
