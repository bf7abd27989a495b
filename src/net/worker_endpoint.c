/* Reports of the workers: the leader answers them, the others point to it. */
#include <string.h>

#include "core/constants.h"
#include "net/node.h"
#include "wire/messages.h"

static void
redirect (FtNode *node, FtHttpRequest *request)
{
  const char *holder = node->mesh_leader != NULL ? node->mesh_leader : ft_lease_holder (node->lease);
  if (g_strcmp0 (holder, node->config->member) == 0)
    holder = NULL;
  ft_metrics_count (node->metrics, FT_COUNT_REDIRECTS);
  ft_http_close (request); /* it goes to another: thousands would keep theirs open here */
  ft_http_respond (request, 421, ft_message_redirect (holder));
}

static gboolean
entitled (const FtNode *node, gint64 now)
{
  return node->scheduler != NULL && ft_lease_may_answer (node->lease, now, node->last_watch);
}

/* Everything is judged by the clock of this moment: the report may have waited. */
static void
serve (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  if (!entitled (node, now)) {
    redirect (node, request);
    return;
  }
  gsize size;
  const guint8 *body = ft_http_raw (request, &size);
  g_autoptr (FtReport) report = body != NULL ? ft_message_report_read (body, size) : NULL;
  if (report == NULL) {
    ft_http_respond (request, 400, NULL);
    return;
  }
  ft_metrics_count (node->metrics, FT_COUNT_REPORTS);
  if (!ft_scheduler_report (node->scheduler, report, now)) {
    ft_node_step_down (node, "a worker has seen a higher token");
    redirect (node, request);
    return;
  }
  ft_scheduler_allow (node->scheduler, ft_lease_may_start (node->lease, now));
  g_autoptr (GArray) commands = ft_scheduler_answer (node->scheduler, report, now);
  ft_http_respond (request, 200, ft_message_answer (ft_lease_token (node->lease), commands));
  ft_node_pump (node);
}

/* ---- reports that wait ---- */

typedef struct {
  FtHttpRequest *request;
  gint64 came_at;
} Waiting;

/* Under a backlog of all workers at once renewals and probes of the balancer would
 * come seconds late, and answers too late for everybody: a turn takes a few reports,
 * and what has waited too long is refused unread. */
static gboolean
on_reports (gpointer data)
{
  FtNode *node = data;
  gint64 old = (gint64) (FT_REPORT_OLD_S * FT_SECOND);
  Waiting *waiting;
  for (guint served = 0; served < FT_REPORTS_AT_ONCE && (waiting = g_queue_pop_head (&node->reports)) != NULL;) {
    g_autofree Waiting *owned = waiting;
    gint64 now = g_get_monotonic_time ();
    if (now - owned->came_at > old) {
      ft_metrics_count (node->metrics, FT_COUNT_REPORTS_REFUSED);
      node->overrun_since = node->overrun_since > 0 ? node->overrun_since : now;
      ft_http_close (owned->request);
      ft_http_unavailable (owned->request);
    } else {
      serve (node, owned->request);
      served++;
    }
  }
  if (!g_queue_is_empty (&node->reports))
    return G_SOURCE_CONTINUE;
  node->reports_source = 0;
  node->overrun_since = 0;
  return G_SOURCE_REMOVE;
}

void
ft_worker_refuse_all (FtNode *node)
{
  Waiting *waiting;
  if (node->reports_source != 0)
    g_source_remove (node->reports_source);
  while ((waiting = g_queue_pop_head (&node->reports)) != NULL) {
    ft_http_unavailable (waiting->request);
    g_free (waiting);
  }
}

static gboolean
turn_is_full (FtNode *node)
{
  guint turn = ft_http_server_turn (node->front);
  if (turn != node->reports_turn)
    node->reports_in_turn = 0;
  node->reports_turn = turn;
  return ++node->reports_in_turn > FT_REPORTS_AT_ONCE;
}

void
ft_worker_report (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  if (strcmp (ft_http_method (request), "POST") != 0) {
    ft_http_respond (request, 405, NULL);
  } else if (!entitled (node, now)) {
    redirect (node, request); /* unread: that is the leader's work */
  } else if (g_queue_is_empty (&node->reports) && !turn_is_full (node)) {
    serve (node, request);
  } else {
    Waiting *waiting = g_new0 (Waiting, 1);
    waiting->request = request;
    waiting->came_at = now;
    g_queue_push_tail (&node->reports, waiting);
    if (node->reports_source == 0)
      node->reports_source = g_idle_add_full (G_PRIORITY_DEFAULT, on_reports, node, NULL);
  }
}
