/* What controllers tell each other: a heartbeat with the sight of the state
 * service, and the leader's summary of running jobs. Nothing here decides who
 * leads; the fence does. */
#include <string.h>

#include "core/constants.h"
#include "net/node.h"
#include "wire/fields.h"

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
add_job (const char *ref, const char *job_class, const char *state, guint tasks, guint done, guint running,
         const char *waits_for, gpointer data)
{
  (void) job_class;
  (void) state;
  (void) tasks;
  (void) waits_for;
  /* For display only: what is left out shows as queued. A body beyond the limit
   * would be refused whole. */
  if ((done > 0 || running > 0) && json_object_size (data) < FT_MESH_JOBS_MOST)
    json_object_set_new (data, ref, json_pack ("[i, i]", (int) done, (int) running));
}

/* ---- withdrawals: hints, on which no rule rests ---- */

typedef struct {
  char *ref;
  gint64 at;
} Withdrawn;

void
ft_mesh_forget_withdrawn (FtNode *node, gint64 before)
{
  Withdrawn *oldest;
  while ((oldest = g_queue_peek_head (&node->withdrawn)) != NULL && oldest->at < before) {
    g_queue_pop_head (&node->withdrawn);
    g_free (oldest->ref);
    g_free (oldest);
  }
}

static void
hear_withdrawn (FtNode *node, const char *ref)
{
  if (node->scheduler != NULL)
    ft_scheduler_withdrawal_hinted (node->scheduler, ref, g_get_monotonic_time ());
}

/* The leader sees withdrawals by its watch; one that the state service refuses does not,
 * and would go on with such tasks until its hold is over. */
void
ft_node_withdrawn (FtNode *node, const char *ref)
{
  Withdrawn *entry = g_new0 (Withdrawn, 1);
  entry->ref = g_strdup (ref);
  entry->at = g_get_monotonic_time ();
  g_queue_push_tail (&node->withdrawn, entry);
  node->next_mesh = entry->at;
  hear_withdrawn (node, ref);
  ft_node_pump (node);
}

static void
add_withdrawn (FtNode *node, json_t *body, gint64 now)
{
  ft_mesh_forget_withdrawn (node, now - (gint64) (FT_MESH_WITHDRAWN_S * FT_SECOND));
  if (g_queue_is_empty (&node->withdrawn))
    return;
  json_t *refs = json_array ();
  for (GList *l = node->withdrawn.tail; l != NULL && json_array_size (refs) < FT_MESH_WITHDRAWN_MOST; l = l->prev)
    json_array_append_new (refs, json_string (((Withdrawn *) l->data)->ref));
  json_object_set_new (body, "withdrawn", refs);
}

static json_t *
beat_body (FtNode *node, gint64 now)
{
  gint64 served = ft_state_last_served (node->state);
  json_t *body = json_pack ("{s:s}", "member", node->config->member);
  if (served > 0)
    json_object_set_new (body, "served_ms_ago", json_integer ((now - served) / 1000));
  if (node->yielded_at > 0 && now - node->yielded_at < (gint64) (FT_YIELD_TOLD_S * FT_SECOND))
    json_object_set_new (body, "yields", json_true ());
  add_withdrawn (node, body, now);
  if (node->scheduler == NULL)
    return body;
  json_t *jobs = json_object ();
  ft_scheduler_each_job (node->scheduler, add_job, jobs);
  json_object_set_new (body, "token", json_integer ((json_int_t) ft_lease_token (node->lease)));
  json_object_set_new (body, "jobs", jobs);
  return body;
}

void
ft_mesh_tick (FtNode *node, gint64 now)
{
  if (now < node->next_mesh)
    return;
  node->next_mesh = now + (gint64) (FT_MESH_EVERY_S * FT_SECOND);
  json_t *body = beat_body (node, now);
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
take_summary (FtNode *node, const char *member, guint64 token, const json_t *jobs)
{
  const char *ref;
  json_t *item;
  if (token < node->mesh_token)
    return;
  node->mesh_token = token;
  g_free (node->mesh_leader);
  node->mesh_leader = g_strdup (member);
  g_hash_table_remove_all (node->mesh_jobs);
  json_object_foreach ((json_t *) jobs, ref, item)
  {
    FtJobView *view = g_new0 (FtJobView, 1);
    view->done = (guint) json_integer_value (json_array_get (item, 0));
    view->running = (guint) json_integer_value (json_array_get (item, 1));
    g_hash_table_insert (node->mesh_jobs, g_strdup (ref), view);
  }
}

static void
take_withdrawn (FtNode *node, const json_t *refs)
{
  size_t i;
  json_t *item;
  json_array_foreach ((json_t *) refs, i, item)
  {
    const char *ref = json_string_value (item);
    if (ref != NULL && i < FT_MESH_WITHDRAWN_MOST)
      hear_withdrawn (node, ref);
  }
  if (json_array_size (refs) > 0)
    ft_node_pump (node);
}

/* Only who has moved the fence leads under a higher token: we are succeeded. */
static void
check_succeeded (FtNode *node, guint64 token)
{
  if (node->scheduler != NULL && token > ft_lease_token (node->lease))
    ft_node_step_down (node, "a peer leads under a higher token");
}

static void
handle_beat (FtNode *node, FtHttpRequest *request)
{
  const json_t *body = ft_http_body (request);
  const char *member = json_string_value (json_object_get (body, "member"));
  guint64 token;
  for (guint i = 0; member != NULL && i < node->peers->len; i++) {
    FtPeerView *view = &g_array_index (node->peers, FtPeerView, i);
    if (strcmp (view->peer->member, member) != 0)
      continue;
    view->heard_at = g_get_monotonic_time ();
    guint64 age_ms;
    if (ft_field_count (body, "served_ms_ago", 0, G_MAXINT32, &age_ms))
      view->served_at = view->heard_at - (gint64) age_ms * 1000;
    if (ft_field_count (body, "token", 1, G_MAXINT32, &token)) {
      take_summary (node, member, token, json_object_get (body, "jobs"));
      check_succeeded (node, token);
    }
    take_withdrawn (node, json_object_get (body, "withdrawn"));
    if (json_is_true (json_object_get (body, "yields")))
      ft_lease_suspect (node->lease, member, TRUE, view->heard_at);
    ft_http_respond (request, 200, json_object ());
    return;
  }
  ft_http_respond (request, 400, NULL);
}

void
ft_mesh_handle (FtHttpRequest *request, gpointer data)
{
  const char *path = ft_http_path (request);
  if (strcmp (path, "/mesh/beat") == 0 && strcmp (ft_http_method (request), "POST") == 0)
    handle_beat (data, request);
  else if (g_str_has_prefix (path, "/admin/"))
    ft_admin_handle (data, request);
  else
    ft_http_respond (request, 404, NULL);
}
