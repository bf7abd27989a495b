/* The administration API, on the peers' listener only: users never reach it.
 *
 * Reads are answered with what this controller knows. What only the leader knows is answered
 * elsewhere with 421 and the leader's name and address. */
#pragma once
#include "net/http.h"
#include "net/node.h"

/**
 * ft_admin_handle:
 * @request: (transfer full): a request whose path begins with "/admin/"
 */
void ft_admin_handle (FtNode *node, FtHttpRequest *request);
