/* The workers' endpoint: heartbeats, which the leader answers and every other controller redirects.
 *
 * Heartbeats are served at once while few come in a turn of the HTTP server; the others wait in the
 * node's FtHeartbeatQueue, so that lease renewals and the balancer's probes are not held up by them. */
#pragma once
#include "net/node.h"

/**
 * ft_worker_handle_heartbeat:
 * @request: (transfer full): POST /checkin
 *
 * Answers a heartbeat now, or takes it into the queue.
 */
void ft_worker_handle_heartbeat (FtNode *node, FtHttpRequest *request);

/**
 * ft_worker_refuse_all:
 *
 * Answers the queued heartbeats with 503, for the end of the node.
 */
void ft_worker_refuse_all (FtNode *node);
