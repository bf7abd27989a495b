// The leader's writes: batches of the scheduler's changes, each conditional on the
// fence and on the journal row, so that none is applied late or twice.
#include "node.hpp"

#include <gtest/gtest.h>

#include "world.hpp"

extern "C" {
#include "wire/store.h"
}

namespace sim {

// A refused batch is tried again after so long.
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
  // The version before wrote no wall time.
  gint64 wall_ms = runs_previous_version ? 0 : world_.now / 1000;
  return adopt (ft_txn_write_batch (&header, writes.get (), wall_ms));
}

// One batch is under way at a time.
void
Node::commit_batch ()
{
  if (batching_)
    return;
  guint most = own_settings ().txn_ops - 1; // the journal row is one change
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
    batch_over (writes, true, nullptr);
  } else if (status == 409) {
    on_batch_conflict (writes, batch, body);
  } else if (status == 503 || status == 429 || status == 400) {
    schedule_in_term (kRetryAfter, [this, writes] { batch_over (writes, false, nullptr); });
  } else {
    resolve_batch (writes, batch);
  }
}

// One of the transaction's conditions did not hold.
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
    batch_over (writes, false, found);
    resolve_conflicted_job (ref);
    break;
  case FT_BATCH_CONFLICT_UNKNOWN:
    ADD_FAILURE () << "the store refused a batch for none of its conditions";
    break;
  }
}

// A job's row has another revision than the leader knew: it has ended meanwhile. Only
// the end is asked for here; that it is open after all is a fault of the leader.
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

// No answer came: the journal row says whether the batch was applied.
void
Node::resolve_batch (PointerArray writes, guint64 batch)
{
  auto take_journal = [this, writes, batch] (guint status, const json_t *body) {
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
    batch_over (writes, outcome == FT_BATCH_OUTCOME_APPLIED, nullptr);
  };
  request_store ([this] { return world_.store.get (FT_KEY_JOURNAL); }, in_term (take_journal));
}

void
Node::batch_over (const PointerArray &writes, bool applied, const char *conflicted_job)
{
  batching_ = false;
  if (applied)
    ft_scheduler_writes_committed (scheduler_.get (), writes.get (), clock ());
  else
    ft_scheduler_writes_failed (scheduler_.get (), writes.get (), conflicted_job, clock ());
  run_leader ();
}

} // namespace sim
