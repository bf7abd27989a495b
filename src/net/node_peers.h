/* What this controller tells its peers of itself, and what it does about their heartbeats. */
#pragma once
#include "net/node.h"
#include "net/peers.h"

/**
 * ft_node_peers_hooks:
 *
 * For the node's FtPeers; the hooks' data is the FtNode.
 */
extern const FtPeersHooks ft_node_peers_hooks;

/**
 * ft_node_announce_cancellation:
 * @ref: a job whose cancellation a user has asked for here, and which was committed now
 *
 * Our scheduler and the peers learn of it at once. The leader would see it by its watch; one that
 * the store refuses would not, and would go on with the job's tasks until its answer grace period
 * is over.
 */
void ft_node_announce_cancellation (FtNode *node, const char *ref);
