/**
 * SECTION: write_batch
 * @title: The leader's batch of writes
 *
 * Turns the writes that the scheduler has pending (core/scheduler.h) into one transaction, and
 * reads from the store's answers what became of it. Used by src/net/leader_batches.c.
 *
 * Each batch is conditional on the fence, which moves when another controller acquires the lease,
 * and on the journal row, which each batch writes itself. A batch that the network delays is so
 * refused once a later one, or another leader, has written; and the journal row tells whether a
 * batch that got no answer was applied.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/scheduler.h"
#include "wire/store_messages.h"

/**
 * FtBatchHeader:
 * @token: the leader's fencing token
 * @number: the batch's number within its leadership, from 1
 * @fence_revision: revision at which the leader wrote the fence row
 * @journal_revision: revision of the journal row as the leader knows it
 *
 * Whose batch it is and on what it is conditional.
 */
typedef struct {
  guint64 token, number;
  guint64 fence_revision, journal_revision;
} FtBatchHeader;

/**
 * FtBatchConflict:
 * @FT_BATCH_CONFLICT_FENCE: another controller has acquired the lease
 * @FT_BATCH_CONFLICT_JOURNAL: the journal row has changed: it decides about the batch, see
 *   ft_batch_outcome()
 * @FT_BATCH_CONFLICT_JOB: a job's state row has changed: the job may have ended otherwise
 * @FT_BATCH_CONFLICT_UNKNOWN: the answer names no condition of the batch
 *
 * Why the store refused a batch, the most far-reaching reason if there are several.
 */
typedef enum {
  FT_BATCH_CONFLICT_FENCE,
  FT_BATCH_CONFLICT_JOURNAL,
  FT_BATCH_CONFLICT_JOB,
  FT_BATCH_CONFLICT_UNKNOWN,
} FtBatchConflict;

/**
 * FtBatchOutcome:
 * @FT_BATCH_OUTCOME_APPLIED: it was applied
 * @FT_BATCH_OUTCOME_NOT_APPLIED: it was not; a late copy of it cannot be either once the leader's
 *   next batch has been applied
 * @FT_BATCH_OUTCOME_SUPERSEDED: another controller has acquired the lease since; the batch may or
 *   may not have been applied before that
 *
 * What the journal row says about a batch whose answer did not come.
 */
typedef enum {
  FT_BATCH_OUTCOME_APPLIED,
  FT_BATCH_OUTCOME_NOT_APPLIED,
  FT_BATCH_OUTCOME_SUPERSEDED,
} FtBatchOutcome;

/**
 * ft_txn_add_write:
 * @txn: the transaction of the batch
 * @write: a pending write
 * @wall_ms: wall time at which the batch is sent, in milliseconds since 1970; the time at which
 *   a job that it ends has ended
 */
void ft_txn_add_write (json_t *txn, const FtWrite *write, gint64 wall_ms);

/**
 * ft_txn_write_batch:
 * @header: whose batch it is
 * @writes: (element-type FtWrite): the pending writes, in the order of ft_scheduler_next_writes()
 * @wall_ms: as for ft_txn_add_write()
 *
 * Returns: (transfer full): the transaction. It has one change more than there are writes, that
 * of the journal row.
 */
json_t *ft_txn_write_batch (const FtBatchHeader *header, const GPtrArray *writes, gint64 wall_ms);

/**
 * ft_store_batch_conflict:
 * @body: the answer to a batch that was refused since a condition did not hold
 * @writes: (element-type FtWrite): the batch's writes
 * @ref: (out) (transfer none) (nullable): ref of the first job among the writes whose row has
 *   changed, borrowed from its write; %NULL unless %FT_BATCH_CONFLICT_JOB is returned
 *
 * Returns: why it was refused.
 */
FtBatchConflict ft_store_batch_conflict (const json_t *body, const GPtrArray *writes, const char **ref);

/**
 * ft_batch_outcome:
 * @journal: the journal row, read after the batch was sent
 * @token: the fencing token of the leader that sent the batch
 * @number: the batch's number
 *
 * Returns: what the row says about the batch.
 */
FtBatchOutcome ft_batch_outcome (const FtRow *journal, guint64 token, guint64 number);
