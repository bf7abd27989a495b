#include "net/completion_queue.h"

#include "core/constants.h"

struct _FtCompletionQueue {
  FtCompletionFunc complete;
  GDestroyNotify drop;
  GQueue waiting; /* oldest first */
  guint source;   /* ID of the main loop's source that carries out completions; 0: none waits */
};

FtCompletionQueue *
ft_completion_queue_new (FtCompletionFunc complete, GDestroyNotify drop)
{
  FtCompletionQueue *queue = g_new0 (FtCompletionQueue, 1);
  queue->complete = complete;
  queue->drop = drop;
  g_queue_init (&queue->waiting);
  return queue;
}

void
ft_completion_queue_free (FtCompletionQueue *queue)
{
  if (queue == NULL)
    return;
  g_clear_handle_id (&queue->source, g_source_remove);
  g_queue_clear_full (&queue->waiting, queue->drop);
  g_free (queue);
}

/* Carries out only completions that waited when the turn began: those that they add wait for the next turn. */
static gboolean
on_turn (gpointer data)
{
  FtCompletionQueue *queue = data;
  guint count = MIN (g_queue_get_length (&queue->waiting), FT_COMPLETIONS_AT_ONCE);
  for (guint i = 0; i < count; i++)
    queue->complete (g_queue_pop_head (&queue->waiting));
  if (!g_queue_is_empty (&queue->waiting))
    return G_SOURCE_CONTINUE;
  queue->source = 0;
  return G_SOURCE_REMOVE;
}

void
ft_completion_queue_add (FtCompletionQueue *queue, gpointer completion)
{
  g_queue_push_tail (&queue->waiting, completion);
  if (queue->source == 0)
    queue->source = g_idle_add_full (G_PRIORITY_DEFAULT, on_turn, queue, NULL);
}
