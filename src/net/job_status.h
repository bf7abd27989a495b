/* The state of a job as its user sees it, from memory, by a comparison of revisions or by a read of
 * its row. Only what is final is served from memory: a job that is open may have ended, or one of
 * its ancestors may have been cancelled, so that its row is looked at before it is called open.
 *
 * All functions that take an FtUserRequest take it over and answer it, unless they say otherwise. */
#pragma once
#include "net/store_client.h"
#include "net/user_request.h"

/**
 * ft_job_status_handle_poll:
 * @request: (transfer full): a poll
 *
 * Answers GET /work/REF.
 */
void ft_job_status_handle_poll (FtUserRequest *request);

/**
 * ft_job_status_handle_cancellation:
 * @request: (transfer full): a cancellation, by the job's user
 *
 * Cancels the job that the path names, if it is open, and answers with how it ended.
 */
void ft_job_status_handle_cancellation (FtUserRequest *request);

/**
 * ft_job_status_read:
 * @request: (transfer full): any request whose job's row is to be read
 *
 * Reads the job's row and goes on from what it says: a job that has ended is answered so, an open
 * one is cancelled if the request has a reason to, else answered as open. Answers 503 if the
 * request's deadline has passed.
 */
void ft_job_status_read (FtUserRequest *request);

/**
 * ft_job_status_read_after_commit:
 * @request: (transfer full): a request whose commit was not confirmed
 * @result: the store's answer to the commit, which is no success
 *
 * After a conflict the job has changed, perhaps by an earlier try of this very request; without an
 * answer the commit may have been applied. Both are found out by reading the job's row. A
 * cancellation does so FT_CANCEL_TRIES times at most. Any other failure is answered with 503:
 * nothing was applied.
 */
void ft_job_status_read_after_commit (FtUserRequest *request, FtStoreResult result);

/**
 * ft_job_status_answer_ended:
 * @request: (transfer full): a request whose job's row was found, or committed, as ended
 * @end: how the job ended
 * @tasks: its number of tasks, which counts if it is done
 *
 * Answers 200 and remembers the end, which is final.
 */
void ft_job_status_answer_ended (FtUserRequest *request, FtJobEnd end, guint tasks);
