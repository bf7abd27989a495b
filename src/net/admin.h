/* The administration API, on the peers' listener only: users never reach it.
 *
 * Reads are answered with what this controller knows. What only the leader knows is answered
 * elsewhere with 421 and the leader's name and address. */
#pragma once
#include "net/node.h"

/**
 * ft_admin_handle:
 * @request: (transfer full): a request whose path begins with "/admin/"
 */
void ft_admin_handle (FtNode *node, FtHttpRequest *request);

/**
 * ft_admin_tick:
 * @now: monotonic time
 *
 * Reads the operators' settings every FT_SETTINGS_EVERY_S. Called by the node's timer.
 */
void ft_admin_tick (FtNode *node, gint64 now);
