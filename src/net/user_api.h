/* The users' endpoint: its routes. Any controller serves users' requests, whether it leads or not,
 * by compare-and-swap commits and fresh reads; memory serves only what is final. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * ft_user_handle:
 * @node: the controller
 * @http: (transfer full): a request for /work or below, of any method
 *
 * Answers it now or later, by the table of routes: submissions, polls and cancellations of jobs; any
 * other path with 404, any other method with 405.
 */
void ft_user_handle (FtNode *node, FtHttpRequest *http);
