/* Worker heartbeats that wait for a later turn of the main loop, and whether they wait too long, so
 * that lease renewals and the balancer's probes are not held up by heartbeats.
 *
 * A turn of the HTTP server answers FT_HEARTBEATS_AT_ONCE heartbeats itself; later ones of the turn,
 * and all while others wait, are queued. A source of the main loop then takes as many at a time, so
 * that timers and other requests get their turn in between. Filled by worker_endpoint.c, which
 * answers the heartbeats; the leadership module reads how long the controller has been overrun. */
#pragma once
#include "net/http.h"

typedef struct _FtHeartbeatQueue FtHeartbeatQueue;

/**
 * FtHeartbeatQueueHooks:
 * @answer: answers a heartbeat; takes @request
 * @late: the oldest heartbeat has waited for more than FT_HEARTBEAT_LATE_S; called before any is
 *     answered in a turn
 *
 * What is done with the heartbeats. Times are monotonic, in microseconds.
 */
typedef struct {
  void (*answer) (FtHttpRequest *request, gpointer data);
  void (*late) (gint64 now, gpointer data);
} FtHeartbeatQueueHooks;

/**
 * ft_heartbeat_queue_new:
 * @hooks: static
 * @data: for @hooks; outlives the queue
 *
 * Returns: (transfer full): an empty queue
 */
FtHeartbeatQueue *ft_heartbeat_queue_new (const FtHeartbeatQueueHooks *hooks, gpointer data);

/**
 * ft_heartbeat_queue_free:
 * @queue: (nullable) (transfer full): after ft_heartbeat_queue_refuse_all()
 */
void ft_heartbeat_queue_free (FtHeartbeatQueue *queue);

/**
 * ft_heartbeat_queue_handle:
 * @request: (transfer full): a heartbeat
 * @turn: the HTTP server's turn in which it came
 * @now: monotonic time in microseconds
 *
 * Has the heartbeat answered at once, or lets it wait.
 */
void ft_heartbeat_queue_handle (FtHeartbeatQueue *queue, FtHttpRequest *request, guint turn, gint64 now);

/**
 * ft_heartbeat_queue_refuse_all:
 *
 * Answers the waiting heartbeats with 503, for the end of the controller.
 */
void ft_heartbeat_queue_refuse_all (FtHeartbeatQueue *queue);

/**
 * ft_heartbeat_queue_overrun_since:
 *
 * Returns: the time since which heartbeats have waited too long; monotonic, microseconds, 0: they
 *     do not
 */
gint64 ft_heartbeat_queue_overrun_since (const FtHeartbeatQueue *queue);

/**
 * ft_heartbeat_queue_reset_overrun:
 *
 * Leading begins or ends: what was late before does not count.
 */
void ft_heartbeat_queue_reset_overrun (FtHeartbeatQueue *queue);
