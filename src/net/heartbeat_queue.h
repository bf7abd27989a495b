/* Worker heartbeats that wait for a later turn of the main loop, so that heartbeats do not delay lease
 * renewals and the load balancer's probes. The queue also records since when heartbeats wait too long.
 *
 * In each turn of the HTTP server the first FT_HEARTBEATS_AT_ONCE heartbeats are answered at once. Later
 * ones of the turn are queued, and so are all that arrive while others wait. A source of the main loop
 * then answers up to FT_HEARTBEATS_AT_ONCE of them at a time, so that timers and other requests are
 * served in between. worker_endpoint.c fills the queue and answers the heartbeats; the leadership module
 * reads since when the controller has been overrun, which means that heartbeats wait too long. */
#pragma once
#include "net/http.h"

typedef struct _FtHeartbeatQueue FtHeartbeatQueue;

/**
 * FtHeartbeatQueueHooks:
 * @answer: answers a heartbeat and takes ownership of its request
 * @late: called when the oldest heartbeat has waited for more than FT_HEARTBEAT_LATE_S, before any
 *     heartbeat is answered in that turn
 *
 * Callbacks of the queue's owner. Times are monotonic, in microseconds.
 */
typedef struct {
  void (*answer) (FtHttpRequest *request, gpointer data);
  void (*late) (gint64 now, gpointer data);
} FtHeartbeatQueueHooks;

/**
 * ft_heartbeat_queue_new:
 * @hooks: static
 * @data: data of @hooks; outlives the queue
 *
 * Returns: (transfer full): an empty queue
 */
FtHeartbeatQueue *ft_heartbeat_queue_new (const FtHeartbeatQueueHooks *hooks, gpointer data);

/**
 * ft_heartbeat_queue_free:
 * @queue: (nullable) (transfer full): the queue, emptied by ft_heartbeat_queue_refuse_all()
 */
void ft_heartbeat_queue_free (FtHeartbeatQueue *queue);

/**
 * ft_heartbeat_queue_handle:
 * @request: (transfer full): a heartbeat
 * @turn: number of the HTTP server's turn in which it arrived
 * @now: monotonic time in microseconds
 *
 * Answers the heartbeat at once or queues it.
 */
void ft_heartbeat_queue_handle (FtHeartbeatQueue *queue, FtHttpRequest *request, guint turn, gint64 now);

/**
 * ft_heartbeat_queue_refuse_all:
 *
 * Answers all queued heartbeats with 503. Called when the controller is freed.
 */
void ft_heartbeat_queue_refuse_all (FtHeartbeatQueue *queue);

/**
 * ft_heartbeat_queue_overrun_since:
 *
 * Returns: the time since which heartbeats have waited too long, monotonic, in microseconds; 0 if they
 *     do not wait too long
 */
gint64 ft_heartbeat_queue_overrun_since (const FtHeartbeatQueue *queue);

/**
 * ft_heartbeat_queue_reset_overrun:
 *
 * Sets the time of ft_heartbeat_queue_overrun_since() to 0. Called when a term begins or ends, so that
 * delays before then do not count.
 */
void ft_heartbeat_queue_reset_overrun (FtHeartbeatQueue *queue);
