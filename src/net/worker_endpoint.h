/* The workers' endpoint: heartbeats, which the leader answers and every other controller redirects.
 *
 * Heartbeats are served at once while few come in a turn of the HTTP server; the others wait in the
 * controller's FtHeartbeatQueue. */
#pragma once
#include "net/heartbeat_queue.h"
#include "net/node.h"

/**
 * ft_worker_queue_hooks:
 *
 * For the controller's FtHeartbeatQueue; the hooks' data is the FtNode.
 */
extern const FtHeartbeatQueueHooks ft_worker_queue_hooks;

/**
 * ft_worker_handle_heartbeat:
 * @request: (transfer full): POST /checkin
 *
 * Answers a heartbeat now, or takes it into the queue.
 */
void ft_worker_handle_heartbeat (FtNode *node, FtHttpRequest *request);
