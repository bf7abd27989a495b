// The leader's writes. The scheduler's changes are committed in batches. Each batch is conditional
// on the fence row, which names the lease's holder, and on the journal row, which holds the number
// of the last batch, so that no batch is applied twice or after a later one.
#include "node.hpp"

#include <gtest/gtest.h>

#include "world.hpp"

extern "C" {
#include "wire/store.h"
}

namespace sim {

// Delay before the retry of a refused batch.
static constexpr Time kRetryAfter = kSecond / 5;

const FtSettings &
Node::own_settings () const
{
  return runs_previous_version ? world_.previous_settings : world_.settings;
}

Json
Node::batch_transaction (const PointerArray &writes, guint64 batch) const
{
  FtBatchHeader header{};
  header.token = ft_lease_token (lease_.get ());
  header.number = batch;
  header.fence_revision = ft_lease_fence_revision (lease_.get ());
  header.journal_revision = journal_revision_;
  // The previous version of the program wrote no wall time into rows; 0 stands for that.
  gint64 wall_ms = runs_previous_version ? 0 : world_.now / 1000;
  return adopt (ft_txn_write_batch (&header, writes.get (), wall_ms));
}

// Commits the scheduler's next writes. At most one batch is in flight.
void
Node::commit_batch ()
{
  if (batching_)
    return;
  guint most = own_settings ().txn_ops - 1; // the journal row takes one change
  PointerArray writes = adopt (ft_scheduler_next_writes (scheduler_.get (), most, batch_ % 2 == 0, clock ()));
  if (writes->len == 0)
    return;
  batching_ = true;
  guint64 batch = ++batch_;
  commit (batch_transaction (writes, batch), in_term ([this, writes, batch] (guint status, const json_t *body) {
            on_batch_answer (writes, batch, status, body);
          }));
}

void
Node::on_batch_answer (const PointerArray &writes, guint64 batch, guint status, const json_t *body)
{
  guint64 revision;
  if (status == 200 && ft_store_revision (body, &revision)) {
    journal_revision_ = revision;
    batch_finished (writes, true, nullptr);
  } else if (status == 409) {
    on_batch_conflict (writes, batch, body);
  } else if (status == 503 || status == 429 || status == 400) {
    schedule_in_term (kRetryAfter, [this, writes] { batch_finished (writes, false, nullptr); });
  } else {
    resolve_batch (writes, batch);
  }
}

// Handles a conflict: one of the transaction's conditions did not hold.
void
Node::on_batch_conflict (const PointerArray &writes, guint64 batch, const json_t *body)
{
  const char *found;
  FtBatchConflict conflict = ft_store_batch_conflict (body, writes.get (), &found);
  std::string ref = found != nullptr ? found : "";
  switch (conflict) {
  case FT_BATCH_CONFLICT_FENCE:
    step_down ();
    break;
  case FT_BATCH_CONFLICT_JOURNAL:
    resolve_batch (writes, batch);
    break;
  case FT_BATCH_CONFLICT_JOB:
    batch_finished (writes, false, found);
    resolve_conflicted_job (ref);
    break;
  case FT_BATCH_CONFLICT_UNKNOWN:
    ADD_FAILURE () << "the store reported a conflict, but none of the batch's conditions failed";
    break;
  }
}

// Reads the row of a job whose revision differs from the one that the leader expected. The
// regular cause is that the job has ended. If the job is still open, the leader has used a
// wrong revision, which is reported to the checker as a fault.
void
Node::resolve_conflicted_job (const std::string &ref)
{
  std::optional<JobRow> row = world_.job_row (ref);
  if (scheduler_ == nullptr)
    return;
  if (row && row->state.open)
    world_.checker->stale_revision_used (ref);
  else
    ft_scheduler_job_conflict_resolved (scheduler_.get (), ref.c_str (), row && row->state.end == FT_JOB_END_DONE,
                                        clock ());
}

// Finds out whether a batch without an answer was applied, by reading the journal row.
void
Node::resolve_batch (PointerArray writes, guint64 batch)
{
  auto on_journal_row = [this, writes, batch] (guint status, const json_t *body) {
    FtRow row;
    if (status != 200 || !ft_store_row (body, &row)) {
      resolve_batch (writes, batch);
      return;
    }
    FtBatchOutcome outcome = ft_batch_outcome (&row, ft_lease_token (lease_.get ()), batch);
    if (outcome == FT_BATCH_OUTCOME_SUPERSEDED) {
      step_down ();
      return;
    }
    journal_revision_ = row.revision;
    batch_finished (writes, outcome == FT_BATCH_OUTCOME_APPLIED, nullptr);
  };
  request_store ([this] { return world_.store.get (FT_KEY_JOURNAL); }, in_term (on_journal_row));
}

// Reports the outcome of a batch to the scheduler.
void
Node::batch_finished (const PointerArray &writes, bool applied, const char *conflicted_job)
{
  batching_ = false;
  if (applied)
    ft_scheduler_writes_committed (scheduler_.get (), writes.get (), clock ());
  else
    ft_scheduler_writes_failed (scheduler_.get (), writes.get (), conflicted_job, clock ());
  run_leader ();
}

} // namespace sim
