#include "net/state_client.h"

#include "core/constants.h"
#include "net/budget.h"

typedef struct {
  FtState *state;
  char *method, *path;
  json_t *body;
  double timeout_s;
  FtStatePriority priority;
  guint writes;
  guint resends;
  FtHttpDone done;
  gpointer data;
} Request;

struct _FtState {
  char *addr;
  double rps, write_rps;
  FtHttpClient *client;
  /* Leases and watches have connections of their own: behind commits a renewal
   * could wait until the lease is gone. */
  FtHttpClient *lease_client, *watch_client;
  FtBudget requests, writes;
  GQueue queues[FT_STATE_READ + 1];
  guint writes_waiting; /* changes of the requests in the queues */
  guint pump_timer;
  gint64 last_served, failing_since;
};

FtState *
ft_state_new (const FtConfig *config)
{
  FtState *state = g_new0 (FtState, 1);
  gint64 now = g_get_monotonic_time ();
  state->addr = g_strdup (config->state);
  state->rps = config->core.state_rps;
  state->write_rps = config->core.state_write_rps;
  state->client = ft_http_client_new (FT_CONNECTIONS_PER_HOST, FT_CONNECTIONS_PER_HOST);
  state->lease_client = ft_http_client_new (2, 2);
  state->watch_client = ft_http_client_new (2, 2);
  ft_budget_init (&state->requests, state->rps * FT_FOLLOWER_SHARE, state->rps * FT_FOLLOWER_SHARE, now);
  double writes = state->write_rps * FT_FOLLOWER_WRITE_SHARE;
  ft_budget_init (&state->writes, writes, writes, now);
  for (int i = 0; i <= FT_STATE_READ; i++)
    g_queue_init (&state->queues[i]);
  return state;
}

static void
request_free (Request *request)
{
  g_free (request->method);
  g_free (request->path);
  json_decref (request->body);
  g_free (request);
}

void
ft_state_free (FtState *state)
{
  if (state == NULL)
    return;
  if (state->pump_timer != 0)
    g_source_remove (state->pump_timer);
  for (int i = 0; i <= FT_STATE_READ; i++)
    g_queue_clear_full (&state->queues[i], (GDestroyNotify) request_free);
  ft_http_client_free (state->client);
  ft_http_client_free (state->lease_client);
  ft_http_client_free (state->watch_client);
  g_free (state->addr);
  g_free (state);
}

void
ft_state_set_leading (FtState *state, gboolean leading)
{
  gint64 now = g_get_monotonic_time ();
  ft_budget_set_rate (&state->requests, state->rps * (leading ? FT_LEADER_SHARE : FT_FOLLOWER_SHARE), now);
  ft_budget_set_rate (&state->writes, state->write_rps * (leading ? FT_LEADER_WRITE_SHARE : FT_FOLLOWER_WRITE_SHARE),
                      now);
}

static void state_pump (FtState *state);

/* Refused for the rate: it was not executed, and goes again once the budget allows it. */
static gboolean
send_again (Request *request, gint64 now)
{
  FtState *state = request->state;
  ft_budget_refused (request->writes > 0 ? &state->writes : &state->requests, now);
  if (request->priority == FT_STATE_LEASE || request->resends >= FT_STATE_RESENDS)
    return FALSE;
  request->resends++;
  state->writes_waiting += request->writes;
  g_queue_push_head (&state->queues[request->priority], request);
  state_pump (state);
  return TRUE;
}

static void
on_done (guint status, const json_t *body, gpointer data)
{
  Request *request = data;
  FtState *state = request->state;
  gint64 now = g_get_monotonic_time ();
  if (status == 429 && send_again (request, now))
    return;
  if (status == 200 || status == 404 || status == 409 || status == 410) {
    state->last_served = now;
    state->failing_since = 0;
  } else if (state->failing_since == 0 && status != 429) {
    state->failing_since = now;
  }
  request->done (status, body, request->data);
  request_free (request);
}

static void
send_request (Request *request, FtHttpClient *client)
{
  ft_http_send (client, request->method, request->state->addr, request->path, FT_BODY_CBOR, request->body,
                request->timeout_s, FALSE, on_done, request);
}

static gboolean
on_pump_timer (gpointer data)
{
  FtState *state = data;
  state->pump_timer = 0;
  state_pump (state);
  return G_SOURCE_REMOVE;
}

static void
take_budgets (FtState *state, const Request *request)
{
  ft_budget_take (&state->requests, 1);
  ft_budget_take (&state->writes, request->writes);
}

static void
pump_again_soon (FtState *state)
{
  if (state->pump_timer == 0)
    state->pump_timer = g_timeout_add (FT_BUDGET_WAIT_MS, on_pump_timer, state);
}

/* What waits for changes holds up what comes after it in its queue, and other changes, but
 * no request that makes none. */
static void
state_pump (FtState *state)
{
  gint64 now = g_get_monotonic_time ();
  gboolean writes_used_up = FALSE;
  for (int i = 0; i <= FT_STATE_READ; i++) {
    Request *request;
    while ((request = g_queue_peek_head (&state->queues[i])) != NULL) {
      if (!ft_budget_has (&state->requests, 1, now)) {
        pump_again_soon (state);
        return;
      }
      if (request->writes > 0 && (writes_used_up || !ft_budget_has (&state->writes, request->writes, now))) {
        writes_used_up = TRUE;
        pump_again_soon (state);
        break;
      }
      g_queue_pop_head (&state->queues[i]);
      state->writes_waiting -= request->writes;
      take_budgets (state, request);
      send_request (request, state->client);
    }
  }
}

static void
submit (FtState *state, const char *method, char *path, const json_t *body, FtStatePriority priority, FtHttpDone done,
        gpointer data)
{
  if (priority == FT_STATE_READ && g_queue_get_length (&state->queues[FT_STATE_READ]) >= FT_STATE_QUEUE_MAX) {
    g_free (path);
    done (503, NULL, data);
    return;
  }
  Request *request = g_new0 (Request, 1);
  request->state = state;
  request->method = g_strdup (method);
  request->path = path;
  request->body = json_incref ((json_t *) body);
  request->priority = priority;
  request->writes = body != NULL ? (guint) json_array_size (json_object_get (body, "apply")) : 0;
  request->timeout_s = FT_STATE_TIMEOUT_S;
  request->done = done;
  request->data = data;
  if (priority == FT_STATE_LEASE) {
    take_budgets (state, request);
    send_request (request, state->lease_client);
    return;
  }
  state->writes_waiting += request->writes;
  g_queue_push_tail (&state->queues[priority], request);
  state_pump (state);
}

void
ft_state_get (FtState *state, const char *key, FtStatePriority priority, FtHttpDone done, gpointer data)
{
  submit (state, "GET", g_strconcat ("/store/", key, NULL), NULL, priority, done, data);
}

void
ft_state_list (FtState *state, const char *prefix, const char *after, FtStatePriority priority, FtHttpDone done,
               gpointer data)
{
  char *path = after != NULL ? g_strdup_printf ("/store?under=%s&since=%s&limit=%d", prefix, after, FT_LIST_LIMIT)
                             : g_strdup_printf ("/store?under=%s&limit=%d", prefix, FT_LIST_LIMIT);
  submit (state, "GET", path, NULL, priority, done, data);
}

void
ft_state_commit (FtState *state, const json_t *txn, FtStatePriority priority, FtHttpDone done, gpointer data)
{
  submit (state, "POST", g_strdup ("/commit"), txn, priority, done, data);
}

void
ft_state_follow (FtState *state, const char *prefix, guint64 since, FtHttpDone done, gpointer data)
{
  Request *request = g_new0 (Request, 1);
  request->state = state;
  request->method = g_strdup ("GET");
  request->path = g_strdup_printf ("/follow?under=%s&since=%" G_GUINT64_FORMAT "&block_ms=%d", prefix, since,
                                   (int) (FT_WATCH_S * 1000));
  request->timeout_s = FT_WATCH_S + FT_WATCH_SLACK_S;
  request->done = done;
  request->data = data;
  ft_budget_take (&state->requests, 1);
  send_request (request, state->watch_client);
}

gboolean
ft_state_contact (const FtState *state, gint64 now)
{
  if (state->last_served == 0)
    return FALSE;
  return state->failing_since == 0 || now - state->failing_since < (gint64) (FT_CONTACT_LOST_S * FT_SECOND);
}

gint64
ft_state_last_served (const FtState *state)
{
  return state->last_served;
}

guint
ft_state_queued (const FtState *state)
{
  return g_queue_get_length ((GQueue *) &state->queues[FT_STATE_COMMIT])
         + g_queue_get_length ((GQueue *) &state->queues[FT_STATE_READ]);
}

double
ft_state_write_wait_s (const FtState *state)
{
  return state->writes_waiting > 0 ? (state->writes_waiting - state->writes.level) / state->writes.rate : 0;
}

gboolean
ft_state_spare_writes (FtState *state)
{
  double least = state->writes.burst * FT_SPARE_WRITES_SHARE;
  return state->writes_waiting == 0 && ft_budget_has (&state->writes, least, g_get_monotonic_time ());
}

gint64
ft_state_failing_since (const FtState *state)
{
  return state->failing_since;
}
