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
  ft_http_respond (request, 421, ft_message_redirect (holder));
}

void
ft_worker_report (FtNode *node, FtHttpRequest *request)
{
  gint64 now = g_get_monotonic_time ();
  if (strcmp (ft_http_method (request), "POST") != 0) {
    ft_http_respond (request, 405, NULL);
    return;
  }
  g_autoptr (FtReport) report = ft_message_report (ft_http_body (request));
  if (report == NULL) {
    ft_http_respond (request, 400, NULL);
    return;
  }
  if (node->scheduler == NULL || !ft_lease_may_answer (node->lease, now, node->last_watch)) {
    redirect (node, request);
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
