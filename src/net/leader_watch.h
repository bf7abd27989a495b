/* The watch: a long poll by which the leader learns of jobs that were accepted or cancelled. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

typedef struct {
  gboolean in_flight;
  gint64 not_before; /* the next poll is not sent before; monotonic, microseconds */
} FtLeaderWatch;

/* Starts the next poll if none is under way, it is due and the scheduler is loaded. */
void ft_leader_watch_tick (FtNode *node, gint64 now);
/* The rows have been read (FtLeaderRecovered): the next poll need not wait. */
void ft_leader_watch_resume (FtNode *node);
