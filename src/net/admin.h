/* The administration API. Only the listener for peers and operators serves it, so users cannot reach it.
 *
 * Every controller answers requests for its own status, metrics and settings. Only the leader serves lists and
 * drains; another controller answers these requests with 421 and the leader's name and address, or with 503
 * if it knows no leader. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * ft_admin_handle:
 * @request: (transfer full): a request whose path begins with "/admin/"
 *
 * Routes the request to its handler, which answers it now or later.
 */
void ft_admin_handle (FtNode *node, FtHttpRequest *request);
