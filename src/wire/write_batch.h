/**
 * SECTION: write_batch
 * @title: The leader's batch of writes
 *
 * Turns the pending writes of the scheduler (see core/scheduler.h) into one transaction, and decodes
 * the result of the transaction from the store's answers. Used by src/net/leader_batches.c.
 *
 * Each batch is conditional on the fence row, which changes when another controller acquires the
 * lease, and on the journal row, which each batch writes. The store therefore refuses a batch that the
 * network has delayed if a later batch or another leader has written meanwhile. If a batch gets no
 * answer, the journal row shows whether the store has applied it.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/scheduler.h"
#include "wire/store_messages.h"

/**
 * FtBatchHeader:
 * @token: the leader's fencing token
 * @number: number of the batch within this leadership, from 1
 * @fence_revision: revision at which the leader wrote the fence row
 * @journal_revision: the last revision of the journal row that the leader has written or read
 *
 * Identifies the leader and the batch, and gives the revisions on which the batch is conditional.
 */
typedef struct {
  guint64 token, number;
  guint64 fence_revision, journal_revision;
} FtBatchHeader;

/**
 * FtBatchConflict:
 * @FT_BATCH_CONFLICT_FENCE: another controller has acquired the lease
 * @FT_BATCH_CONFLICT_JOURNAL: the journal row is not at the expected revision, so the leader must read
 *   it; ft_batch_outcome() then shows whether the batch was applied
 * @FT_BATCH_CONFLICT_JOB: the state row of a job has changed, for example because a user has cancelled
 *   the job
 * @FT_BATCH_CONFLICT_UNKNOWN: the answer names none of the batch's conditions
 *
 * Why the store has refused a batch. If several conditions do not hold, the first of these reasons
 * that applies is given.
 */
typedef enum {
  FT_BATCH_CONFLICT_FENCE,
  FT_BATCH_CONFLICT_JOURNAL,
  FT_BATCH_CONFLICT_JOB,
  FT_BATCH_CONFLICT_UNKNOWN,
} FtBatchConflict;

/**
 * FtBatchOutcome:
 * @FT_BATCH_OUTCOME_APPLIED: the batch was applied
 * @FT_BATCH_OUTCOME_NOT_APPLIED: the batch was not applied; a delayed copy of it may still be applied
 *   until the leader's next batch is applied
 * @FT_BATCH_OUTCOME_SUPERSEDED: another controller has acquired the lease; it is unknown whether the
 *   batch was applied before that
 *
 * The result of a batch that got no answer, according to the journal row.
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
 * @wall_ms: wall time at which the batch is sent, in milliseconds since 1970; a write that ends a
 *   job stores it as the time of the job's end
 *
 * Adds the changes and conditions of a pending write to the transaction.
 */
void ft_txn_add_write (json_t *txn, const FtWrite *write, gint64 wall_ms);

/**
 * ft_txn_write_batch:
 * @header: identity and conditions of the batch
 * @writes: (element-type FtWrite): the pending writes, in the order of ft_scheduler_next_writes()
 * @wall_ms: wall time at which the batch is sent, in milliseconds since 1970
 *
 * Returns: (transfer full): the transaction. Besides the changes of the writes, it contains one change
 * that writes the journal row.
 */
json_t *ft_txn_write_batch (const FtBatchHeader *header, const GPtrArray *writes, gint64 wall_ms);

/**
 * ft_store_batch_conflict:
 * @body: the answer to a batch that the store refused because a condition did not hold
 * @writes: (element-type FtWrite): the writes of the batch
 * @ref: (out) (transfer none) (nullable): ref of the first job in @writes whose state row has changed,
 *   borrowed from its write; %NULL unless %FT_BATCH_CONFLICT_JOB is returned
 *
 * Returns: why the store refused the batch.
 */
FtBatchConflict ft_store_batch_conflict (const json_t *body, const GPtrArray *writes, const char **ref);

/**
 * ft_batch_outcome:
 * @journal: the journal row, read after the batch was sent
 * @token: the fencing token of the leader that sent the batch
 * @number: number of the batch within this leadership
 *
 * Returns: the result of the batch, according to the journal row.
 */
FtBatchOutcome ft_batch_outcome (const FtRow *journal, guint64 token, guint64 number);
