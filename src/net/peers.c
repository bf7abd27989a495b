/* What controllers tell each other: a heartbeat with the sight of the state
 * service, and the leader's summary of running jobs. Nothing here decides who
 * leads; the fence does. */
#include <string.h>

#include "core/constants.h"
#include "net/admin.h"
#include "net/node.h"
#include "wire/peer_heartbeat.h"

typedef struct {
  FtNode *node;
  guint peer;
} HeartbeatCall;

/* Another peer answers us: the peers works, and who refuses us is alone with it. */
static gboolean
another_peer_answers (const FtNode *node, gint64 now)
{
  for (guint i = 0; i < node->peer_group.peers->len; i++) {
    const FtPeerState *view = &g_array_index (node->peer_group.peers, FtPeerState, i);
    if (view->refused == 0 && view->answered_at > 0
        && now - view->answered_at < (gint64) (FT_PEER_WITNESS_S * FT_SECOND))
      return TRUE;
  }
  return FALSE;
}

static void
on_heartbeat_answered (guint status, const json_t *body, gpointer data)
{
  g_autofree HeartbeatCall *call = data;
  FtNode *node = call->node;
  FtPeerState *view = &g_array_index (node->peer_group.peers, FtPeerState, call->peer);
  gint64 now = g_get_monotonic_time ();
  (void) body;
  view->in_flight = FALSE;
  if (status != 0 || now - view->sent_at > (gint64) (FT_PEER_REFUSED_S * FT_SECOND)) {
    view->answered_at = status != 0 ? now : view->answered_at;
    view->refused = 0; /* answered, or silent: a cut does not refuse */
    return;
  }
  view->refused++;
  node->peer_group.next_peer_heartbeat
      = MIN (node->peer_group.next_peer_heartbeat, now + (gint64) (FT_PEER_RETRY_S * FT_SECOND));
  /* Refused again and again, and silent itself: most likely its process ended. */
  if (view->refused >= FT_PEER_REFUSALS && now - view->heard_at > (gint64) (FT_PEER_EVERY_S * FT_SECOND))
    ft_lease_suspect (node->lease, view->peer->member, another_peer_answers (node, now), now);
}

static void
add_job (const FtJobInfo *job, gpointer data)
{
  FtPeerHeartbeat *heartbeat = data;
  /* For display only: what is left out shows as queued. A body beyond the limit
   * would be refused whole. */
  if ((job->done > 0 || job->running > 0) && heartbeat->jobs->len < FT_PEER_JOBS_MAX)
    ft_peer_heartbeat_add_job (heartbeat, job->ref, job->done, job->running);
}

/* ---- cancellations: hints, on which no rule rests ---- */

typedef struct {
  char *ref;
  gint64 at;
} RecentCancellation;

void
ft_peers_forget_cancellations (FtNode *node, gint64 before)
{
  RecentCancellation *oldest;
  while ((oldest = g_queue_peek_head (&node->peer_group.recent_cancellations)) != NULL && oldest->at < before) {
    g_queue_pop_head (&node->peer_group.recent_cancellations);
    g_free (oldest->ref);
    g_free (oldest);
  }
}

static void
apply_advisory_cancellation (FtNode *node, const char *ref)
{
  if (node->leader.scheduler != NULL)
    ft_scheduler_cancellation_advised (node->leader.scheduler, ref, g_get_monotonic_time ());
}

/* The leader sees cancellations by its watch; one that the state service refuses does not,
 * and would go on with such tasks until its hold is over. */
void
ft_node_job_cancelled (FtNode *node, const char *ref)
{
  RecentCancellation *entry = g_new0 (RecentCancellation, 1);
  entry->ref = g_strdup (ref);
  entry->at = g_get_monotonic_time ();
  g_queue_push_tail (&node->peer_group.recent_cancellations, entry);
  node->peer_group.next_peer_heartbeat = entry->at;
  apply_advisory_cancellation (node, ref);
  ft_node_pump (node);
}

static void
add_cancellations (FtNode *node, FtPeerHeartbeat *heartbeat, gint64 now)
{
  ft_peers_forget_cancellations (node, now - (gint64) (FT_PEER_CANCELLATIONS_S * FT_SECOND));
  for (GList *link = node->peer_group.recent_cancellations.tail;
       link != NULL && heartbeat->cancellations->len < FT_PEER_CANCELLATIONS_MAX; link = link->prev)
    g_ptr_array_add (heartbeat->cancellations, g_strdup (((RecentCancellation *) link->data)->ref));
}

static FtPeerHeartbeat *
next_heartbeat (FtNode *node, gint64 now)
{
  gint64 served = ft_store_client_last_served (node->store);
  FtPeerHeartbeat *heartbeat = ft_peer_heartbeat_new (node->config->member);
  heartbeat->supports_dependencies = TRUE;
  heartbeat->served = served > 0;
  heartbeat->served_ms_ago = heartbeat->served ? (guint64) (now - served) / 1000 : 0;
  heartbeat->yields = node->leadership.yielded_at > 0
                      && now - node->leadership.yielded_at < (gint64) (FT_YIELD_ADVERTISED_S * FT_SECOND);
  add_cancellations (node, heartbeat, now);
  if (node->leader.scheduler == NULL)
    return heartbeat;
  heartbeat->token = ft_lease_token (node->lease);
  ft_scheduler_each_job (node->leader.scheduler, add_job, heartbeat);
  return heartbeat;
}

void
ft_peers_tick (FtNode *node, gint64 now)
{
  if (now < node->peer_group.next_peer_heartbeat)
    return;
  node->peer_group.next_peer_heartbeat = now + (gint64) (FT_PEER_EVERY_S * FT_SECOND);
  g_autoptr (FtPeerHeartbeat) heartbeat = next_heartbeat (node, now);
  json_t *body = ft_peer_heartbeat_body (heartbeat);
  for (guint i = 0; i < node->peer_group.peers->len; i++) {
    FtPeerState *view = &g_array_index (node->peer_group.peers, FtPeerState, i);
    if (view->in_flight)
      continue;
    HeartbeatCall *call = g_new0 (HeartbeatCall, 1);
    call->node = node;
    call->peer = i;
    view->in_flight = TRUE;
    view->sent_at = now;
    ft_http_send (node->peer_group.peer_client, "POST", view->peer->addr, "/mesh/beat", FT_BODY_JSON, body,
                  FT_PEER_TIMEOUT_S, FALSE, on_heartbeat_answered, call);
  }
  json_decref (body);
}

static void
take_summary (FtNode *node, const FtPeerHeartbeat *heartbeat)
{
  if (heartbeat->token < node->peer_group.peer_leader_token)
    return;
  node->peer_group.peer_leader_token = heartbeat->token;
  g_free (node->peer_group.peer_leader);
  node->peer_group.peer_leader = g_strdup (heartbeat->member);
  g_hash_table_remove_all (node->peer_group.peer_job_progress);
  for (guint i = 0; i < heartbeat->jobs->len; i++) {
    const FtPeerHeartbeatJob *job = &g_array_index (heartbeat->jobs, FtPeerHeartbeatJob, i);
    FtJobProgress *view = g_new0 (FtJobProgress, 1);
    view->done = job->done;
    view->running = job->running;
    g_hash_table_insert (node->peer_group.peer_job_progress, g_strdup (job->ref), view);
  }
}

static void
apply_advisory_cancellations (FtNode *node, const GPtrArray *refs)
{
  for (guint i = 0; i < refs->len; i++)
    apply_advisory_cancellation (node, g_ptr_array_index (refs, i));
  if (refs->len > 0)
    ft_node_pump (node);
}

/* Only who has moved the fence leads under a higher token: we are succeeded. */
static void
check_succeeded (FtNode *node, guint64 token)
{
  if (node->leader.scheduler != NULL && token > ft_lease_token (node->lease))
    ft_node_step_down (node, "a peer leads under a higher token");
}

static FtPeerState *
find_peer (FtNode *node, const char *member)
{
  for (guint i = 0; i < node->peer_group.peers->len; i++) {
    FtPeerState *view = &g_array_index (node->peer_group.peers, FtPeerState, i);
    if (strcmp (view->peer->member, member) == 0)
      return view;
  }
  return NULL;
}

static void
handle_heartbeat (FtNode *node, FtHttpRequest *request)
{
  g_autoptr (FtPeerHeartbeat) heartbeat = ft_peer_heartbeat_parse (ft_http_body (request));
  FtPeerState *view = heartbeat != NULL ? find_peer (node, heartbeat->member) : NULL;
  if (view == NULL) {
    ft_node_malformed (node, FT_COUNT_MALFORMED_PEERS, "heartbeat");
    ft_http_respond (request, 400, NULL);
    return;
  }
  view->heard_at = g_get_monotonic_time ();
  view->supports_dependencies = heartbeat->supports_dependencies;
  if (heartbeat->served)
    view->served_at = view->heard_at - (gint64) heartbeat->served_ms_ago * 1000;
  if (heartbeat->token > 0) {
    take_summary (node, heartbeat);
    check_succeeded (node, heartbeat->token);
  }
  apply_advisory_cancellations (node, heartbeat->cancellations);
  if (heartbeat->yields)
    ft_lease_suspect (node->lease, heartbeat->member, TRUE, view->heard_at);
  ft_http_respond (request, 200, json_object ());
}

void
ft_peers_handle (FtHttpRequest *request, gpointer data)
{
  const char *path = ft_http_path (request);
  if (strcmp (path, "/mesh/beat") == 0 && strcmp (ft_http_method (request), "POST") == 0)
    handle_heartbeat (data, request);
  else if (g_str_has_prefix (path, "/admin/"))
    ft_admin_handle (data, request);
  else
    ft_http_respond (request, 404, NULL);
}
