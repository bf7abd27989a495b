/* A user's request while it is being answered: a submission, a poll or a cancellation.
 *
 * A request has exactly one owner at any time. Whoever is handed an FtUserRequest, as an argument
 * or as the data of a callback, either hands it on or answers it; answering frees it, so that
 * nothing can answer it a second time. The underlying HTTP request is reached through
 * ft_user_request_answer() and its variants alone.
 *
 * Private to the user endpoint: user_api.c, submission.c, cancellation.c, job_status.c and
 * idempotent_request.c. Used on the main loop's thread only. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * FtCancelReason:
 * @FT_CANCEL_NONE: the job is not to be cancelled
 * @FT_CANCEL_BY_USER: its user cancels it
 * @FT_CANCEL_BY_DEPENDENCY: one of its ancestors was found cancelled
 *
 * Why a request cancels the job if it finds it open.
 */
typedef enum { FT_CANCEL_NONE, FT_CANCEL_BY_USER, FT_CANCEL_BY_DEPENDENCY } FtCancelReason;

/**
 * FtUserRequest:
 * @node: the controller; borrowed
 * @http: private to user_request.c
 * @ref: the job; owned; %NULL until a submission's body was parsed
 * @spec: the submitted job, owned; %NULL for polls and cancellations
 * @cancel_reason: why the job is cancelled if it is open
 * @cancel_tries: cancellations committed without success so far
 * @ancestors_checked_at: monotonic time until which none of a submitted job's ancestors was cancelled;
 *   0 if that is not known
 * @began: monotonic time from which its deadline and its latency count
 */
typedef struct {
  FtNode *node;
  FtHttpRequest *http;
  char *ref;
  FtJobSpec *spec;
  FtCancelReason cancel_reason;
  guint cancel_tries;
  gint64 ancestors_checked_at;
  gint64 began;
} FtUserRequest;

/**
 * ft_user_request_new:
 * @node: the controller; outlives the request
 * @http: taken: it is answered when the user's request is
 * @ref: (nullable): the job, if the path names one; copied
 *
 * Returns: (transfer full): a request that is to be answered exactly once
 */
FtUserRequest *ft_user_request_new (FtNode *node, FtHttpRequest *http, const char *ref);

/**
 * ft_user_request_body:
 *
 * Returns: (nullable): the decoded body, borrowed; %NULL if it is missing, malformed or too large
 */
const json_t *ft_user_request_body (FtUserRequest *request);

/**
 * ft_user_request_start_deadline:
 *
 * Called when the request is about to wait for the key-value store: its deadline and its latency
 * count from here.
 */
void ft_user_request_start_deadline (FtUserRequest *request);

/**
 * ft_user_request_is_past_deadline:
 *
 * Returns: whether FT_USER_DEADLINE_S have passed since the clock was started
 */
gboolean ft_user_request_is_past_deadline (const FtUserRequest *request);

/**
 * ft_user_request_answer:
 * @request: (transfer full): freed
 * @status: the answer's HTTP status
 * @body: (transfer full) (nullable): the answer's body
 *
 * Answers the request and counts it: as accepted, with its latency, if it is a submission that
 * succeeded; else as unavailable, refused or polled by its status.
 */
void ft_user_request_answer (FtUserRequest *request, FtHttpStatus status, json_t *body);

/**
 * ft_user_request_answer_unavailable:
 * @request: (transfer full): freed
 *
 * Answers 503 with Retry-After: nothing is promised, and the user is to try again.
 */
void ft_user_request_answer_unavailable (FtUserRequest *request);

/**
 * ft_user_request_answer_uncounted:
 * @request: (transfer full): freed
 * @status: the answer's HTTP status
 * @body: (transfer full) (nullable): the answer's body
 *
 * Answers without counting: for answers that are given at once, from memory or for an invalid path.
 */
void ft_user_request_answer_uncounted (FtUserRequest *request, FtHttpStatus status, json_t *body);
