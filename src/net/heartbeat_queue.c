#include "net/heartbeat_queue.h"

#include "core/constants.h"
#include "core/duration.h"

struct _FtHeartbeatQueue {
  const FtHeartbeatQueueHooks *hooks;
  gpointer data;
  GQueue waiting;        /* elements: QueuedHeartbeat, oldest first */
  guint source;          /* ID of the main loop's source that answers waiting heartbeats; 0: none waits */
  guint last_turn;       /* the HTTP server's turn to which `arrived_in_turn` refers */
  guint arrived_in_turn; /* number of heartbeats that arrived in that turn while none waited */
  gint64 overrun_since;  /* since when heartbeats wait too long; monotonic, microseconds; 0: they do not */
};

typedef struct {
  FtHttpRequest *request;
  gint64 arrived_at; /* monotonic, microseconds */
} QueuedHeartbeat;

FtHeartbeatQueue *
ft_heartbeat_queue_new (const FtHeartbeatQueueHooks *hooks, gpointer data)
{
  FtHeartbeatQueue *queue = g_new0 (FtHeartbeatQueue, 1);
  queue->hooks = hooks;
  queue->data = data;
  g_queue_init (&queue->waiting);
  return queue;
}

void
ft_heartbeat_queue_free (FtHeartbeatQueue *queue)
{
  g_free (queue);
}

static gboolean
backlog_is_late (FtHeartbeatQueue *queue, gint64 now)
{
  const QueuedHeartbeat *oldest = g_queue_peek_head (&queue->waiting);
  return oldest != NULL && now - oldest->arrived_at > ft_seconds (FT_HEARTBEAT_LATE_S);
}

/* Records since when heartbeats wait too long, and reports to the queue's owner if they do. */
static void
record_backlog (FtHeartbeatQueue *queue, gboolean late, gint64 now)
{
  if (!late)
    queue->overrun_since = 0;
  else if (queue->overrun_since == 0)
    queue->overrun_since = now;
  if (late)
    queue->hooks->late (now, queue->data);
}

/* While heartbeats wait too long, the newest are answered first, so that some workers get their answers in
 * time instead of none. The old ones are processed nevertheless: otherwise the scheduler would consider
 * their machines lost and terminate them. */
static gboolean
on_heartbeats_waiting (gpointer data)
{
  FtHeartbeatQueue *queue = data;
  gint64 now = g_get_monotonic_time ();
  gboolean late = backlog_is_late (queue, now);
  record_backlog (queue, late, now);
  for (guint i = 0; i < FT_HEARTBEATS_AT_ONCE && !g_queue_is_empty (&queue->waiting); i++) {
    g_autofree QueuedHeartbeat *queued = late ? g_queue_pop_tail (&queue->waiting) : g_queue_pop_head (&queue->waiting);
    queue->hooks->answer (queued->request, queue->data);
  }
  if (!g_queue_is_empty (&queue->waiting))
    return G_SOURCE_CONTINUE;
  queue->source = 0;
  queue->overrun_since = 0;
  return G_SOURCE_REMOVE;
}

static void
enqueue (FtHeartbeatQueue *queue, FtHttpRequest *request, gint64 now)
{
  QueuedHeartbeat *queued = g_new0 (QueuedHeartbeat, 1);
  queued->request = request;
  queued->arrived_at = now;
  g_queue_push_tail (&queue->waiting, queued);
  if (queue->source == 0)
    queue->source = g_idle_add_full (G_PRIORITY_DEFAULT, on_heartbeats_waiting, queue, NULL);
}

/* Counts a heartbeat that arrived in `turn`. Returns whether FT_HEARTBEATS_AT_ONCE other heartbeats had already
 * arrived in that turn. */
static gboolean
turn_is_full (FtHeartbeatQueue *queue, guint turn)
{
  if (turn != queue->last_turn)
    queue->arrived_in_turn = 0;
  queue->last_turn = turn;
  return ++queue->arrived_in_turn > FT_HEARTBEATS_AT_ONCE;
}

void
ft_heartbeat_queue_handle (FtHeartbeatQueue *queue, FtHttpRequest *request, guint turn, gint64 now)
{
  if (g_queue_is_empty (&queue->waiting) && !turn_is_full (queue, turn))
    queue->hooks->answer (request, queue->data);
  else
    enqueue (queue, request, now);
}

void
ft_heartbeat_queue_refuse_all (FtHeartbeatQueue *queue)
{
  QueuedHeartbeat *queued;
  g_clear_handle_id (&queue->source, g_source_remove);
  while ((queued = g_queue_pop_head (&queue->waiting)) != NULL) {
    ft_http_unavailable (queued->request);
    g_free (queued);
  }
}

gint64
ft_heartbeat_queue_overrun_since (const FtHeartbeatQueue *queue)
{
  return queue->overrun_since;
}

void
ft_heartbeat_queue_reset_overrun (FtHeartbeatQueue *queue)
{
  queue->overrun_since = 0;
}
