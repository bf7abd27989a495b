/* Worker heartbeats that wait for a later turn of the main loop, and whether they wait too long.
 * worker_endpoint.c fills and empties the queue; the leadership module reads how long the
 * controller has been overrun. */
#pragma once
#include <glib.h>

typedef struct {
  GQueue waiting_heartbeats; /* of worker_endpoint.c, oldest first */
  guint heartbeats_source;   /* main loop source that serves them; 0: none waits */
  guint heartbeats_turn;     /* the HTTP server's turn in which the last one came */
  guint heartbeats_in_turn;  /* heartbeats that came in that turn */
  gint64 overrun_since;      /* they wait too long since then; monotonic, 0: they do not */
} FtHeartbeatQueue;
