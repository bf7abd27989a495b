/* The users' endpoint: its routes. Any controller serves users' requests, whether it leads or not,
 * by compare-and-swap commits and fresh reads; memory serves only what is final. */
#pragma once
#include "net/node.h"

/**
 * ft_user_handle:
 * @node: the controller
 * @http: (transfer full): a request for /work or below, of any method
 *
 * Answers POST /work, GET /work/REF and POST /work/REF/withdraw, now or later.
 */
void ft_user_handle (FtNode *node, FtHttpRequest *http);
