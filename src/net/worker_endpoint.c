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
  const char *leader = ft_peers_leader (node->peers);
  if (leader == NULL)
    leader = ft_lease_holder (node->lease);
  if (g_strcmp0 (leader, node->config->member) == 0)
    leader = NULL;
  ft_metrics_count (node->metrics, FT_COUNT_REDIRECTS);
  /* The worker connects to another controller next, and would leave an idle connection open here. */
  ft_http_close_after_response (request);
  ft_http_respond (request, FT_HTTP_MISDIRECTED, ft_message_redirect (leader));
}

/* Answers so that the worker's lease is not renewed. The worker connects to another controller next. */
static void
refuse (FtHttpRequest *request)
{
  ft_http_close_after_response (request);
  ft_http_unavailable (request);
}

static gboolean
may_answer (const FtNode *node, gint64 now)
{
  return ft_leader_scheduler (node->leader) != NULL && ft_lease_may_answer (node->lease, now);
}

/* Counts a heartbeat whose status changes nothing, by the reason. */
static void
count_outcome (const FtNode *node, FtHeartbeatOutcome outcome)
{
  static const FtCounter counters[] = {
    [FT_HEARTBEAT_OLDER] = FT_COUNT_HEARTBEATS_OLDER,
    [FT_HEARTBEAT_FORMER_INCARNATION] = FT_COUNT_HEARTBEATS_FORMER,
    [FT_HEARTBEAT_EXPIRED_INCARNATION] = FT_COUNT_HEARTBEATS_EXPIRED,
    [FT_HEARTBEAT_FORMER_TOKEN] = FT_COUNT_HEARTBEATS_FORMER_TOKEN,
    [FT_HEARTBEAT_MACHINE_GONE] = FT_COUNT_HEARTBEATS_GONE,
  };
  if (outcome >= FT_HEARTBEAT_OLDER && outcome <= FT_HEARTBEAT_MACHINE_GONE)
    ft_metrics_count (node->metrics, counters[outcome]);
}

/* Answers a heartbeat as of the current time instead of its arrival, since it may have waited in the queue. */
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
  FtHeartbeatOutcome outcome = ft_scheduler_heartbeat (scheduler, heartbeat, now);
  count_outcome (node, outcome);
  if (outcome == FT_HEARTBEAT_SUPERSEDED) {
    ft_leadership_step_down (node->leadership, "a worker has seen a higher fencing token");
    redirect (node, request);
    return;
  }
  ft_scheduler_set_may_start (scheduler, ft_lease_may_start (node->lease, now));
  guint64 token;
  g_autoptr (GArray) commands = ft_scheduler_answer (scheduler, heartbeat, now, &token);
  if (commands != NULL)
    ft_http_respond (request, FT_HTTP_OK, ft_message_answer (token, commands));
  else
    refuse (request);
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
    redirect (node, request); /* only the leader decodes heartbeats */
  else
    ft_heartbeat_queue_handle (node->heartbeat_queue, request, ft_http_server_turn (node->front), now);
}
