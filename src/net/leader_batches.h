/* The leader's write batches: what the scheduler wants stored is committed in transactions,
 * one at a time, each conditional on the fence row and on the journal row.
 *
 * The journal row holds the fencing token and the number of the last batch. Every batch writes
 * it, so a batch whose answer was lost is decided by reading it, and a late copy of a batch
 * can no longer be applied once the next one has been. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeaderBatches FtLeaderBatches;

/**
 * ft_leader_batches_new:
 * @term: borrowed for life
 *
 * Returns: (transfer full): the batches of a controller that does not lead
 */
FtLeaderBatches *ft_leader_batches_new (FtLeaderTerm *term);

/**
 * ft_leader_batches_free:
 * @batches: (nullable) (transfer full): no answer may come any more
 */
void ft_leader_batches_free (FtLeaderBatches *batches);

/**
 * ft_leader_batches_begin:
 * @journal_revision: at which the claim of the term has written the journal row
 *
 * Prepares for a term; no batch is under way.
 */
void ft_leader_batches_begin (FtLeaderBatches *batches, guint64 journal_revision);

/**
 * ft_leader_batches_commit:
 * @now: monotonic time in microseconds
 *
 * Sends what the scheduler wants stored, if no batch is under way and none must wait. To be called
 * while this controller leads.
 */
void ft_leader_batches_commit (FtLeaderBatches *batches, gint64 now);
