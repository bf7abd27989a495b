/**
 * SECTION: job_transactions
 * @title: Transactions on jobs
 *
 * The transactions by which a controller accepts a job and cancels one, whether it leads or not.
 * Used by src/net/submission.c and src/net/cancellation.c. A job's end and the rest of what the
 * leader writes about it are in write_batch.h.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/types.h"

/**
 * ft_txn_submit:
 * @spec: a job that is being accepted
 *
 * The acceptance of a job, as open. It is refused if its ref has ever been accepted.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_submit (const FtJobSpec *spec);

/**
 * ft_txn_submit_cancelled:
 * @spec: a job that is being accepted when one of its ancestors is cancelled
 * @wall_ms: wall time of its end, in milliseconds since 1970
 *
 * The acceptance of a job that has ended with it: no leader needs to know of the job, so that it
 * gets no row among the open jobs. It is refused if its ref has ever been accepted.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_submit_cancelled (const FtJobSpec *spec, gint64 wall_ms);

/**
 * ft_txn_cancel:
 * @ref: an open job's ref
 * @revision: revision of its state row
 * @tasks: number of its tasks
 * @wall_ms: wall time of the cancellation, in milliseconds since 1970
 *
 * The cancellation of a job: it ends, and a row tells the leader to stop its tasks. It is refused
 * if the state row has changed, that is, if the job has ended.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_cancel (const char *ref, guint64 revision, guint tasks, gint64 wall_ms);
