/* The listener for users, workers and the balancer: routes, and /ready. */
#include <string.h>

#include "core/constants.h"
#include "net/node.h"

static gboolean
peer_fresh (const FtPeerState *view, gint64 now)
{
  return view->heard_at > 0 && now - view->heard_at <= (gint64) (FT_PEER_FRESH_S * FT_SECOND);
}

gboolean
ft_node_peer_served (const FtNode *node, gint64 after, gint64 now)
{
  for (guint i = 0; i < node->peer_group.peers->len; i++) {
    const FtPeerState *view = &g_array_index (node->peer_group.peers, FtPeerState, i);
    if (peer_fresh (view, now) && view->served_at > after)
      return TRUE;
  }
  return FALSE;
}

gboolean
ft_node_has_older_peer (const FtNode *node, gint64 now)
{
  for (guint i = 0; i < node->peer_group.peers->len; i++) {
    const FtPeerState *view = &g_array_index (node->peer_group.peers, FtPeerState, i);
    if (peer_fresh (view, now) && !view->supports_dependencies)
      return TRUE;
  }
  return FALSE;
}

gboolean
ft_node_alone_unserved (const FtNode *node, gint64 now)
{
  gint64 lost = ft_store_client_failing_since (node->store) + (gint64) (FT_READY_MARGIN_S * FT_SECOND);
  return !ft_store_client_contact (node->store, now) && ft_node_peer_served (node, lost, now);
}

/* A node that cannot reach the state service is ready all the same while no
 * peer can either: it answers 503 at once, and an outage of the service does
 * not make the balancer shun every node for a growing pause. */
gboolean
ft_node_ready (const FtNode *node, gint64 now)
{
  if (ft_store_client_contact (node->store, now))
    return TRUE;
  if (ft_node_alone_unserved (node, now))
    return FALSE;
  gboolean heard = FALSE;
  for (guint i = 0; i < node->peer_group.peers->len; i++)
    heard |= peer_fresh (&g_array_index (node->peer_group.peers, FtPeerState, i), now);
  return heard && ft_store_client_last_served (node->store) > 0;
}

static void
handle_ready (FtNode *node, FtHttpRequest *request)
{
  if (strcmp (ft_http_method (request), "GET") != 0)
    ft_http_respond (request, 405, NULL);
  else if (ft_node_ready (node, g_get_monotonic_time ()))
    ft_http_respond (request, 200, json_object ());
  else
    ft_http_unavailable (request);
}

void
ft_front_handle (FtHttpRequest *request, gpointer data)
{
  FtNode *node = data;
  const char *path = ft_http_path (request);
  if (strcmp (path, "/checkin") == 0)
    ft_worker_handle_heartbeat (node, request);
  else if (strcmp (path, "/ready") == 0)
    handle_ready (node, request);
  else if (strcmp (path, "/work") == 0 || g_str_has_prefix (path, "/work/"))
    ft_user_handle (node, request);
  else
    ft_http_respond (request, 404, NULL);
}
