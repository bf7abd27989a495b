/* Completions that the main loop carries out later. A module that knows the result of an operation at once, for
 * example that it cannot be started, adds the completion here instead of calling the caller's callback. The callback
 * is then never called before the function that starts the operation has returned, so that the caller may
 * go on using what its callback frees.
 *
 * In one turn of the main loop at most FT_COMPLETIONS_AT_ONCE completions are carried out. Other sources of the main
 * loop, such as the renewal of the lease, therefore never wait behind a long queue, and a callback that starts its
 * operation again after each failure cannot keep the main loop from its other work. */
#pragma once
#include <glib.h>

/**
 * FtCompletionQueue:
 *
 * A queue of completions. The module whose operations complete owns it.
 */
typedef struct _FtCompletionQueue FtCompletionQueue;

/**
 * FtCompletionFunc:
 * @completion: (transfer full): the completion
 *
 * Calls the callback of one operation. It may add further completions, but must not free the queue.
 */
typedef void (*FtCompletionFunc) (gpointer completion);

/**
 * ft_completion_queue_new:
 * @complete: carries out a completion
 * @drop: frees a completion that is not carried out
 *
 * Returns: (transfer full): an empty queue, which the main loop of the calling thread serves
 */
FtCompletionQueue *ft_completion_queue_new (FtCompletionFunc complete, GDestroyNotify drop);

/**
 * ft_completion_queue_free:
 * @queue: (transfer full) (nullable): the queue
 *
 * Drops all completions that have not been carried out.
 */
void ft_completion_queue_free (FtCompletionQueue *queue);

/**
 * ft_completion_queue_add:
 * @completion: (transfer full): carried out from the main loop, after those that were added before it
 */
void ft_completion_queue_add (FtCompletionQueue *queue, gpointer completion);
