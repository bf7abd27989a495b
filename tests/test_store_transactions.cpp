// The transactions that controllers send to the key-value store, what a leader reads from the
// answers to its batches, and how rows come into its scheduler.
#include <memory>
#include <string>

#include "json_text.hpp"
#include "scheduler_harness.hpp"

extern "C" {
#include "wire/fields.h"
#include "wire/store.h"
}

namespace {

constexpr gint64 kWallMs = 1700000000000;
constexpr gint64 kNow = 101 * kS;

struct JsonFree {
  void
  operator() (json_t *value) const
  {
    json_decref (value);
  }
};
using Json = std::unique_ptr<json_t, JsonFree>;

// With the members in the order in which they are sent.
std::string
text_of (const json_t *value)
{
  g_autofree char *text = json_dumps (value, JSON_COMPACT);
  return text;
}

// Takes the value over.
std::string
take_text (json_t *value)
{
  Json owned (value);
  return text_of (owned.get ());
}

// ---- the lease ----

TEST (LeaseTransactions, AClaimIsConditionalOnTheFence)
{
  FtLeaseClaim claim{};
  claim.token = 4;
  claim.fence_revision = 17;
  claim.renewal_revision = 19;
  EXPECT_EQ (take_text (ft_txn_claim (&claim, "node-1", 77, 9000999)),
             "{\"if\":[{\"key\":\"l/fence\",\"stamp\":17}],\"apply\":["
             "{\"write\":\"l/fence\",\"data\":{\"token\":4,\"holder\":\"node-1\",\"incarnation\":77}},"
             "{\"write\":\"l/renewal\",\"data\":{\"token\":4,\"lease_ms\":9000,\"released\":false}},"
             "{\"write\":\"l/journal\",\"data\":{\"token\":4,\"batch\":0}}]}");
}

TEST (LeaseTransactions, AClaimFromALivingHolderIsConditionalOnItsRenewalToo)
{
  FtLeaseClaim claim{};
  claim.token = 4;
  claim.fence_revision = 17;
  claim.renewal_revision = 19;
  claim.check_renewal = TRUE;
  Json txn (ft_txn_claim (&claim, "node-1", 77, 9000000));
  EXPECT_EQ (text_of (json_object_get (txn.get (), "if")),
             "[{\"key\":\"l/fence\",\"stamp\":17},{\"key\":\"l/renewal\",\"stamp\":19}]");
}

TEST (LeaseTransactions, ARenewalAndAReleaseDifferInOneMember)
{
  EXPECT_EQ (take_text (ft_txn_renew (17, 4, 9000000, FALSE)),
             "{\"if\":[{\"key\":\"l/fence\",\"stamp\":17}],\"apply\":["
             "{\"write\":\"l/renewal\",\"data\":{\"token\":4,\"lease_ms\":9000,\"released\":false}}]}");
  EXPECT_EQ (take_text (ft_txn_renew (17, 4, 9000000, TRUE)),
             "{\"if\":[{\"key\":\"l/fence\",\"stamp\":17}],\"apply\":["
             "{\"write\":\"l/renewal\",\"data\":{\"token\":4,\"lease_ms\":9000,\"released\":true}}]}");
}

// ---- jobs ----

TEST (JobTransactions, ASubmissionWritesBothRowsIfThereIsNone)
{
  g_autoptr (FtJobSpec) spec = new_job_spec ("req-1", 3);
  std::string open_row = take_text (ft_row_open (spec));
  EXPECT_EQ (take_text (ft_txn_submit (spec)), "{\"if\":[{\"key\":\"j/req-1\",\"stamp\":0}],\"apply\":["
                                               "{\"write\":\"j/req-1\",\"data\":{\"state\":\"open\",\"tasks\":3}},"
                                               "{\"write\":\"o/req-1\",\"data\":"
                                                   + open_row + "}]}");
}

TEST (JobTransactions, AJobAcceptedAsCancelledHasNoOpenRow)
{
  g_autoptr (FtJobSpec) spec = new_job_spec ("req-1", 3);
  EXPECT_EQ (take_text (ft_txn_submit_cancelled (spec, kWallMs)),
             "{\"if\":[{\"key\":\"j/req-1\",\"stamp\":0}],\"apply\":["
             "{\"write\":\"j/req-1\",\"data\":{\"state\":\"cancelled\",\"tasks\":3,\"ended_ms\":1700000000000}}]}");
}

TEST (JobTransactions, ACancellationEndsTheJobAndNotifiesTheLeader)
{
  EXPECT_EQ (take_text (ft_txn_cancel ("req-1", 23, 3, kWallMs)),
             "{\"if\":[{\"key\":\"j/req-1\",\"stamp\":23}],\"apply\":["
             "{\"write\":\"j/req-1\",\"data\":{\"state\":\"cancelled\",\"tasks\":3,\"ended_ms\":1700000000000}},"
             "{\"write\":\"o/req-1/w\",\"data\":{\"at_ms\":1700000000000}}]}");
}

// ---- the leader's batches ----

// Of req-1 (done, conditional), a chunk of req-2 and the end of req-3 (cancelled, conditional).
GPtrArray *
new_writes ()
{
  GPtrArray *writes = g_ptr_array_new_with_free_func ((GDestroyNotify) ft_write_free);
  FtWrite *done = ft_write_new (FT_WRITE_JOB_DONE, "req-1");
  done->revision = 31;
  done->tasks = 2;
  g_ptr_array_add (writes, done);
  g_ptr_array_add (writes, ft_write_new (FT_WRITE_CHUNK_DELETE, "req-2"));
  FtWrite *cancelled = ft_write_new (FT_WRITE_JOB_CANCELLED, "req-3");
  cancelled->revision = 33;
  g_ptr_array_add (writes, cancelled);
  return writes;
}

TEST (WriteBatch, IsConditionalOnTheFenceAndTheJournalAndTheRowsOfEndedJobs)
{
  FtBatchHeader header{};
  header.token = 4;
  header.number = 6;
  header.fence_revision = 17;
  header.journal_revision = 29;
  g_autoptr (GPtrArray) writes = new_writes ();
  Json txn (ft_txn_write_batch (&header, writes, kWallMs));
  EXPECT_EQ (text_of (json_object_get (txn.get (), "if")),
             "[{\"key\":\"l/fence\",\"stamp\":17},{\"key\":\"l/journal\",\"stamp\":29},"
             "{\"key\":\"j/req-1\",\"stamp\":31},{\"key\":\"j/req-3\",\"stamp\":33}]");
  EXPECT_EQ (text_of (json_array_get (json_object_get (txn.get (), "apply"), 0)),
             "{\"write\":\"l/journal\",\"data\":{\"token\":4,\"batch\":6}}");
  EXPECT_EQ (ft_txn_change_count (txn.get ()), 6u);
}

FtBatchConflict
conflict_of (const char *body, const char **ref)
{
  static GPtrArray *writes = new_writes ();
  Json answer (parse_json (body));
  return ft_store_batch_conflict (answer.get (), writes, ref);
}

TEST (WriteBatch, TheMostFarReachingConflictCounts)
{
  const char *ref = "unset";
  EXPECT_EQ (conflict_of ("{\"failed\":[\"j/req-1\",\"l/journal\",\"l/fence\"]}", &ref), FT_BATCH_CONFLICT_FENCE);
  EXPECT_EQ (ref, nullptr);
  ref = "unset";
  EXPECT_EQ (conflict_of ("{\"failed\":[\"j/req-1\",\"l/journal\"]}", &ref), FT_BATCH_CONFLICT_JOURNAL);
  EXPECT_EQ (ref, nullptr);
  EXPECT_EQ (conflict_of ("{\"failed\":[\"j/req-3\",\"j/req-1\"]}", &ref), FT_BATCH_CONFLICT_JOB);
  EXPECT_STREQ (ref, "req-1") << "the first among the writes";
}

TEST (WriteBatch, AConflictOfNoneOfItsConditionsIsUnknown)
{
  for (const char *body : { "{\"failed\":[\"j/req-2\"]}", "{\"failed\":[\"j/req-9\"]}", "{\"failed\":[]}",
                            "{\"failed\":\"l/fence\"}", "{}" }) {
    const char *ref = "unset";
    EXPECT_EQ (conflict_of (body, &ref), FT_BATCH_CONFLICT_UNKNOWN) << body;
    EXPECT_EQ (ref, nullptr) << body;
  }
}

FtBatchOutcome
outcome_by (const char *journal)
{
  Json value (parse_json (journal));
  FtRow row = { FT_KEY_JOURNAL, value.get (), 29 };
  return ft_batch_outcome (&row, 4, 6);
}

TEST (WriteBatch, TheJournalRowTellsWhatBecameOfIt)
{
  EXPECT_EQ (outcome_by ("{\"token\":4,\"batch\":6}"), FT_BATCH_OUTCOME_APPLIED);
  EXPECT_EQ (outcome_by ("{\"token\":4,\"batch\":5}"), FT_BATCH_OUTCOME_NOT_APPLIED);
  EXPECT_EQ (outcome_by ("{\"token\":5,\"batch\":6}"), FT_BATCH_OUTCOME_SUPERSEDED);
  EXPECT_EQ (outcome_by ("{}"), FT_BATCH_OUTCOME_SUPERSEDED) << "a row that cannot be read is not this leader's";
}

// ---- rows into the scheduler ----

struct RowIntake : testing::Test {
  SchedulerHarness harness;
  // The row with that value at revision 40; a null value is that of a deletion.
  gboolean
  take (const char *key, json_t *value, GError **error = nullptr)
  {
    Json owned (value);
    FtRow row = { key, value, 40 };
    return ft_row_apply (harness.scheduler, &row, kNow, kWallMs, error);
  }
  gboolean
  take_open (const char *ref, guint tasks)
  {
    g_autoptr (FtJobSpec) spec = new_job_spec (ref, tasks);
    g_autofree char *key = ft_key_open (ref);
    return take (key, ft_row_open (spec));
  }
};

TEST_F (RowIntake, AnOpenJobsRowIsLoadedAndLaterAdded)
{
  EXPECT_TRUE (take_open ("req-1", 3));
  ASSERT_NE (harness.job ("req-1"), nullptr);
  ft_scheduler_loaded (harness.scheduler, kNow);
  EXPECT_TRUE (take_open ("req-2", 2));
  ASSERT_NE (harness.job ("req-2"), nullptr);
  EXPECT_EQ (ft_scheduler_open_tasks (harness.scheduler), 5u);
}

TEST_F (RowIntake, ACancellationStopsItsJob)
{
  EXPECT_TRUE (take_open ("req-1", 3));
  EXPECT_TRUE (take ("o/req-1/w", ft_row_cancellation (kWallMs - 5)));
  ASSERT_TRUE (ft_scheduler_job_progress (harness.scheduler, "req-1").cancelled);
  EXPECT_EQ (harness.job ("req-1")->cancelled_at, kNow - 5 * FT_MILLISECOND);
}

TEST_F (RowIntake, ADeletionIsIgnored)
{
  EXPECT_TRUE (take_open ("req-1", 3));
  EXPECT_TRUE (take ("o/req-1", nullptr));
  EXPECT_TRUE (take ("o/req-2", nullptr));
  EXPECT_NE (harness.job ("req-1"), nullptr);
  EXPECT_EQ (harness.job ("req-2"), nullptr);
}

TEST_F (RowIntake, AMalformedJobIsNamedAndNotScheduled)
{
  g_autoptr (GError) error = nullptr;
  EXPECT_FALSE (take ("o/req-1", parse_json ("{\"class\":7}"), &error));
  ASSERT_TRUE (g_error_matches (error, FT_WIRE_ERROR, FT_WIRE_ERROR_INVALID_FIELD)) << error->message;
  EXPECT_TRUE (g_str_has_prefix (error->message, "job req-1: its row cannot be read, so it is not scheduled: "))
      << error->message;
  EXPECT_EQ (harness.job ("req-1"), nullptr);
}

TEST_F (RowIntake, MachinesOfARegistryRowAreLoadedAsFarAsTheyCanBeRead)
{
  const char *whole = "{\"name\":\"n-1\",\"addr\":\"a:1\",\"type\":\"std\",\"zone\":\"a\",\"spot\":false}";
  g_autofree char *text = g_strdup_printf ("{\"machines\":[%s,{\"name\":\"n-2\"}]}", whole);
  g_autoptr (GError) error = nullptr;
  EXPECT_FALSE (take ("m/7", parse_json (text), &error));
  ASSERT_TRUE (g_error_matches (error, FT_WIRE_ERROR, FT_WIRE_ERROR_INVALID_FIELD));
  EXPECT_STREQ (error->message, "machine m/7: its row cannot be read");
  EXPECT_NE (harness.machine ("n-1"), nullptr);
  EXPECT_EQ (harness.machine ("n-2"), nullptr);
}

TEST_F (RowIntake, AChunkMarksItsTasksDone)
{
  EXPECT_TRUE (take_open ("req-1", 3));
  EXPECT_TRUE (take ("d/req-1/0", parse_json ("{\"bits\":7}"))) << "unreadable: its tasks run again";
  EXPECT_EQ (ft_scheduler_job_progress (harness.scheduler, "req-1").done, 0u);
  EXPECT_TRUE (take ("d/req-1/0", ft_row_chunk ("Aw=="))); // the first two
  EXPECT_EQ (ft_scheduler_job_progress (harness.scheduler, "req-1").done, 2u);
}

TEST_F (RowIntake, OtherRowsAreIgnored)
{
  EXPECT_TRUE (take ("l/fence", ft_row_fence (4, "node-1", 77)));
  EXPECT_TRUE (take ("j/req-1", parse_json ("{\"state\":\"open\",\"tasks\":3}")));
  EXPECT_EQ (harness.job ("req-1"), nullptr);
}

} // namespace
