/* Cancellation of a job, by its user or because one of its ancestors was cancelled. It is committed
 * as a compare-and-swap on the job's row, so that exactly one of its end by completion and its
 * cancellation is ever committed, whichever controller leads. */
#pragma once
#include "net/store_client.h"
#include "net/user_request.h"

/**
 * FtCancellationDone:
 * @request: (transfer full): the request of the cancellation
 * @result: %FT_STORE_OK: the job is cancelled; else see ft_job_status_read_after_commit()
 */
typedef void (*FtCancellationDone) (FtUserRequest *request, FtStoreResult result);

/**
 * ft_cancellation_commit:
 * @request: (transfer full): a request with a reason to cancel its job
 * @revision: the revision at which the job's row was read as open
 * @tasks: the job's number of tasks
 * @done: called once, with the request
 *
 * Commits the cancellation, with the row by which the leader learns of it. Once it is committed, this
 * controller's scheduler and the peers are advised of it before @done is called.
 */
void ft_cancellation_commit (FtUserRequest *request, guint64 revision, guint tasks, FtCancellationDone done);
