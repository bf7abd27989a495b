/* The checks at the start of users' requests that make the requests idempotent, so that a user may retry
 * them on any controller. Before a submission or a cancellation commits anything, these functions find out
 * from the job cache whether the job has already ended. If a commit is not confirmed,
 * ft_job_status_read_after_commit() finds out whether an earlier attempt was applied. */
#pragma once
#include "net/user_request.h"

/**
 * ft_idempotent_request_answer_from_cache:
 * @request: answered and freed if the function returns %TRUE; otherwise the caller still owns it
 *
 * Answers the request from the job cache if the cache has the job's end. A job's end is final, so every
 * repeated submission, poll or cancellation of the job gets the same answer.
 *
 * Returns: whether the request was answered
 */
gboolean ft_idempotent_request_answer_from_cache (FtUserRequest *request);

/**
 * ft_idempotent_request_begin:
 * @request: a poll or a cancellation; answered and freed if the function returns %FALSE
 *
 * Performs the first steps of every request whose path contains a job's ref. The function answers the
 * request at once if the ref is invalid, the job cache has the job's end or the key-value store cannot be
 * reached. Otherwise it starts the request's deadline.
 *
 * Returns: %TRUE if the caller still owns the request and must answer it
 */
gboolean ft_idempotent_request_begin (FtUserRequest *request);
