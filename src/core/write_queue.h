/* What the leader has to write to the key-value store: registry rows, ends of jobs, dispatch
 * watermarks and chunks of done-sets, in batches of one transaction each; and what follows once a
 * batch is committed or refused.
 *
 * One batch is in flight at a time: each that ft_write_queue_next() returns ends with
 * ft_write_queue_committed() or ft_write_queue_failed() before the next is requested. What waits is
 * kept by its owners (the jobs in the job table's queue, the rows in the registry's); only chunks of
 * jobs that are gone are kept here. Called by the scheduler for the node's store client. */
#pragma once
#include "core/context.h"
#include "core/job_table.h"
#include "core/registry.h"
#include "core/write.h"

typedef struct {
  FtCoreContext *context;  /* borrowed */
  FtJobTable *job_table;   /* borrowed */
  FtRegistry *registry;    /* borrowed */
  GQueue chunk_deletions;  /* FtWrite, owned: chunks of jobs that ended */
  gboolean wrote_registry; /* the last batch had registry rows in it */
} FtWriteQueue;

/* An empty queue. The pointers are borrowed and must outlive it. */
void ft_write_queue_init (FtWriteQueue *queue, FtCoreContext *context, FtJobTable *job_table, FtRegistry *registry);
/* Frees what is queued here. */
void ft_write_queue_clear (FtWriteQueue *queue);

/* A chunk of a done-set whose job is gone: it is deleted when the store has capacity to spare. */
void ft_write_queue_delete_chunk (FtWriteQueue *queue, const char *ref, guint chunk);

/* The writes (FtWrite) of the next batch, of at most `ops` changes; empty if none is due. `spare`:
 * the store takes more changes than are urgent, so that what can wait may be written too. */
GPtrArray *ft_write_queue_next (FtWriteQueue *queue, guint ops, gboolean spare);

/* The batch is committed. May end jobs. */
void ft_write_queue_committed (FtWriteQueue *queue, const GPtrArray *writes);

/* Nothing of the batch is committed: all of it is queued again. `conflicted` names the job whose row
 * is not at the revision we know, or is NULL; what its row says is to be reported by one of the
 * calls below. */
void ft_write_queue_failed (FtWriteQueue *queue, const GPtrArray *writes, const char *conflicted);

/* The row of a conflicted job says that it is open, at this revision. */
void ft_write_queue_job_still_open (FtWriteQueue *queue, const char *ref, guint64 revision);

/* The row of a conflicted job says that it is done, or else cancelled. */
void ft_write_queue_conflict_resolved (FtWriteQueue *queue, const char *ref, gboolean done);
