/* The watch: a long poll by which the leader learns of jobs that were accepted or cancelled. */
#pragma once
#include "net/leader_rows.h"

typedef struct _FtLeaderWatch FtLeaderWatch;

/**
 * ft_leader_watch_new:
 * @term: borrowed for life
 * @rows: borrowed for life; takes what the watch brings
 *
 * Returns: (transfer full): the watch of a controller that does not lead
 */
FtLeaderWatch *ft_leader_watch_new (FtLeaderTerm *term, FtLeaderRows *rows);

/**
 * ft_leader_watch_free:
 * @watch: (nullable) (transfer full): no answer may come any more
 */
void ft_leader_watch_free (FtLeaderWatch *watch);

/**
 * ft_leader_watch_end:
 *
 * The term is over: an answer that is still awaited will be dropped.
 */
void ft_leader_watch_end (FtLeaderWatch *watch);

/**
 * ft_leader_watch_tick:
 * @now: monotonic time in microseconds
 *
 * Starts the next poll if none is under way, it is due and the scheduler is loaded. To be called
 * while this controller leads.
 */
void ft_leader_watch_tick (FtLeaderWatch *watch, gint64 now);

/**
 * ft_leader_watch_resume:
 * @watch: the FtLeaderWatch
 *
 * The rows have been read (an FtLeaderRecovered): the next poll need not wait.
 */
void ft_leader_watch_resume (gpointer watch);
