/* The routes of the user endpoint. Every controller serves users' requests, whether it leads or not: it
 * changes jobs by compare-and-swap commits and reads their state from the key-value store. Only the ends of
 * jobs, which are final, are served from memory. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * ft_user_handle:
 * @node: the controller
 * @http: (transfer full): a request with any method, whose path is /work or begins with /work/
 *
 * Routes a submission, a poll or a cancellation to its handler, which answers it now or later. Answers 404
 * for an unknown path and 405 for a wrong method.
 */
void ft_user_handle (FtNode *node, FtHttpRequest *http);
