/* Heartbeats of the workers: the leader answers them, the others point to it. */
#include <string.h>

#include "core/constants.h"
#include "net/node.h"
#include "wire/messages.h"

static void
redirect (FtNode *node, FtHttpRequest *request)
{
  const char *holder = ft_peers_leader (node->peers);
  if (holder == NULL)
    holder = ft_lease_holder (node->lease);
  if (g_strcmp0 (holder, node->config->member) == 0)
    holder = NULL;
  ft_metrics_count (node->metrics, FT_COUNT_REDIRECTS);
  ft_http_close (request); /* it goes to another: thousands would keep theirs open here */
  ft_http_respond (request, 421, ft_message_redirect (holder));
}

static gboolean
entitled (const FtNode *node, gint64 now)
{
  return node->leader.scheduler != NULL && ft_lease_may_answer (node->lease, now);
}

/* Everything is judged by the clock of this moment: the heartbeat may have waited. */
static void
serve (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  if (!entitled (node, now)) {
    redirect (node, request);
    return;
  }
  gsize size;
  const guint8 *body = ft_http_raw (request, &size);
  g_autoptr (FtWorkerHeartbeat) heartbeat = body != NULL ? ft_message_worker_heartbeat_read (body, size) : NULL;
  if (heartbeat == NULL) {
    ft_node_malformed (node, FT_COUNT_MALFORMED_WORKERS, "report");
    ft_http_respond (request, 400, NULL);
    return;
  }
  ft_metrics_count (node->metrics, FT_COUNT_HEARTBEATS);
  if (!ft_scheduler_heartbeat (node->leader.scheduler, heartbeat, now)) {
    ft_leadership_step_down (node->leadership, "a worker has seen a higher token");
    redirect (node, request);
    return;
  }
  ft_scheduler_allow (node->leader.scheduler, ft_lease_may_start (node->lease, now));
  g_autoptr (GArray) commands = ft_scheduler_answer (node->leader.scheduler, heartbeat, now);
  ft_http_respond (request, 200, ft_message_answer (ft_lease_token (node->lease), commands));
  ft_node_pump (node);
}

/* ---- reports that wait ---- */

typedef struct {
  FtHttpRequest *request;
  gint64 came_at;
} Waiting;

static gboolean
backlog_is_old (FtNode *node, gint64 now)
{
  const Waiting *oldest = g_queue_peek_head (&node->heartbeat_queue.waiting_heartbeats);
  return oldest != NULL && now - oldest->came_at > (gint64) (FT_HEARTBEAT_LATE_S * FT_SECOND);
}

/* Under a backlog of all workers at once renewals and probes of the balancer would come
 * seconds late: a turn takes a few reports. If they wait for long the newest go first,
 * so that some workers are answered in time instead of none; the old ones are taken in
 * all the same, or their machines would be missed and given back. */
static gboolean
on_waiting_heartbeats (gpointer data)
{
  FtNode *node = data;
  gint64 now = g_get_monotonic_time ();
  gboolean old = backlog_is_old (node, now);
  if (!old)
    node->heartbeat_queue.overrun_since = 0;
  else if (node->heartbeat_queue.overrun_since == 0)
    node->heartbeat_queue.overrun_since = now;
  if (old && node->leader.scheduler != NULL)
    ft_scheduler_late (node->leader.scheduler, now);
  for (guint i = 0; i < FT_HEARTBEATS_AT_ONCE && !g_queue_is_empty (&node->heartbeat_queue.waiting_heartbeats); i++) {
    g_autofree Waiting *waiting = old ? g_queue_pop_tail (&node->heartbeat_queue.waiting_heartbeats)
                                      : g_queue_pop_head (&node->heartbeat_queue.waiting_heartbeats);
    serve (node, waiting->request);
  }
  if (!g_queue_is_empty (&node->heartbeat_queue.waiting_heartbeats))
    return G_SOURCE_CONTINUE;
  node->heartbeat_queue.heartbeats_source = 0;
  node->heartbeat_queue.overrun_since = 0;
  return G_SOURCE_REMOVE;
}

void
ft_worker_refuse_all (FtNode *node)
{
  Waiting *waiting;
  if (node->heartbeat_queue.heartbeats_source != 0)
    g_source_remove (node->heartbeat_queue.heartbeats_source);
  while ((waiting = g_queue_pop_head (&node->heartbeat_queue.waiting_heartbeats)) != NULL) {
    ft_http_unavailable (waiting->request);
    g_free (waiting);
  }
}

static gboolean
turn_is_full (FtNode *node)
{
  guint turn = ft_http_server_turn (node->front);
  if (turn != node->heartbeat_queue.heartbeats_turn)
    node->heartbeat_queue.heartbeats_in_turn = 0;
  node->heartbeat_queue.heartbeats_turn = turn;
  return ++node->heartbeat_queue.heartbeats_in_turn > FT_HEARTBEATS_AT_ONCE;
}

void
ft_worker_handle_heartbeat (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  if (strcmp (ft_http_method (request), "POST") != 0) {
    ft_http_respond (request, 405, NULL);
  } else if (!entitled (node, now)) {
    redirect (node, request); /* unread: that is the leader's work */
  } else if (g_queue_is_empty (&node->heartbeat_queue.waiting_heartbeats) && !turn_is_full (node)) {
    serve (node, request);
  } else {
    Waiting *waiting = g_new0 (Waiting, 1);
    waiting->request = request;
    waiting->came_at = now;
    g_queue_push_tail (&node->heartbeat_queue.waiting_heartbeats, waiting);
    if (node->heartbeat_queue.heartbeats_source == 0)
      node->heartbeat_queue.heartbeats_source = g_idle_add_full (G_PRIORITY_DEFAULT, on_waiting_heartbeats, node, NULL);
  }
}
