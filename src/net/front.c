/* The listener for users, workers and the balancer: routes, and /ready. */
#include <string.h>

#include "core/constants.h"
#include "net/node.h"

/* A node that cannot reach the state service is ready all the same while no
 * peer can either: it answers 503 at once, and an outage of the service does
 * not make the balancer shun every node for a growing pause. */
gboolean
ft_node_ready (const FtNode *node, gint64 now)
{
  if (ft_store_client_contact (node->store, now))
    return TRUE;
  if (ft_leadership_store_unreachable_alone (node->leadership, now))
    return FALSE;
  return ft_peers_any_heard (node->peers, now) && ft_store_client_last_served (node->store) > 0;
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
