/**
 * SECTION: job_transactions
 * @title: Transactions on jobs
 *
 * The transactions by which a controller, as leader or as follower, accepts or cancels a job. Used by
 * src/net/submission.c and src/net/cancellation.c. Only the leader writes anything else about a job;
 * see write_batch.h.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/types.h"

/**
 * ft_txn_submit:
 * @spec: a job that is being accepted
 *
 * Accepts a job as open. The store refuses the transaction if a job with the same ref was accepted
 * at any earlier time.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_submit (const FtJobSpec *spec);

/**
 * ft_txn_submit_cancelled:
 * @spec: a job that is being accepted after one of its ancestors was cancelled
 * @wall_ms: wall time of the job's end, in milliseconds since 1970
 *
 * Accepts a job as cancelled, which ends it at once. The job gets no open row, because the leader has
 * nothing to schedule for it. The store refuses the transaction if a job with the same ref was
 * accepted at any earlier time.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_submit_cancelled (const FtJobSpec *spec, gint64 wall_ms);

/**
 * ft_txn_cancel:
 * @ref: an open job's ref
 * @revision: revision of the job's state row
 * @tasks: number of the job's tasks
 * @wall_ms: wall time of the cancellation, in milliseconds since 1970
 *
 * Cancels a job. The transaction ends the job in its state row and writes its cancellation row. The
 * leader stops the job's tasks when it reads the cancellation row. The store refuses the transaction
 * if the state row has changed, which means that the job has ended.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_cancel (const char *ref, guint64 revision, guint tasks, gint64 wall_ms);
