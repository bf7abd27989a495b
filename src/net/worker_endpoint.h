/* The workers' endpoint, which serves worker heartbeats. The leader answers them; every other controller
 * redirects the worker to the leader.
 *
 * While no heartbeat waits, the leader answers up to FT_HEARTBEATS_AT_ONCE heartbeats at once in each turn of
 * the HTTP server. All other heartbeats wait in the controller's FtHeartbeatQueue. */
#pragma once
#include "net/heartbeat_queue.h"
#include "net/node.h"

/**
 * ft_worker_queue_hooks:
 *
 * The hooks of the controller's FtHeartbeatQueue. Their data argument is the FtNode.
 */
extern const FtHeartbeatQueueHooks ft_worker_queue_hooks;

/**
 * ft_worker_handle_heartbeat:
 * @request: (transfer full): a request for /checkin, with any method
 *
 * Answers a worker heartbeat or adds it to the heartbeat queue. Answers a method other than POST with 405.
 */
void ft_worker_handle_heartbeat (FtNode *node, FtHttpRequest *request);
