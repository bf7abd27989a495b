#include "net/user_api.h"

#include <string.h>

#include "net/job_status.h"
#include "net/submission.h"

/* Maximum number of segments into which a path is split: one more than the longest route has, so that a longer
 * path matches no route. */
#define USER_PATH_SEGMENTS_MAX 4

/* The number of path segments identifies a route: /work, /work/REF, /work/REF/ACTION. */
typedef struct {
  guint segments;     /* number of path segments */
  const char *action; /* the third segment; NULL: the path has fewer */
  const char *method;
  void (*handle) (FtUserRequest *request);
} Route;

static const Route routes[] = {
  { 1, NULL, "POST", ft_submission_handle },
  { 2, NULL, "GET", ft_job_status_handle_poll },
  { 3, "withdraw", "POST", ft_job_status_handle_cancellation },
};

static const Route *
find_route (const char *const *segments)
{
  guint length = g_strv_length ((GStrv) segments);
  for (guint i = 0; i < G_N_ELEMENTS (routes); i++)
    if (routes[i].segments == length && (routes[i].action == NULL || strcmp (segments[2], routes[i].action) == 0))
      return &routes[i];
  return NULL;
}

void
ft_user_handle (FtNode *node, FtHttpRequest *http)
{
  g_auto (GStrv) segments = g_strsplit (ft_http_path (http) + 1, "/", USER_PATH_SEGMENTS_MAX);
  const Route *route = find_route ((const char *const *) segments);
  if (route == NULL)
    ft_http_respond (http, FT_HTTP_NOT_FOUND, NULL);
  else if (strcmp (ft_http_method (http), route->method) != 0)
    ft_http_respond (http, FT_HTTP_METHOD_NOT_ALLOWED, NULL);
  else
    route->handle (ft_user_request_new (node, http, segments[1]));
}
