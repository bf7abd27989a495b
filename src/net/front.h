/* The routes of the front listener, which serves users, workers and the load balancer, and the load balancer's
 * readiness probe. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * ft_front_handle:
 * @request: (transfer full): a request to the front listener
 * @node: the FtNode, as the data of an FtHttpHandler
 *
 * Routes the request to its endpoint, or answers it with 404.
 */
void ft_front_handle (FtHttpRequest *request, gpointer node);

/**
 * ft_node_ready:
 * @now: monotonic time in microseconds
 *
 * Returns: whether the load balancer should send users and workers to this controller
 */
gboolean ft_node_ready (const FtNode *node, gint64 now);
