// The transactions that controllers send to the key-value store, and what a leader reads from the
// answers to its batches.
#include <memory>
#include <string>

#include "json_text.hpp"
#include "scheduler_harness.hpp"

extern "C" {
#include "wire/store.h"
}

namespace {

constexpr gint64 kWallMs = 1700000000000;

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

} // namespace
