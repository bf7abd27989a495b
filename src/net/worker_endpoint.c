#include "net/worker_endpoint.h"

#include <string.h>

#include "core/lease.h"
#include "net/leader.h"
#include "net/leadership.h"
#include "net/malformed.h"
#include "net/metrics.h"
#include "net/peers.h"
#include "wire/messages.h"

/* ---- answers ---- */

static void
redirect (const FtNode *node, FtHttpRequest *request)
{
  const char *holder = ft_peers_leader (node->peers);
  if (holder == NULL)
    holder = ft_lease_holder (node->lease);
  if (g_strcmp0 (holder, node->config->member) == 0)
    holder = NULL;
  ft_metrics_count (node->metrics, FT_COUNT_REDIRECTS);
  ft_http_close_after_response (
      request); /* the worker turns to another controller, and would keep its connection here */
  ft_http_respond (request, FT_HTTP_MISDIRECTED, ft_message_redirect (holder));
}

static gboolean
may_answer (const FtNode *node, gint64 now)
{
  return ft_leader_scheduler (node->leader) != NULL && ft_lease_may_answer (node->lease, now);
}

/* Everything is decided by the time now, not that of arrival: the heartbeat may have waited. */
static void
answer (FtHttpRequest *request, gpointer data)
{
  const FtNode *node = data;
  gint64 now = g_get_monotonic_time ();
  if (!may_answer (node, now)) {
    redirect (node, request);
    return;
  }
  gsize size;
  const guint8 *body = ft_http_raw_body (request, &size);
  g_autoptr (FtWorkerHeartbeat) heartbeat = body != NULL ? ft_message_worker_heartbeat_from_cbor (body, size) : NULL;
  if (heartbeat == NULL) {
    ft_malformed_log_add (node->malformed, FT_COUNT_MALFORMED_WORKERS, "worker heartbeat");
    ft_http_respond (request, FT_HTTP_BAD_REQUEST, NULL);
    return;
  }
  FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  ft_metrics_count (node->metrics, FT_COUNT_HEARTBEATS);
  if (!ft_scheduler_heartbeat (scheduler, heartbeat, now)) {
    ft_leadership_step_down (node->leadership, "a worker has seen a higher fencing token");
    redirect (node, request);
    return;
  }
  ft_scheduler_set_may_start (scheduler, ft_lease_may_start (node->lease, now));
  g_autoptr (GArray) commands = ft_scheduler_answer (scheduler, heartbeat, now);
  ft_http_respond (request, FT_HTTP_OK, ft_message_answer (ft_lease_token (node->lease), commands));
  ft_leader_run_actions (node->leader, g_get_monotonic_time ());
}

/* ---- the queue ---- */

static void
on_backlog_late (gint64 now, gpointer data)
{
  const FtNode *node = data;
  FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  if (scheduler != NULL)
    ft_scheduler_was_late (scheduler, now);
}

const FtHeartbeatQueueHooks ft_worker_queue_hooks = {
  .answer = answer,
  .late = on_backlog_late,
};

void
ft_worker_handle_heartbeat (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  if (strcmp (ft_http_method (request), "POST") != 0)
    ft_http_respond (request, FT_HTTP_METHOD_NOT_ALLOWED, NULL);
  else if (!may_answer (node, now))
    redirect (node, request); /* without decoding it, which only the leader has to */
  else
    ft_heartbeat_queue_handle (node->heartbeat_queue, request, ft_http_server_turn (node->front), now);
}
