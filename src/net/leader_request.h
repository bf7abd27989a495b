/* Requests of a leader, from sending until their answers are handled.
 *
 * Every module of the leader (leader_*.c) derives its own context from FtLeaderRequest and describes
 * it by a static FtLeaderRequestKind. This module does what all requests have in common: it drops an
 * answer that belongs to an earlier term, repeats a request with jittered exponential backoff when its
 * handler asks for a retry, and frees the context at the end. Handlers return an outcome and never
 * free their context.
 *
 * Private to the leader_*.c files. Times are monotonic, in microseconds. */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "net/leader_term.h"
#include "net/store_client.h"

typedef struct _FtLeaderRequest FtLeaderRequest;

/**
 * FtLeaderOutcome:
 * @FT_LEADER_OUTCOME_DONE: nothing follows; the context is freed
 * @FT_LEADER_OUTCOME_PROGRESS: the answer has changed the scheduler's state, so the scheduler's next
 *     actions are carried out; the context is freed
 * @FT_LEADER_OUTCOME_RETRY: the request is sent again after a backoff pause, with the same context
 * @FT_LEADER_OUTCOME_SUPERSEDED: another controller leads, as the request's `superseded_reason` explains;
 *     the term ends, and the context is freed
 *
 * What follows the handling of an answer.
 */
typedef enum {
  FT_LEADER_OUTCOME_DONE,
  FT_LEADER_OUTCOME_PROGRESS,
  FT_LEADER_OUTCOME_RETRY,
  FT_LEADER_OUTCOME_SUPERSEDED,
} FtLeaderOutcome;

/**
 * FtLeaderRequestKind:
 * @size: bytes of the derived context, whose first member is an FtLeaderRequest
 * @send: sends the request, with one of the ft_leader_request_on_*() callbacks and the context as the
 *     callback's data; called again for each retry
 * @on_store_answer: handles the key-value store's answer
 * @on_cloud_answer: handles the cloud's answer; the status is the HTTP status, 0 if no answer came
 * @on_worker_answer: handles a worker's answer, whose body is not decoded; the status is the HTTP
 *     status, 0 if no answer came
 * @clear: (nullable): frees what the derived context owns
 *
 * One kind of request. Only the handler for the service that receives the request is set. Handlers run
 * only within the request's term.
 */
typedef struct {
  gsize size;
  void (*send) (FtLeaderRequest *request);
  FtLeaderOutcome (*on_store_answer) (FtLeaderRequest *request, FtStoreResult result, const json_t *body);
  FtLeaderOutcome (*on_cloud_answer) (FtLeaderRequest *request, guint status, const json_t *body);
  FtLeaderOutcome (*on_worker_answer) (FtLeaderRequest *request, guint status, const guint8 *body, gsize size);
  void (*clear) (FtLeaderRequest *request);
} FtLeaderRequestKind;

/**
 * FtLeaderRequest:
 * @kind: static
 * @term: borrowed; it outlives its requests
 * @term_number: number of the term in which the request was made
 * @owner: borrowed: the module of the leader that made the request; only its own handlers use it
 * @created_at: when the request was made
 * @retries: number of times that the request was sent again
 * @retry_timer: ID of the timer of the next retry; 0: the request is not waiting for one
 * @retry_link: in `retries` of the term while the request waits for its next retry
 * @superseded_reason: static text, set by a handler that returns %FT_LEADER_OUTCOME_SUPERSEDED
 *
 * The part that the contexts of all requests have in common.
 */
struct _FtLeaderRequest {
  const FtLeaderRequestKind *kind;
  FtLeaderTerm *term;
  guint term_number;
  gpointer owner;
  gint64 created_at;
  guint retries;
  guint retry_timer;
  GList retry_link;
  const char *superseded_reason;
};

/**
 * ft_leader_request_new:
 * @term: the current term, of a controller that leads
 * @kind: static
 * @owner: (nullable): the module that makes the request; borrowed, outlives the request
 *
 * Returns: (transfer full): a zeroed context of the kind's derived type that belongs to the current
 *     term; to be passed to ft_leader_request_send()
 */
gpointer ft_leader_request_new (FtLeaderTerm *term, const FtLeaderRequestKind *kind, gpointer owner);

/**
 * ft_leader_request_send:
 * @request: (transfer full): freed once its answer has been handled or dropped
 */
void ft_leader_request_send (FtLeaderRequest *request);

/**
 * ft_leader_request_drop_retries:
 *
 * Frees the requests that wait for their next retry. Called at the end of the controller, before the modules that made
 * the requests are freed.
 */
void ft_leader_request_drop_retries (FtLeaderTerm *term);

/**
 * ft_leader_request_on_store_answer:
 * @data: (transfer full): the FtLeaderRequest
 *
 * The FtStoreDone callback of requests to the key-value store.
 */
void ft_leader_request_on_store_answer (FtStoreResult result, const json_t *body, gpointer data);

/**
 * ft_leader_request_on_cloud_answer:
 * @data: (transfer full): the FtLeaderRequest
 *
 * The FtHttpDone callback of requests to the cloud.
 */
void ft_leader_request_on_cloud_answer (guint status, const json_t *body, gpointer data);

/**
 * ft_leader_request_on_worker_answer:
 * @data: (transfer full): the FtLeaderRequest
 *
 * The FtHttpRawDone callback of requests to workers.
 */
void ft_leader_request_on_worker_answer (guint status, const guint8 *body, gsize size, gpointer data);

/**
 * ft_leader_first_retry_at:
 *
 * Returns: the monotonic time at which an operation that has just failed may be tried again: now plus the
 *     first, jittered pause of the backoff
 */
gint64 ft_leader_first_retry_at (const FtLeaderTerm *term);
