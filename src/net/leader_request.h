/* Requests that a leader has sent and whose answers it waits for.
 *
 * Every module of the leader (leader_*.c) derives its own context from FtLeaderRequest and
 * describes it by a static FtLeaderRequestKind. What all requests share stands here once:
 * an answer that belongs to an earlier term is dropped, a request that must succeed is
 * repeated with jittered exponential backoff, and the context is freed when it is over.
 * Handlers never free their context; they return an outcome.
 *
 * Private to the leader_*.c files. */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "net/store_client.h"

typedef struct _FtNode FtNode;
typedef struct _FtLeaderRequest FtLeaderRequest;

/* What is to follow an answer. */
typedef enum {
  FT_LEADER_OUTCOME_DONE,       /* nothing further: the context is freed */
  FT_LEADER_OUTCOME_PROGRESS,   /* freed as well; the scheduler has news, so its next actions are carried out */
  FT_LEADER_OUTCOME_RETRY,      /* the context is kept, and the request sent again after a pause */
  FT_LEADER_OUTCOME_SUPERSEDED, /* another controller leads: freed, and this one steps down for
                                   the reason in `superseded_reason` */
} FtLeaderOutcome;

/* One kind of request. A kind has a handler for the channel on which it is sent. */
typedef struct {
  gsize size; /* bytes of the derived context, of which FtLeaderRequest is the first member */
  /* Sends the request with one of the ft_leader_request_on_*() callbacks and the context as
   * its data; called again for each retry. */
  void (*send) (FtLeaderRequest *request);
  /* The answer of the key-value store. */
  FtLeaderOutcome (*on_store_answer) (FtLeaderRequest *request, FtStoreResult result, const json_t *body);
  /* The answer of the cloud: an HTTP status, 0 if none came. */
  FtLeaderOutcome (*on_cloud_answer) (FtLeaderRequest *request, guint status, const json_t *body);
  /* The answer of a worker, not decoded: an HTTP status, 0 if none came. */
  FtLeaderOutcome (*on_worker_answer) (FtLeaderRequest *request, guint status, const guint8 *body, gsize size);
  /* Frees what the derived context owns; NULL: nothing. */
  void (*clear) (FtLeaderRequest *request);
} FtLeaderRequestKind;

/* The common part of a context. */
struct _FtLeaderRequest {
  const FtLeaderRequestKind *kind; /* static */
  FtNode *node;                    /* borrowed: it outlives its requests */
  guint term;                      /* the leader's term in which it was made */
  gint64 created_at;               /* monotonic, microseconds */
  guint retries;
  const char *superseded_reason; /* static; see FT_LEADER_OUTCOME_SUPERSEDED */
};

/* A zeroed context of the derived type; hand it to ft_leader_request_send(). */
gpointer ft_leader_request_new (FtNode *node, const FtLeaderRequestKind *kind);
/* Sends the request, which then owns itself until its answer was handled or dropped. */
void ft_leader_request_send (FtLeaderRequest *request);

/* Callbacks for the clients; `data` is the FtLeaderRequest. */
void ft_leader_request_on_store_answer (FtStoreResult result, const json_t *body, gpointer data);
void ft_leader_request_on_cloud_answer (guint status, const json_t *body, gpointer data);
void ft_leader_request_on_worker_answer (guint status, const guint8 *body, gsize size, gpointer data);

/* Monotonic time, in microseconds, at which something that just failed is worth another
 * attempt: the first pause of the backoff, jittered. */
gint64 ft_leader_first_retry_at (FtNode *node);
