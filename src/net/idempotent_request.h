/* What makes users' requests idempotent, so that they may be repeated on any controller: the two
 * places where a submission or a cancellation finds out that it, or another one of the same job, was
 * carried out before. */
#pragma once
#include "net/store_client.h"
#include "net/user_request.h"

/**
 * ft_idempotent_request_answer_known:
 * @request: answered and freed if this returns %TRUE, else still the caller's
 *
 * A job that is known to have ended is answered from memory: its end is final, so that the answer
 * to a repeated submission, poll or cancellation is the same for ever.
 *
 * Returns: whether the request was answered
 */
gboolean ft_idempotent_request_answer_known (FtUserRequest *request);

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

/**
 * ft_idempotent_request_read_after_commit:
 * @request: (transfer full): a request whose commit was not confirmed
 * @status: the store's answer to the commit, which is no success
 *
 * After a conflict the job has changed, perhaps by an earlier try of this very request; without an
 * answer the commit may have been applied. Both are found out by reading the job's row. A
 * cancellation does so FT_CANCEL_TRIES times at most. Any other failure is answered with 503:
 * nothing was applied.
 */
void ft_idempotent_request_read_after_commit (FtUserRequest *request, FtStoreResult result);
