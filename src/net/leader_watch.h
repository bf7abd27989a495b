/* The watch: a long poll by which the leader learns of jobs that were accepted or cancelled. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

/**
 * FtLeaderWatch:
 * @in_flight: a poll awaits its answer
 * @not_before: the next one is not sent before; monotonic, microseconds
 */
typedef struct {
  gboolean in_flight;
  gint64 not_before;
} FtLeaderWatch;

/**
 * ft_leader_watch_tick:
 * @node: a controller that leads
 * @now: monotonic time in microseconds
 *
 * Starts the next poll if none is under way, it is due and the scheduler is loaded.
 */
void ft_leader_watch_tick (FtNode *node, gint64 now);

/**
 * ft_leader_watch_resume:
 *
 * The rows have been read (an FtLeaderRecovered): the next poll need not wait.
 */
void ft_leader_watch_resume (FtNode *node);
