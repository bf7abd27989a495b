/* The contents of this controller's heartbeats to its peers, and its reactions to the peers' heartbeats. */
#pragma once
#include "net/node.h"
#include "net/peers.h"

/**
 * ft_node_peers_hooks:
 *
 * The hooks of the node's FtPeers; their data is the FtNode.
 */
extern const FtPeersHooks ft_node_peers_hooks;

/**
 * ft_node_announce_cancellation:
 * @ref: a job whose cancellation a user has requested from this controller; the cancellation was
 *     committed now
 *
 * Reports the cancellation at once to this controller's scheduler, if it leads, and to the peers. The
 * leader would also learn of it by its watch. But a leader that the key-value store refuses would not,
 * and would keep the job's tasks running until its answer grace period is over.
 */
void ft_node_announce_cancellation (FtNode *node, const char *ref);
