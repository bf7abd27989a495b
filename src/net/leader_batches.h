/* The leader's write batches: what the scheduler wants stored is committed in transactions,
 * one at a time, each conditional on the fence row and on the journal row.
 *
 * The journal row holds the fencing token and the number of the last batch. Every batch writes
 * it, so a batch whose answer was lost is decided by reading it, and a late copy of a batch
 * can no longer be applied once the next one has been. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

/**
 * FtBatchState:
 * @FT_BATCH_IDLE: none is under way
 * @FT_BATCH_COMMITTING: one was sent, and its answer is awaited
 * @FT_BATCH_UNCERTAIN: its answer was lost or contradicts us: the journal row is being read
 */
typedef enum {
  FT_BATCH_IDLE,
  FT_BATCH_COMMITTING,
  FT_BATCH_UNCERTAIN,
} FtBatchState;

/**
 * FtLeaderBatches:
 * @state: of the batch under way
 * @journal_revision: of the journal row, on which the next batch is conditional
 * @last_number: of the last batch that was sent in this term
 * @most_operations: in a batch, the journal's row included; lowered when the store refuses large ones
 * @not_before: the next batch is not sent before; monotonic, microseconds
 */
typedef struct {
  FtBatchState state;
  guint64 journal_revision;
  guint64 last_number;
  guint most_operations;
  gint64 not_before;
} FtLeaderBatches;

/**
 * ft_leader_batches_begin:
 * @journal_revision: at which the claim of the term has written the journal row
 *
 * Prepares for a term; no batch is under way.
 */
void ft_leader_batches_begin (FtNode *node, guint64 journal_revision);

/**
 * ft_leader_batches_commit:
 * @node: a controller that leads
 * @now: monotonic time in microseconds
 *
 * Sends what the scheduler wants stored, if no batch is under way and none must wait.
 */
void ft_leader_batches_commit (FtNode *node, gint64 now);
