/* Requests that a leader has sent and whose answers it waits for.
 *
 * Every module of the leader (leader_*.c) derives its own context from FtLeaderRequest and
 * describes it by a static FtLeaderRequestKind. What all requests share stands here once: an
 * answer that belongs to an earlier term is dropped, a request that must succeed is repeated
 * with jittered exponential backoff, and the context is freed when it is over. Handlers never
 * free their context; they return an outcome.
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
 * @FT_LEADER_OUTCOME_DONE: nothing further; the context is freed
 * @FT_LEADER_OUTCOME_PROGRESS: the scheduler has news, so its next actions are carried out; the
 *     context is freed
 * @FT_LEADER_OUTCOME_RETRY: the request is sent again after a pause, with the same context
 * @FT_LEADER_OUTCOME_SUPERSEDED: another controller leads, as `superseded_reason` says: the term
 *     ends; the context is freed
 *
 * What is to follow an answer.
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
 * @send: sends the request, with one of the ft_leader_request_on_*() callbacks and the context as
 *     its data; called again for each retry
 * @on_store_answer: handles the key-value store's answer
 * @on_cloud_answer: handles the cloud's answer; the status is HTTP's, 0 if none came
 * @on_worker_answer: handles a worker's answer, not decoded; the status is HTTP's, 0 if none came
 * @clear: (nullable): frees what the derived context owns
 *
 * One kind of request, with the handler of the service to which it is sent. Handlers run only
 * within the request's term.
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
 * @term_number: of the term in which the request was made
 * @owner: borrowed: the part of the leader that made the request, for its own handlers
 * @created_at: when it was made
 * @retries: how often it was sent again
 * @superseded_reason: static text, set by a handler with %FT_LEADER_OUTCOME_SUPERSEDED
 *
 * The common part of a context.
 */
struct _FtLeaderRequest {
  const FtLeaderRequestKind *kind;
  FtLeaderTerm *term;
  guint term_number;
  gpointer owner;
  gint64 created_at;
  guint retries;
  const char *superseded_reason;
};

/**
 * ft_leader_request_new:
 * @term: the present term, of a controller that leads
 * @kind: static
 * @owner: (nullable): borrowed; outlives the request
 *
 * Returns: (transfer full): a zeroed context of the kind's derived type, of the present term; to
 *     be handed to ft_leader_request_send()
 */
gpointer ft_leader_request_new (FtLeaderTerm *term, const FtLeaderRequestKind *kind, gpointer owner);

/**
 * ft_leader_request_send:
 * @request: (transfer full): is freed when its answer was handled or dropped
 */
void ft_leader_request_send (FtLeaderRequest *request);

/**
 * ft_leader_request_on_store_answer:
 * @data: (transfer full): the FtLeaderRequest
 *
 * The FtStoreDone of requests to the key-value store.
 */
void ft_leader_request_on_store_answer (FtStoreResult result, const json_t *body, gpointer data);

/**
 * ft_leader_request_on_cloud_answer:
 * @data: (transfer full): the FtLeaderRequest
 *
 * The FtHttpDone of requests to the cloud.
 */
void ft_leader_request_on_cloud_answer (guint status, const json_t *body, gpointer data);

/**
 * ft_leader_request_on_worker_answer:
 * @data: (transfer full): the FtLeaderRequest
 *
 * The FtHttpRawDone of requests to workers.
 */
void ft_leader_request_on_worker_answer (guint status, const guint8 *body, gsize size, gpointer data);

/**
 * ft_leader_first_retry_at:
 *
 * Returns: the monotonic time at which something that failed now is worth another attempt: after
 *     the first pause of the backoff, jittered
 */
gint64 ft_leader_first_retry_at (const FtLeaderTerm *term);
