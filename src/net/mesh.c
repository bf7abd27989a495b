/* What controllers tell each other: a heartbeat with the sight of the state
 * service, and the leader's summary of running jobs. Nothing here decides who
 * leads; the fence does. */
#include <string.h>

#include "core/constants.h"
#include "net/node.h"
#include "wire/heartbeat.h"

typedef struct {
  FtNode *node;
  guint peer;
} Beat;

/* Another peer answers us: the mesh works, and who refuses us is alone with it. */
static gboolean
mesh_works (const FtNode *node, gint64 now)
{
  for (guint i = 0; i < node->peers->len; i++) {
    const FtPeerView *view = &g_array_index (node->peers, FtPeerView, i);
    if (view->refused == 0 && view->answered_at > 0
        && now - view->answered_at < (gint64) (FT_MESH_WITNESS_S * FT_SECOND))
      return TRUE;
  }
  return FALSE;
}

static void
on_beat (guint status, const json_t *body, gpointer data)
{
  g_autofree Beat *beat = data;
  FtNode *node = beat->node;
  FtPeerView *view = &g_array_index (node->peers, FtPeerView, beat->peer);
  gint64 now = g_get_monotonic_time ();
  (void) body;
  view->in_flight = FALSE;
  if (status != 0 || now - view->sent_at > (gint64) (FT_MESH_REFUSED_S * FT_SECOND)) {
    view->answered_at = status != 0 ? now : view->answered_at;
    view->refused = 0; /* answered, or silent: a cut does not refuse */
    return;
  }
  view->refused++;
  node->next_mesh = MIN (node->next_mesh, now + (gint64) (FT_MESH_AGAIN_S * FT_SECOND));
  /* Refused again and again, and silent itself: most likely its process ended. */
  if (view->refused >= FT_MESH_REFUSALS && now - view->heard_at > (gint64) (FT_MESH_EVERY_S * FT_SECOND))
    ft_lease_suspect (node->lease, view->peer->member, mesh_works (node, now), now);
}

static void
add_job (const FtJobInfo *job, gpointer data)
{
  FtHeartbeat *beat = data;
  /* For display only: what is left out shows as queued. A body beyond the limit
   * would be refused whole. */
  if ((job->done > 0 || job->running > 0) && beat->jobs->len < FT_MESH_JOBS_MAX)
    ft_heartbeat_add_job (beat, job->ref, job->done, job->running);
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
  while ((oldest = g_queue_peek_head (&node->recent_cancellations)) != NULL && oldest->at < before) {
    g_queue_pop_head (&node->recent_cancellations);
    g_free (oldest->ref);
    g_free (oldest);
  }
}

static void
apply_advisory_cancellation (FtNode *node, const char *ref)
{
  if (node->scheduler != NULL)
    ft_scheduler_cancellation_advised (node->scheduler, ref, g_get_monotonic_time ());
}

/* The leader sees cancellations by its watch; one that the state service refuses does not,
 * and would go on with such tasks until its hold is over. */
void
ft_node_job_cancelled (FtNode *node, const char *ref)
{
  RecentCancellation *entry = g_new0 (RecentCancellation, 1);
  entry->ref = g_strdup (ref);
  entry->at = g_get_monotonic_time ();
  g_queue_push_tail (&node->recent_cancellations, entry);
  node->next_mesh = entry->at;
  apply_advisory_cancellation (node, ref);
  ft_node_pump (node);
}

static void
add_cancellations (FtNode *node, FtHeartbeat *beat, gint64 now)
{
  ft_peers_forget_cancellations (node, now - (gint64) (FT_PEER_CANCELLATIONS_S * FT_SECOND));
  for (GList *l = node->recent_cancellations.tail; l != NULL && beat->cancellations->len < FT_PEER_CANCELLATIONS_MAX;
       l = l->prev)
    g_ptr_array_add (beat->cancellations, g_strdup (((RecentCancellation *) l->data)->ref));
}

static FtHeartbeat *
next_heartbeat (FtNode *node, gint64 now)
{
  gint64 served = ft_state_last_served (node->state);
  FtHeartbeat *beat = ft_heartbeat_new (node->config->member);
  beat->knows_needs = TRUE;
  beat->served = served > 0;
  beat->served_ms_ago = beat->served ? (guint64) (now - served) / 1000 : 0;
  beat->yields = node->yielded_at > 0 && now - node->yielded_at < (gint64) (FT_YIELD_ADVERTISED_S * FT_SECOND);
  add_cancellations (node, beat, now);
  if (node->scheduler == NULL)
    return beat;
  beat->token = ft_lease_token (node->lease);
  ft_scheduler_each_job (node->scheduler, add_job, beat);
  return beat;
}

void
ft_mesh_tick (FtNode *node, gint64 now)
{
  if (now < node->next_mesh)
    return;
  node->next_mesh = now + (gint64) (FT_MESH_EVERY_S * FT_SECOND);
  g_autoptr (FtHeartbeat) heartbeat = next_heartbeat (node, now);
  json_t *body = ft_heartbeat_body (heartbeat);
  for (guint i = 0; i < node->peers->len; i++) {
    FtPeerView *view = &g_array_index (node->peers, FtPeerView, i);
    if (view->in_flight)
      continue;
    Beat *beat = g_new0 (Beat, 1);
    beat->node = node;
    beat->peer = i;
    view->in_flight = TRUE;
    view->sent_at = now;
    ft_http_send (node->mesh, "POST", view->peer->addr, "/mesh/beat", FT_BODY_JSON, body, FT_MESH_TIMEOUT_S, FALSE,
                  on_beat, beat);
  }
  json_decref (body);
}

static void
take_summary (FtNode *node, const FtHeartbeat *beat)
{
  if (beat->token < node->mesh_token)
    return;
  node->mesh_token = beat->token;
  g_free (node->mesh_leader);
  node->mesh_leader = g_strdup (beat->member);
  g_hash_table_remove_all (node->mesh_jobs);
  for (guint i = 0; i < beat->jobs->len; i++) {
    const FtHeartbeatJob *job = &g_array_index (beat->jobs, FtHeartbeatJob, i);
    FtJobView *view = g_new0 (FtJobView, 1);
    view->done = job->done;
    view->running = job->running;
    g_hash_table_insert (node->mesh_jobs, g_strdup (job->ref), view);
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
  if (node->scheduler != NULL && token > ft_lease_token (node->lease))
    ft_node_step_down (node, "a peer leads under a higher token");
}

static FtPeerView *
find_peer (FtNode *node, const char *member)
{
  for (guint i = 0; i < node->peers->len; i++) {
    FtPeerView *view = &g_array_index (node->peers, FtPeerView, i);
    if (strcmp (view->peer->member, member) == 0)
      return view;
  }
  return NULL;
}

static void
handle_heartbeat (FtNode *node, FtHttpRequest *request)
{
  g_autoptr (FtHeartbeat) beat = ft_heartbeat_parse (ft_http_body (request));
  FtPeerView *view = beat != NULL ? find_peer (node, beat->member) : NULL;
  if (view == NULL) {
    ft_node_malformed (node, FT_COUNT_MALFORMED_PEERS, "heartbeat");
    ft_http_respond (request, 400, NULL);
    return;
  }
  view->heard_at = g_get_monotonic_time ();
  view->knows_needs = beat->knows_needs;
  if (beat->served)
    view->served_at = view->heard_at - (gint64) beat->served_ms_ago * 1000;
  if (beat->token > 0) {
    take_summary (node, beat);
    check_succeeded (node, beat->token);
  }
  apply_advisory_cancellations (node, beat->cancellations);
  if (beat->yields)
    ft_lease_suspect (node->lease, beat->member, TRUE, view->heard_at);
  ft_http_respond (request, 200, json_object ());
}

void
ft_mesh_handle (FtHttpRequest *request, gpointer data)
{
  const char *path = ft_http_path (request);
  if (strcmp (path, "/mesh/beat") == 0 && strcmp (ft_http_method (request), "POST") == 0)
    handle_heartbeat (data, request);
  else if (g_str_has_prefix (path, "/admin/"))
    ft_admin_handle (data, request);
  else
    ft_http_respond (request, 404, NULL);
}
