#include "net/store_client.h"

#include "core/constants.h"
#include "core/duration.h"
#include "net/budget.h"
#include "net/completion_queue.h"
#include "wire/store_messages.h"

/* Maximum number of connections for requests of FT_STORE_PRIORITY_LEASE. */
#define LEASE_CONNECTIONS 2
/* Maximum number of connections for watches. */
#define WATCH_CONNECTIONS 2
/* Number of queues of requests, one for each priority. */
#define QUEUE_COUNT (FT_STORE_PRIORITY_READ + 1)

/* A request, from its submission until its callback returns. One of the store client's queues owns it. */
typedef struct {
  FtStoreClient *store; /* borrowed */
  GList link;           /* in `in_flight` of the store client while the request awaits its answer */
  char *method, *path;
  json_t *body; /* a reference; NULL: the request has no body */
  double timeout_s;
  FtStorePriority priority;
  guint writes;      /* number of changes that the transaction makes; 0: the request changes nothing */
  gint64 created_at; /* monotonic, microseconds */
  guint resends;     /* number of times that it was sent again after the store had throttled it */
  FtStoreDone done;
  gpointer data;
} Request;

/* A request that was refused without being sent. */
typedef struct {
  FtStoreDone done;
  gpointer data;
} Refusal;

/* The requests of one priority that wait for a budget. */
typedef struct {
  GQueue requests; /* elements: Request, oldest first */
  guint longest;   /* greatest length so far */
  guint64 refused; /* number of requests that were refused without being sent */
} RequestQueue;

struct _FtStoreClient {
  char *member; /* name of this controller, for log lines */
  char *addr;
  double rps, write_rps; /* the store's limits for all controllers: requests and changes per second */
  FtHttpClient *client;
  /* Requests for the lease and watches have separate connections: if renewals shared those of the
   * commits, a renewal could wait until the lease has expired. */
  FtHttpClient *lease_client, *watch_client;
  FtBudget requests, writes;
  /* The index is the FtStorePriority; the queue of FT_STORE_PRIORITY_LEASE stays empty. */
  RequestQueue queues[QUEUE_COUNT];
  FtCompletionQueue *refusals; /* elements: Refusal, whose callbacks the main loop calls */
  guint writes_waiting;        /* number of changes that the requests in the queues make */
  guint queue_timer;           /* ID of the timer that checks the queues again; 0: none */
  gint64 last_served;          /* when the store last served a request; 0: never */
  gint64 failing_since; /* when the first request failed since `last_served`, not counting throttled ones; 0: none */
  GQueue in_flight;     /* elements: Request, that were sent and not answered yet */
  gint64 refusal_logged_at; /* when the last log line about a full queue was written; 0: never */
};

static void
refusal_complete (gpointer data)
{
  g_autofree Refusal *refusal = data;
  refusal->done (FT_STORE_UNAVAILABLE, NULL, refusal->data);
}

FtStoreClient *
ft_store_client_new (const FtConfig *config)
{
  FtStoreClient *store = g_new0 (FtStoreClient, 1);
  gint64 now = g_get_monotonic_time ();
  store->member = g_strdup (config->member);
  store->addr = g_strdup (config->store_addr);
  store->rps = config->core.store_rps;
  store->write_rps = config->core.store_write_rps;
  store->client = ft_http_client_new (FT_CONNECTIONS_PER_HOST, FT_CONNECTIONS_PER_HOST);
  store->lease_client = ft_http_client_new (LEASE_CONNECTIONS, LEASE_CONNECTIONS);
  store->watch_client = ft_http_client_new (WATCH_CONNECTIONS, WATCH_CONNECTIONS);
  ft_budget_init (&store->requests, store->rps * FT_FOLLOWER_REQUEST_SHARE, store->rps * FT_FOLLOWER_REQUEST_SHARE,
                  now);
  double writes = store->write_rps * FT_FOLLOWER_WRITE_SHARE;
  ft_budget_init (&store->writes, writes, writes, now);
  store->refusals = ft_completion_queue_new (refusal_complete, g_free);
  g_queue_init (&store->in_flight);
  for (int i = 0; i < QUEUE_COUNT; i++)
    g_queue_init (&store->queues[i].requests);
  return store;
}

static void
request_free (Request *request)
{
  g_free (request->method);
  g_free (request->path);
  json_decref (request->body);
  g_free (request);
}

/* Frees the requests in flight. The HTTP clients must be freed first, since their requests refer to them. */
static void
free_in_flight (FtStoreClient *store)
{
  GList *link;
  while ((link = g_queue_pop_head_link (&store->in_flight)) != NULL)
    request_free (link->data);
}

void
ft_store_client_free (FtStoreClient *store)
{
  if (store == NULL)
    return;
  if (store->queue_timer != 0)
    g_source_remove (store->queue_timer);
  for (int i = 0; i < QUEUE_COUNT; i++)
    g_queue_clear_full (&store->queues[i].requests, (GDestroyNotify) request_free);
  ft_completion_queue_free (store->refusals);
  ft_http_client_free (store->client);
  ft_http_client_free (store->lease_client);
  ft_http_client_free (store->watch_client);
  free_in_flight (store);
  g_free (store->addr);
  g_free (store->member);
  g_free (store);
}

void
ft_store_client_set_leading (FtStoreClient *store, gboolean leading)
{
  gint64 now = g_get_monotonic_time ();
  ft_budget_set_rate (&store->requests, store->rps * (leading ? FT_LEADER_REQUEST_SHARE : FT_FOLLOWER_REQUEST_SHARE),
                      now);
  ft_budget_set_rate (&store->writes, store->write_rps * (leading ? FT_LEADER_WRITE_SHARE : FT_FOLLOWER_WRITE_SHARE),
                      now);
}

static void send_queued (FtStoreClient *store);

static guint
queue_length (const FtStoreClient *store, FtStorePriority priority)
{
  return g_queue_get_length ((GQueue *) &store->queues[priority].requests);
}

static void
note_queued (FtStoreClient *store, const Request *request)
{
  RequestQueue *queue = &store->queues[request->priority];
  store->writes_waiting += request->writes;
  queue->longest = MAX (queue->longest, queue_length (store, request->priority));
}

/* Queues a request that the store has throttled, so that it is sent again once the budgets allow that. The
 * store has not executed a throttled request. Returns FALSE, and leaves the request to the caller, if its
 * priority is FT_STORE_PRIORITY_LEASE or it was already sent again FT_STORE_RESENDS times. */
static gboolean
resend_throttled (Request *request, gint64 now)
{
  FtStoreClient *store = request->store;
  ft_budget_note_throttled (request->writes > 0 ? &store->writes : &store->requests, now);
  if (request->priority == FT_STORE_PRIORITY_LEASE || request->resends >= FT_STORE_RESENDS)
    return FALSE;
  request->resends++;
  g_queue_push_head (&store->queues[request->priority].requests, request);
  note_queued (store, request);
  send_queued (store);
  return TRUE;
}

/* Handles an answer. Frees the request unless it is sent again. */
static void
on_answer (guint status, const json_t *body, gpointer data)
{
  Request *request = data;
  FtStoreClient *store = request->store;
  FtStoreResult result = ft_store_result_from_status (status);
  gint64 now = g_get_monotonic_time ();
  g_queue_unlink (&store->in_flight, &request->link);
  if (result == FT_STORE_THROTTLED && resend_throttled (request, now))
    return;
  if (ft_store_result_is_served (result)) {
    store->last_served = now;
    store->failing_since = 0;
  } else if (store->failing_since == 0 && result != FT_STORE_THROTTLED) {
    store->failing_since = now;
  }
  request->done (result, body, request->data);
  request_free (request);
}

static void
send_request (Request *request, FtHttpClient *client)
{
  request->link = (GList){ .data = request };
  g_queue_push_tail_link (&request->store->in_flight, &request->link);
  ft_http_send (client, request->method, request->store->addr, request->path, FT_BODY_CBOR, request->body,
                request->timeout_s, FALSE, on_answer, request);
}

/* Writes a log line about a request that the full queue of reads refuses, unless one was written within
 * FT_STORE_FULL_LOG_S. */
static void
log_full_queue (FtStoreClient *store)
{
  gint64 now = g_get_monotonic_time ();
  if (store->refusal_logged_at > 0 && now - store->refusal_logged_at < ft_seconds (FT_STORE_FULL_LOG_S))
    return;
  store->refusal_logged_at = now;
  g_warning ("node %s: the queue of reads from the key-value store is full: %" G_GUINT64_FORMAT " refused so far",
             store->member, store->queues[FT_STORE_PRIORITY_READ].refused);
}

/* Refuses a request without sending it: the main loop calls `done` with FT_STORE_UNAVAILABLE. */
static void
refuse (FtStoreClient *store, FtStorePriority priority, FtStoreDone done, gpointer data)
{
  Refusal *refusal = g_new0 (Refusal, 1);
  refusal->done = done;
  refusal->data = data;
  store->queues[priority].refused++;
  ft_completion_queue_add (store->refusals, refusal);
}

/* Gives up the reads that have waited for longer than a user request may wait: their callbacks get
 * FT_STORE_UNAVAILABLE. */
static void
give_up_late_reads (FtStoreClient *store, gint64 now)
{
  RequestQueue *queue = &store->queues[FT_STORE_PRIORITY_READ];
  const Request *oldest;
  while ((oldest = g_queue_peek_head (&queue->requests)) != NULL
         && now - oldest->created_at > ft_seconds (FT_USER_DEADLINE_S)) {
    Request *request = g_queue_pop_head (&queue->requests);
    refuse (store, FT_STORE_PRIORITY_READ, request->done, request->data);
    request_free (request);
  }
}

static gboolean
on_queue_timer (gpointer data)
{
  FtStoreClient *store = data;
  store->queue_timer = 0;
  give_up_late_reads (store, g_get_monotonic_time ());
  send_queued (store);
  return G_SOURCE_REMOVE;
}

static void
charge_budgets (FtStoreClient *store, const Request *request)
{
  ft_budget_take (&store->requests, 1);
  ft_budget_take (&store->writes, request->writes);
}

static void
schedule_queue_check (FtStoreClient *store)
{
  if (store->queue_timer == 0)
    store->queue_timer = g_timeout_add (FT_BUDGET_WAIT_MS, on_queue_timer, store);
}

/* Sends the queued requests that the budgets allow, in the order of their priorities. A request that waits
 * for the budget for changes blocks the requests behind it in its queue and all other requests that make
 * changes, but not the reads in other queues. */
static void
send_queued (FtStoreClient *store)
{
  gint64 now = g_get_monotonic_time ();
  gboolean writes_used_up = FALSE;
  for (int i = 0; i < QUEUE_COUNT; i++) {
    Request *request;
    while ((request = g_queue_peek_head (&store->queues[i].requests)) != NULL) {
      if (!ft_budget_has (&store->requests, 1, now)) {
        schedule_queue_check (store);
        return;
      }
      if (request->writes > 0 && (writes_used_up || !ft_budget_has (&store->writes, request->writes, now))) {
        writes_used_up = TRUE;
        schedule_queue_check (store);
        break;
      }
      g_queue_pop_head (&store->queues[i].requests);
      store->writes_waiting -= request->writes;
      charge_budgets (store, request);
      send_request (request, store->client);
    }
  }
}

/* Sends, queues or refuses a request. Takes ownership of `path`. */
static void
submit (FtStoreClient *store, const char *method, char *path, const json_t *body, FtStorePriority priority,
        FtStoreDone done, gpointer data)
{
  if (priority == FT_STORE_PRIORITY_READ && queue_length (store, priority) >= FT_STORE_QUEUE_MAX) {
    g_free (path);
    refuse (store, priority, done, data);
    log_full_queue (store);
    return;
  }
  Request *request = g_new0 (Request, 1);
  request->store = store;
  request->method = g_strdup (method);
  request->path = path;
  request->body = json_incref ((json_t *) body);
  request->priority = priority;
  request->writes = ft_txn_change_count (body);
  request->timeout_s = FT_STORE_TIMEOUT_S;
  request->created_at = g_get_monotonic_time ();
  request->done = done;
  request->data = data;
  if (priority == FT_STORE_PRIORITY_LEASE) {
    charge_budgets (store, request);
    send_request (request, store->lease_client);
    return;
  }
  g_queue_push_tail (&store->queues[priority].requests, request);
  note_queued (store, request);
  send_queued (store);
}

void
ft_store_client_get (FtStoreClient *store, const char *key, FtStorePriority priority, FtStoreDone done, gpointer data)
{
  submit (store, "GET", g_strconcat ("/store/", key, NULL), NULL, priority, done, data);
}

void
ft_store_client_list (FtStoreClient *store, const char *prefix, const char *after, FtStorePriority priority,
                      FtStoreDone done, gpointer data)
{
  char *path = after != NULL ? g_strdup_printf ("/store?under=%s&since=%s&limit=%d", prefix, after, FT_LIST_LIMIT)
                             : g_strdup_printf ("/store?under=%s&limit=%d", prefix, FT_LIST_LIMIT);
  submit (store, "GET", path, NULL, priority, done, data);
}

void
ft_store_client_commit (FtStoreClient *store, const json_t *txn, FtStorePriority priority, FtStoreDone done,
                        gpointer data)
{
  submit (store, "POST", g_strdup ("/commit"), txn, priority, done, data);
}

void
ft_store_client_watch (FtStoreClient *store, const char *prefix, guint64 since, FtStoreDone done, gpointer data)
{
  Request *request = g_new0 (Request, 1);
  request->store = store;
  request->method = g_strdup ("GET");
  request->path = g_strdup_printf ("/follow?under=%s&since=%" G_GUINT64_FORMAT "&block_ms=%d", prefix, since,
                                   (int) (FT_WATCH_S * FT_MS_PER_SECOND));
  request->timeout_s = FT_WATCH_S + FT_WATCH_SLACK_S;
  request->done = done;
  request->data = data;
  ft_budget_take (&store->requests, 1);
  send_request (request, store->watch_client);
}

gboolean
ft_store_client_has_contact (const FtStoreClient *store, gint64 now)
{
  if (store->last_served == 0)
    return FALSE;
  return store->failing_since == 0 || now - store->failing_since < ft_seconds (FT_CONTACT_LOST_S);
}

gint64
ft_store_client_last_served_at (const FtStoreClient *store)
{
  return store->last_served;
}

guint
ft_store_client_queued (const FtStoreClient *store)
{
  return queue_length (store, FT_STORE_PRIORITY_COMMIT) + queue_length (store, FT_STORE_PRIORITY_READ);
}

FtStoreQueueStatus
ft_store_client_queue_status (const FtStoreClient *store, FtStorePriority priority)
{
  const RequestQueue *queue = &store->queues[priority];
  return (FtStoreQueueStatus){
    .length = queue_length (store, priority),
    .longest = queue->longest,
    .refused = queue->refused,
  };
}

double
ft_store_client_write_wait_s (const FtStoreClient *store)
{
  return store->writes_waiting > 0 ? ft_budget_seconds_for (&store->writes, store->writes_waiting) : 0;
}

gboolean
ft_store_client_has_spare_writes (FtStoreClient *store)
{
  return store->writes_waiting == 0
         && ft_budget_has_share (&store->writes, FT_SPARE_WRITES_SHARE, g_get_monotonic_time ());
}

gint64
ft_store_client_failing_since (const FtStoreClient *store)
{
  return store->failing_since;
}

guint
ft_store_client_in_flight (const FtStoreClient *store)
{
  return g_queue_get_length ((GQueue *) &store->in_flight);
}
