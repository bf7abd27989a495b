#include "net/admin.h"

#include <string.h>

#include "net/admin_endpoints.h"
#include "net/leader.h"
#include "net/leadership.h"

/* Maximum number of segments into which a path below /admin/ is split: one more than the longest route has, so
 * that a longer path matches no route. */
#define ADMIN_PATH_SEGMENTS_MAX 4

void
ft_admin_refuse (FtHttpRequest *request, FtHttpStatus status, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_autofree char *text = g_strdup_vprintf (format, args);
  va_end (args);
  ft_http_respond (request, status, json_pack ("{s:s}", "error", text));
}

/* ---- redirects to the leader ---- */

/* Returns the address of a peer, borrowed; NULL if the settings file has no peer of that name. */
static const char *
peer_addr (const FtNode *node, const char *member)
{
  for (guint i = 0; i < node->config->peers->len; i++) {
    const FtPeer *peer = &g_array_index (node->config->peers, FtPeer, i);
    if (g_strcmp0 (peer->member, member) == 0)
      return peer->addr;
  }
  return NULL;
}

/* Returns TRUE if this controller leads and has recovered. Otherwise answers the request with the leader's name
 * and address, or with 503 if no leader is known, and returns FALSE. */
static gboolean
leads_or_redirects (FtNode *node, FtHttpRequest *request)
{
  const FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  if (scheduler != NULL && ft_scheduler_is_loaded (scheduler))
    return TRUE;
  const char *leader = ft_leadership_known_leader (node->leadership);
  const char *addr = leader != NULL ? peer_addr (node, leader) : NULL;
  if (addr != NULL)
    ft_http_respond (request, FT_HTTP_MISDIRECTED,
                     json_pack ("{s:s, s:s, s:s}", "error", "this node does not lead", "leader", leader, "addr", addr));
  else
    ft_admin_refuse (request, FT_HTTP_UNAVAILABLE, "no leader is known at the moment");
  return FALSE;
}

/* ---- routes ---- */

/* A route with the path /admin/NAME, which every controller serves. */
typedef struct {
  const char *method, *name;
  void (*handle) (FtNode *node, FtHttpRequest *request);
} NodeRoute;

static const NodeRoute node_routes[] = {
  { "GET", "status", ft_admin_get_status },
  { "GET", "metrics", ft_admin_get_metrics },
  { "GET", "settings", ft_admin_get_settings },
  { "PUT", "settings", ft_admin_put_settings },
};

/* A route of POST /admin/machines/MACHINE/ACTION, which only the leader serves. */
typedef struct {
  const char *action;
  void (*handle) (FtNode *node, FtHttpRequest *request, const char *machine);
} MachineRoute;

static const MachineRoute machine_routes[] = {
  { "drain", ft_admin_drain },
  { "undrain", ft_admin_undrain },
};

static const NodeRoute *
find_node_route (const char *method, const char *name)
{
  for (guint i = 0; i < G_N_ELEMENTS (node_routes); i++)
    if (strcmp (node_routes[i].method, method) == 0 && strcmp (node_routes[i].name, name) == 0)
      return &node_routes[i];
  return NULL;
}

static const MachineRoute *
find_machine_route (const char *const *segments)
{
  if (g_strv_length ((GStrv) segments) != 3 || strcmp (segments[0], "machines") != 0)
    return NULL;
  for (guint i = 0; i < G_N_ELEMENTS (machine_routes); i++)
    if (strcmp (machine_routes[i].action, segments[2]) == 0)
      return &machine_routes[i];
  return NULL;
}

static void
handle_node_path (FtNode *node, FtHttpRequest *request, const char *name)
{
  const char *method = ft_http_method (request);
  const NodeRoute *route = find_node_route (method, name);
  if (route != NULL)
    route->handle (node, request);
  else if (strcmp (method, "GET") != 0)
    ft_admin_refuse (request, FT_HTTP_METHOD_NOT_ALLOWED, "use GET, or PUT for settings");
  else if (!ft_admin_has_list (name))
    ft_admin_refuse (request, FT_HTTP_NOT_FOUND, "there is no /admin/%s", name);
  else if (leads_or_redirects (node, request))
    ft_admin_get_list (node, request, name);
}

void
ft_admin_handle (FtNode *node, FtHttpRequest *request)
{
  const char *path = ft_http_path (request) + strlen ("/admin/");
  g_auto (GStrv) segments = g_strsplit (path, "/", ADMIN_PATH_SEGMENTS_MAX);
  const MachineRoute *machine_route = find_machine_route ((const char *const *) segments);
  if (g_strv_length (segments) == 1)
    handle_node_path (node, request, segments[0]);
  else if (machine_route == NULL)
    ft_admin_refuse (request, FT_HTTP_NOT_FOUND, "there is no such path");
  else if (strcmp (ft_http_method (request), "POST") != 0)
    ft_admin_refuse (request, FT_HTTP_METHOD_NOT_ALLOWED, "use POST");
  else if (leads_or_redirects (node, request))
    machine_route->handle (node, request, segments[1]);
}
