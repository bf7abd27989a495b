/* The write queue: forms batches of the writes that the leader has to make to the key-value store (registry rows, ends
 * of jobs, dispatch watermarks and chunks of done-sets), and applies the result of each batch. A batch becomes one
 * transaction.
 *
 * One batch is in flight at a time: the caller reports each batch of ft_write_queue_next() with
 * ft_write_queue_committed() or ft_write_queue_failed() before it requests the next one. The job table and the registry
 * keep the jobs and rows that wait to be written; this queue itself keeps only the deletions of chunks whose jobs have
 * ended. The scheduler calls it for the node's store client. */
#pragma once
#include "core/context.h"
#include "core/job_table.h"
#include "core/registry.h"
#include "core/write.h"

typedef struct {
  FtCoreContext *context;  /* borrowed */
  FtJobTable *job_table;   /* borrowed */
  FtRegistry *registry;    /* borrowed */
  GQueue chunk_deletions;  /* FtWrite, owned: deletions of chunks whose jobs have ended */
  gboolean wrote_registry; /* the last batch contained registry rows */
} FtWriteQueue;

/* Initializes an empty queue. It borrows the pointers, which must outlive it. */
void ft_write_queue_init (FtWriteQueue *queue, FtCoreContext *context, FtJobTable *job_table, FtRegistry *registry);
/* Frees the queued deletions of chunks. */
void ft_write_queue_clear (FtWriteQueue *queue);

/* Queues the deletion of a chunk whose job has ended. The chunk is deleted when the store has capacity to spare. */
void ft_write_queue_delete_chunk (FtWriteQueue *queue, const char *ref, guint chunk);

/* Returns the writes (FtWrite) of the next batch, with at most `ops` changes in total; empty if no write is due.
 * `spare` is TRUE if the store has capacity for more than the urgent changes, so that writes that can wait may be
 * added. The caller owns the array, which owns the writes. */
GPtrArray *ft_write_queue_next (FtWriteQueue *queue, guint ops, gboolean spare);

/* Applies a batch that is committed. May end jobs. */
void ft_write_queue_committed (FtWriteQueue *queue, const GPtrArray *writes);

/* Queues all writes of a batch again, since none of it is committed. `conflicted` is the ref of a job whose state row
 * is not at the revision that the leader knows, or NULL. The caller then reads that row and reports it with
 * ft_write_queue_job_still_open() or ft_write_queue_conflict_resolved(). */
void ft_write_queue_failed (FtWriteQueue *queue, const GPtrArray *writes, const char *conflicted);

/* Resolves the conflict of a job whose state row shows that it is open, at this revision. */
void ft_write_queue_job_still_open (FtWriteQueue *queue, const char *ref, guint64 revision);

/* Resolves the conflict of a job whose state row shows that it is done (`done`) or else cancelled. */
void ft_write_queue_conflict_resolved (FtWriteQueue *queue, const char *ref, gboolean done);
