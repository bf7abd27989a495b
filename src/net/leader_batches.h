/* The leader's write batches: the scheduler's pending writes are committed in transactions, one at a
 * time, each conditional on the fence row and on the journal row.
 *
 * The journal row holds the leader's fencing token and the number of its last batch. Every batch
 * writes it. If the answer to a batch is lost, the journal row therefore shows whether the batch was
 * applied; and a delayed copy of a batch can no longer be applied after the next batch. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeaderBatches FtLeaderBatches;

/**
 * ft_leader_batches_new:
 * @term: borrowed for the life of the object
 *
 * Returns: (transfer full): the batches of a controller that does not lead
 */
FtLeaderBatches *ft_leader_batches_new (FtLeaderTerm *term);

/**
 * ft_leader_batches_free:
 * @batches: (nullable) (transfer full): no answer to a batch may arrive any more
 */
void ft_leader_batches_free (FtLeaderBatches *batches);

/**
 * ft_leader_batches_begin:
 * @journal_revision: revision at which the claim of the term wrote the journal row
 *
 * Resets the batches at the beginning of a term.
 */
void ft_leader_batches_begin (FtLeaderBatches *batches, guint64 journal_revision);

/**
 * ft_leader_batches_commit:
 * @now: monotonic time in microseconds
 *
 * Sends a batch of the scheduler's pending writes, unless a batch is in flight or a pause after a
 * failed batch is not over. It must only be called while this controller leads.
 */
void ft_leader_batches_commit (FtLeaderBatches *batches, gint64 now);
