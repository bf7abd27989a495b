/* Cancellation of a job by its user or because one of its ancestors is cancelled. The cancellation is
 * committed as a compare-and-swap on the job's row. A job may complete at the same time: exactly one of its
 * completion and its cancellation is committed, whichever controller leads. */
#pragma once
#include "net/store_client.h"
#include "net/user_request.h"

/**
 * FtCancellationDone:
 * @request: (transfer full): the request that cancels the job
 * @result: %FT_STORE_OK if the cancellation is committed; otherwise the callback should call
 *   ft_job_status_read_after_commit()
 *
 * Called once for each ft_cancellation_commit(), from the main loop after that function has returned.
 */
typedef void (*FtCancellationDone) (FtUserRequest *request, FtStoreResult result);

/**
 * ft_cancellation_commit:
 * @request: (transfer full): a request with a reason to cancel its job
 * @revision: the revision at which the job's row was read as open
 * @tasks: the job's number of tasks
 * @done: called once, with @request
 *
 * Commits the cancellation together with the row that the leader watches for cancellations. After the
 * commit, and before @done is called, the function notifies this controller's scheduler, if it leads, and
 * makes the next peer heartbeats report the cancellation.
 */
void ft_cancellation_commit (FtUserRequest *request, guint64 revision, guint tasks, FtCancellationDone done);
