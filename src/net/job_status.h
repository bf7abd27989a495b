/* Answers polls and cancellations, and submissions whose commit was not confirmed, with the state of the
 * job. The state comes from the job cache, from a comparison of revisions or from a read of the job's row.
 *
 * Only the end of a job is served from the job cache, since it is final. A job that is open in the cache may
 * have ended since, or one of its ancestors may have been cancelled. Before a request is answered with
 * an open state, the job's row is therefore compared or read, and the job's ancestors are checked.
 *
 * Every function takes ownership of the FtUserRequest and answers it, now or later. */
#pragma once
#include "net/store_client.h"
#include "net/user_request.h"

/**
 * ft_job_status_handle_poll:
 * @request: (transfer full): a poll
 *
 * Answers GET /work/REF with the state of the job.
 */
void ft_job_status_handle_poll (FtUserRequest *request);

/**
 * ft_job_status_handle_cancellation:
 * @request: (transfer full): a cancellation by the job's user
 *
 * Answers POST /work/REF/withdraw: cancels the job if it is open, and answers with the job's end.
 */
void ft_job_status_handle_cancellation (FtUserRequest *request);

/**
 * ft_job_status_read:
 * @request: (transfer full): any request with a ref
 *
 * Reads the job's row and continues according to it. If the job has ended, the request is answered with its
 * end. If the job is open, it is cancelled if the request has a reason to cancel it; otherwise its ancestors
 * are checked, and the request is answered with the open state unless one of them is cancelled. If the
 * request's deadline has passed, it is answered with 503 and nothing is read.
 */
void ft_job_status_read (FtUserRequest *request);

/**
 * ft_job_status_read_after_commit:
 * @request: (transfer full): a request whose commit was not confirmed
 * @result: the result of the commit, any value except %FT_STORE_OK
 *
 * Finds out by ft_job_status_read() what has happened to the job. After a conflict, the job's row has
 * changed, possibly by an earlier attempt of the same request. If the commit got no answer, it may have
 * been applied. A cancellation commits at most FT_CANCEL_TRIES times. Any other result is answered with 503: the
 * commit was not applied, except that this is unknown after %FT_STORE_FAILED.
 */
void ft_job_status_read_after_commit (FtUserRequest *request, FtStoreResult result);

/**
 * ft_job_status_answer_ended:
 * @request: (transfer full): a request whose job's row was read or committed as ended
 * @end: how the job ended
 * @tasks: the job's number of tasks; not part of the answer if the job was cancelled
 *
 * Adds the end to the job cache, since it is final, and answers the request with 200 and the end.
 */
void ft_job_status_answer_ended (FtUserRequest *request, FtJobEnd end, guint tasks);
