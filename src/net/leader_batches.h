/* The leader's write batches: what the scheduler wants stored is committed in transactions,
 * one at a time, each conditional on the fence row and on the journal row.
 *
 * The journal row holds the fencing token and the number of the last batch. Every batch writes
 * it, so a batch whose answer was lost is decided by reading it, and a late copy of a batch
 * can no longer be applied once the next one has been. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

typedef enum {
  FT_BATCH_IDLE,       /* none is under way */
  FT_BATCH_COMMITTING, /* one was sent, and its answer is awaited */
  FT_BATCH_UNCERTAIN,  /* its answer was lost or contradicts us: the journal row is being read */
} FtBatchState;

typedef struct {
  FtBatchState state;
  guint64 journal_revision; /* of the journal row, on which the next batch is conditional */
  guint64 last_number;      /* of the last batch that was sent in this term */
  guint most_operations;    /* in a batch, the journal's row included; lowered when the store refuses large ones */
  gint64 not_before;        /* the next batch is not sent before; monotonic, microseconds */
} FtLeaderBatches;

/* Prepares for a term whose claim wrote the journal row at that revision. */
void ft_leader_batches_begin (FtNode *node, guint64 journal_revision);
/* Sends what the scheduler wants stored, if no batch is under way and none must wait. */
void ft_leader_batches_commit (FtNode *node, gint64 now);
