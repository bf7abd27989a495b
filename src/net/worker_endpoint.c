#include "net/worker_endpoint.h"

#include <string.h>

#include "core/constants.h"
#include "wire/messages.h"

/* ---- answers ---- */

static void
redirect (FtNode *node, FtHttpRequest *request)
{
  const char *holder = ft_peers_leader (node->peers);
  if (holder == NULL)
    holder = ft_lease_holder (node->lease);
  if (g_strcmp0 (holder, node->config->member) == 0)
    holder = NULL;
  ft_metrics_count (node->metrics, FT_COUNT_REDIRECTS);
  ft_http_close (request); /* the worker turns to another controller, and would keep its connection here */
  ft_http_respond (request, FT_HTTP_MISDIRECTED, ft_message_redirect (holder));
}

static gboolean
may_answer (const FtNode *node, gint64 now)
{
  return node->leader.scheduler != NULL && ft_lease_may_answer (node->lease, now);
}

/* Everything is decided by the time now, not that of arrival: the heartbeat may have waited. */
static void
answer (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  if (!may_answer (node, now)) {
    redirect (node, request);
    return;
  }
  gsize size;
  const guint8 *body = ft_http_raw (request, &size);
  g_autoptr (FtWorkerHeartbeat) heartbeat = body != NULL ? ft_message_worker_heartbeat_read (body, size) : NULL;
  if (heartbeat == NULL) {
    ft_node_malformed (node, FT_COUNT_MALFORMED_WORKERS, "worker heartbeat");
    ft_http_respond (request, FT_HTTP_BAD_REQUEST, NULL);
    return;
  }
  ft_metrics_count (node->metrics, FT_COUNT_HEARTBEATS);
  if (!ft_scheduler_heartbeat (node->leader.scheduler, heartbeat, now)) {
    ft_leadership_step_down (node->leadership, "a worker has seen a higher fencing token");
    redirect (node, request);
    return;
  }
  ft_scheduler_allow (node->leader.scheduler, ft_lease_may_start (node->lease, now));
  g_autoptr (GArray) commands = ft_scheduler_answer (node->leader.scheduler, heartbeat, now);
  ft_http_respond (request, FT_HTTP_OK, ft_message_answer (ft_lease_token (node->lease), commands));
  ft_node_pump (node);
}

/* ---- the queue ----
 *
 * A turn of the HTTP server answers FT_HEARTBEATS_AT_ONCE heartbeats itself; later ones of the turn,
 * and all while others wait, are queued. A source of the main loop then takes as many at a time,
 * so that timers and other requests get their turn in between. */

typedef struct {
  FtHttpRequest *request;
  gint64 arrived_at;
} QueuedHeartbeat;

static gboolean
backlog_is_late (const FtHeartbeatQueue *queue, gint64 now)
{
  const QueuedHeartbeat *oldest = g_queue_peek_head ((GQueue *) &queue->waiting_heartbeats);
  return oldest != NULL && now - oldest->arrived_at > (gint64) (FT_HEARTBEAT_LATE_S * FT_SECOND);
}

/* Records since when this controller cannot keep up, and has the scheduler allow for it. */
static void
note_backlog (FtNode *node, gboolean late, gint64 now)
{
  FtHeartbeatQueue *queue = &node->heartbeat_queue;
  if (!late)
    queue->overrun_since = 0;
  else if (queue->overrun_since == 0)
    queue->overrun_since = now;
  if (late && node->leader.scheduler != NULL)
    ft_scheduler_late (node->leader.scheduler, now);
}

/* While the backlog is late the newest heartbeats are answered first, so that some workers get an
 * answer in time instead of none. The old ones are taken in all the same: without them their
 * machines would be taken for lost and given back. */
static gboolean
on_heartbeats_waiting (gpointer data)
{
  FtNode *node = data;
  FtHeartbeatQueue *queue = &node->heartbeat_queue;
  gint64 now = g_get_monotonic_time ();
  gboolean late = backlog_is_late (queue, now);
  note_backlog (node, late, now);
  for (guint i = 0; i < FT_HEARTBEATS_AT_ONCE && !g_queue_is_empty (&queue->waiting_heartbeats); i++) {
    g_autofree QueuedHeartbeat *queued
        = late ? g_queue_pop_tail (&queue->waiting_heartbeats) : g_queue_pop_head (&queue->waiting_heartbeats);
    answer (node, queued->request);
  }
  if (!g_queue_is_empty (&queue->waiting_heartbeats))
    return G_SOURCE_CONTINUE;
  queue->heartbeats_source = 0;
  queue->overrun_since = 0;
  return G_SOURCE_REMOVE;
}

static void
enqueue (FtNode *node, FtHttpRequest *request, gint64 now)
{
  FtHeartbeatQueue *queue = &node->heartbeat_queue;
  QueuedHeartbeat *queued = g_new0 (QueuedHeartbeat, 1);
  queued->request = request;
  queued->arrived_at = now;
  g_queue_push_tail (&queue->waiting_heartbeats, queued);
  if (queue->heartbeats_source == 0)
    queue->heartbeats_source = g_idle_add_full (G_PRIORITY_DEFAULT, on_heartbeats_waiting, node, NULL);
}

void
ft_worker_refuse_all (FtNode *node)
{
  FtHeartbeatQueue *queue = &node->heartbeat_queue;
  QueuedHeartbeat *queued;
  g_clear_handle_id (&queue->heartbeats_source, g_source_remove);
  while ((queued = g_queue_pop_head (&queue->waiting_heartbeats)) != NULL) {
    ft_http_unavailable (queued->request);
    g_free (queued);
  }
}

/* Counts the heartbeat to the HTTP server's present turn. */
static gboolean
turn_is_full (FtNode *node)
{
  FtHeartbeatQueue *queue = &node->heartbeat_queue;
  guint turn = ft_http_server_turn (node->front);
  if (turn != queue->heartbeats_turn)
    queue->heartbeats_in_turn = 0;
  queue->heartbeats_turn = turn;
  return ++queue->heartbeats_in_turn > FT_HEARTBEATS_AT_ONCE;
}

void
ft_worker_handle_heartbeat (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  if (strcmp (ft_http_method (request), "POST") != 0)
    ft_http_respond (request, FT_HTTP_METHOD_NOT_ALLOWED, NULL);
  else if (!may_answer (node, now))
    redirect (node, request); /* without decoding it, which only the leader has to */
  else if (g_queue_is_empty (&node->heartbeat_queue.waiting_heartbeats) && !turn_is_full (node))
    answer (node, request);
  else
    enqueue (node, request, now);
}
