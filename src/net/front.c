#include "net/front.h"

#include <string.h>

#include "net/leadership.h"
#include "net/peers.h"
#include "net/store_client.h"
#include "net/user_api.h"
#include "net/worker_endpoint.h"

/* ---- readiness ---- */

/* A controller that has lost contact with the key-value store stays ready while no peer can reach the store
 * either, provided that it receives a peer's heartbeats and that the store has served it before. It answers
 * requests with 503 at once. Otherwise an outage of the store would make the load balancer remove every
 * controller for longer and longer times. */
gboolean
ft_node_ready (const FtNode *node, gint64 now)
{
  if (ft_store_client_has_contact (node->store, now))
    return TRUE;
  if (ft_leadership_store_unreachable_only_here (node->leadership, now))
    return FALSE;
  return ft_peers_any_live (node->peers, now) && ft_store_client_last_served_at (node->store) > 0;
}

static void
handle_ready (FtNode *node, FtHttpRequest *request)
{
  if (strcmp (ft_http_method (request), "GET") != 0)
    ft_http_respond (request, FT_HTTP_METHOD_NOT_ALLOWED, NULL);
  else if (ft_node_ready (node, g_get_monotonic_time ()))
    ft_http_respond (request, FT_HTTP_OK, json_object ());
  else
    ft_http_unavailable (request);
}

/* ---- routes ---- */

/* A path of the front listener and the endpoint that serves it. */
typedef struct {
  const char *path;
  gboolean with_subpaths; /* the route also matches paths that begin with `path` and a slash */
  void (*handle) (FtNode *node, FtHttpRequest *request);
} Route;

static const Route routes[] = {
  { "/checkin", FALSE, ft_worker_handle_heartbeat },
  { "/ready", FALSE, handle_ready },
  { "/work", TRUE, ft_user_handle },
};

static gboolean
route_matches (const Route *route, const char *path)
{
  if (!g_str_has_prefix (path, route->path))
    return FALSE;
  char next = path[strlen (route->path)];
  return next == '\0' || (route->with_subpaths && next == '/');
}

void
ft_front_handle (FtHttpRequest *request, gpointer node)
{
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    if (route_matches (&routes[i], ft_http_path (request))) {
      routes[i].handle (node, request);
      return;
    }
  ft_http_respond (request, FT_HTTP_NOT_FOUND, NULL);
}
