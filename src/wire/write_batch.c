#include "wire/write_batch.h"

#include "wire/job_rows.h"
#include "wire/lease_rows.h"
#include "wire/machine_rows.h"
#include "wire/store_keys.h"

/* Ends a job on the condition that its state row is unchanged: a user's cancellation may have ended the job first. */
static void
add_job_ended (json_t *txn, const FtWrite *write, FtJobEnd end, gint64 wall_ms)
{
  g_autofree char *job = ft_key_job (write->name), *open = ft_key_open (write->name);
  ft_txn_if (txn, job, write->revision);
  ft_txn_put (txn, job, ft_row_job_ended (end, write->tasks, wall_ms));
  ft_txn_delete (txn, open);
}

/* Deletes the open row and the cancellation row of a cancelled job, all of whose tasks have stopped. */
static void
add_job_stopped (json_t *txn, const FtWrite *write)
{
  g_autofree char *open = ft_key_open (write->name), *cancellation = ft_key_cancellation (write->name);
  ft_txn_delete (txn, open);
  ft_txn_delete (txn, cancellation);
}

static void
add_watermark (json_t *txn, const FtWrite *write)
{
  g_autofree char *open = ft_key_open (write->name);
  ft_txn_put (txn, open, ft_row_open_with_watermark (write->spec, write->watermark, write->revision));
}

static void
add_chunk (json_t *txn, const FtWrite *write)
{
  g_autofree char *key = ft_key_chunk (write->name, write->chunk);
  if (write->kind == FT_WRITE_CHUNK)
    ft_txn_put (txn, key, ft_row_chunk (write->bits));
  else
    ft_txn_delete (txn, key);
}

static void
add_registry_row (json_t *txn, const FtWrite *write)
{
  g_autofree char *key = ft_key_registry (write->name);
  if (write->kind == FT_WRITE_REGISTRY_ROW)
    ft_txn_put (txn, key, ft_row_machines (write->machines));
  else
    ft_txn_delete (txn, key);
}

static void
add_drain_delete (json_t *txn, const FtWrite *write)
{
  g_autofree char *key = ft_key_drained (write->name);
  ft_txn_delete (txn, key);
}

void
ft_txn_add_write (json_t *txn, const FtWrite *write, gint64 wall_ms)
{
  switch (write->kind) {
  case FT_WRITE_REGISTRY_ROW:
  case FT_WRITE_REGISTRY_ROW_DELETE:
    add_registry_row (txn, write);
    break;
  case FT_WRITE_DRAIN_DELETE:
    add_drain_delete (txn, write);
    break;
  case FT_WRITE_WATERMARK:
    add_watermark (txn, write);
    break;
  case FT_WRITE_CHUNK:
  case FT_WRITE_CHUNK_DELETE:
    add_chunk (txn, write);
    break;
  case FT_WRITE_JOB_DONE:
    add_job_ended (txn, write, FT_JOB_END_DONE, wall_ms);
    break;
  case FT_WRITE_JOB_CANCELLED:
    add_job_ended (txn, write, FT_JOB_END_CANCELLED, wall_ms);
    break;
  case FT_WRITE_JOB_STOPPED:
    add_job_stopped (txn, write);
    break;
  }
}

json_t *
ft_txn_write_batch (const FtBatchHeader *header, const GPtrArray *writes, gint64 wall_ms)
{
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_FENCE, header->fence_revision);
  ft_txn_if (txn, FT_KEY_JOURNAL, header->journal_revision);
  ft_txn_put (txn, FT_KEY_JOURNAL, ft_row_journal (header->token, header->number));
  for (guint i = 0; i < writes->len; i++)
    ft_txn_add_write (txn, g_ptr_array_index (writes, i), wall_ms);
  return txn;
}

/* Returns the ref of the first job whose state row is not at the expected revision; NULL: none. */
static const char *
conflicted_job (const json_t *body, const GPtrArray *writes)
{
  for (guint i = 0; i < writes->len; i++) {
    const FtWrite *write = g_ptr_array_index (writes, i);
    g_autofree char *key = ft_key_job (write->name);
    gboolean conditional = write->kind == FT_WRITE_JOB_DONE || write->kind == FT_WRITE_JOB_CANCELLED;
    if (conditional && ft_store_failed (body, key))
      return write->name;
  }
  return NULL;
}

FtBatchConflict
ft_store_batch_conflict (const json_t *body, const GPtrArray *writes, const char **ref)
{
  *ref = NULL;
  if (ft_store_failed (body, FT_KEY_FENCE))
    return FT_BATCH_CONFLICT_FENCE;
  if (ft_store_failed (body, FT_KEY_JOURNAL))
    return FT_BATCH_CONFLICT_JOURNAL;
  *ref = conflicted_job (body, writes);
  return *ref != NULL ? FT_BATCH_CONFLICT_JOB : FT_BATCH_CONFLICT_UNKNOWN;
}

FtBatchOutcome
ft_batch_outcome (const FtRow *journal, guint64 token, guint64 number)
{
  guint64 last_token, last_number;
  ft_row_journal_parse (journal->value, &last_token, &last_number);
  if (last_token != token)
    return FT_BATCH_OUTCOME_SUPERSEDED;
  return last_number == number ? FT_BATCH_OUTCOME_APPLIED : FT_BATCH_OUTCOME_NOT_APPLIED;
}
