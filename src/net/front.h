/* The listener for users, workers and the balancer: its routes, and the balancer's probe. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * ft_front_handle:
 * @request: (transfer full): any request to the front listener
 * @node: the FtNode; an FtHttpHandler's data
 */
void ft_front_handle (FtHttpRequest *request, gpointer node);

/**
 * ft_node_ready:
 * @now: monotonic time
 *
 * Returns: whether the balancer should send users and workers to this controller
 */
gboolean ft_node_ready (const FtNode *node, gint64 now);
