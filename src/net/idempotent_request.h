/* What makes users' requests idempotent, so that they may be repeated on any controller: before
 * anything is committed, a submission or a cancellation finds out here that it, or another one of the
 * same job, was carried out before. After a commit ft_job_status_read_after_commit() does. */
#pragma once
#include "net/user_request.h"

/**
 * ft_idempotent_request_answer_from_cache:
 * @request: answered and freed if this returns %TRUE, else still the caller's
 *
 * A job that is known to have ended is answered from memory: its end is final, so that the answer
 * to a repeated submission, poll or cancellation is the same for ever.
 *
 * Returns: whether the request was answered
 */
gboolean ft_idempotent_request_answer_from_cache (FtUserRequest *request);

/**
 * ft_idempotent_request_begin:
 * @request: a poll or a cancellation; answered and freed if this returns %FALSE
 *
 * The common beginning of the requests that name a job in their path: an invalid ref, a known end
 * and an unreachable store are answered at once; else the request's clock is started.
 *
 * Returns: whether the request is still to be answered, by the caller
 */
gboolean ft_idempotent_request_begin (FtUserRequest *request);
