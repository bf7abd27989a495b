/* Worker heartbeats that wait for a later turn of the main loop, and whether they wait too long.
 * worker_endpoint.c fills and empties the queue; the leadership module reads how long the
 * controller has been overrun. */
#pragma once
#include <glib.h>

/**
 * FtHeartbeatQueue:
 * @waiting_heartbeats: entries of worker_endpoint.c, oldest first
 * @heartbeats_source: main loop source that serves them; 0: none waits
 * @heartbeats_turn: the HTTP server's turn in which the last heartbeat came
 * @heartbeats_in_turn: how many came in that turn
 * @overrun_since: they have waited too long since then; monotonic, microseconds, 0: they do not
 */
typedef struct {
  GQueue waiting_heartbeats;
  guint heartbeats_source;
  guint heartbeats_turn;
  guint heartbeats_in_turn;
  gint64 overrun_since;
} FtHeartbeatQueue;
