/* A user's request from its arrival to its answer: a submission, a poll or a cancellation.
 *
 * A request has exactly one owner at any time. A function that receives an FtUserRequest, as an argument
 * or as callback data, must either pass it to another function or answer it. Answering frees the request,
 * so that it is answered only once. Only ft_user_request_answer() and its variants answer the underlying
 * HTTP request.
 *
 * Private to the user endpoint: user_api.c, submission.c, cancellation.c, job_status.c and
 * idempotent_request.c. Used only on the main loop's thread. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * FtCancelReason:
 * @FT_CANCEL_NONE: the request does not cancel the job
 * @FT_CANCEL_BY_USER: the job's user has requested the cancellation
 * @FT_CANCEL_BY_DEPENDENCY: one of the job's ancestors is cancelled
 *
 * The reason why a request cancels its job if the job is open.
 */
typedef enum { FT_CANCEL_NONE, FT_CANCEL_BY_USER, FT_CANCEL_BY_DEPENDENCY } FtCancelReason;

/**
 * FtUserRequest:
 * @node: the controller; borrowed
 * @http: the underlying HTTP request, owned; private to user_request.c
 * @ref: the job's ref, owned; %NULL until the body of a submission has been parsed
 * @spec: the submitted job, owned; %NULL for polls and cancellations
 * @cancel_reason: the reason to cancel the job if it is open
 * @cancel_tries: number of commits of the cancellation that failed with a conflict or got no answer
 * @ancestors_checked_at: monotonic time in microseconds at which none of a submitted job's ancestors was
 *   cancelled; 0 if unknown
 * @started_at: monotonic time in microseconds from which the deadline and the latency of the request count
 */
typedef struct {
  FtNode *node;
  FtHttpRequest *http;
  char *ref;
  FtJobSpec *spec;
  FtCancelReason cancel_reason;
  guint cancel_tries;
  gint64 ancestors_checked_at;
  gint64 started_at;
} FtUserRequest;

/**
 * ft_user_request_new:
 * @node: the controller; must outlive the request
 * @http: (transfer full): the HTTP request, answered together with the user's request
 * @ref: (nullable): the job's ref if the path contains one; copied
 *
 * Returns: (transfer full): the request, which its owner must answer exactly once
 */
FtUserRequest *ft_user_request_new (FtNode *node, FtHttpRequest *http, const char *ref);

/**
 * ft_user_request_body:
 *
 * Returns: (transfer none) (nullable): the decoded body, valid until the request is answered; %NULL if it
 *   is missing, malformed or larger than FT_BODY_MAX
 */
const json_t *ft_user_request_body (FtUserRequest *request);

/**
 * ft_user_request_start_deadline:
 *
 * Starts the deadline and the latency measurement of the request. Called just before the request waits
 * for the key-value store.
 */
void ft_user_request_start_deadline (FtUserRequest *request);

/**
 * ft_user_request_is_past_deadline:
 *
 * Returns: whether FT_USER_DEADLINE_S has passed since ft_user_request_start_deadline()
 */
gboolean ft_user_request_is_past_deadline (const FtUserRequest *request);

/**
 * ft_user_request_answer:
 * @request: (transfer full): freed by the call
 * @status: the answer's HTTP status
 * @body: (transfer full) (nullable): the answer's body
 *
 * Answers the request and counts it in the metrics. A successful submission counts as accepted, and its
 * latency is recorded. Every other request counts by its status: 503 as unavailable, 400 and 422 as
 * refused, any other status as a poll.
 */
void ft_user_request_answer (FtUserRequest *request, FtHttpStatus status, json_t *body);

/**
 * ft_user_request_answer_unavailable:
 * @request: (transfer full): freed by the call
 *
 * Answers 503 with Retry-After: the outcome is unknown or nothing was done, and the user should retry.
 */
void ft_user_request_answer_unavailable (FtUserRequest *request);

/**
 * ft_user_request_answer_uncounted:
 * @request: (transfer full): freed by the call
 * @status: the answer's HTTP status
 * @body: (transfer full) (nullable): the answer's body
 *
 * Answers the request without counting it in the metrics. Used for answers that need no request to the
 * key-value store: from the job cache, or for an invalid ref.
 */
void ft_user_request_answer_uncounted (FtUserRequest *request, FtHttpStatus status, json_t *body);
