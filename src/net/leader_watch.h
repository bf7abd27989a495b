/* The watch: a long poll that returns to the leader the jobs that were accepted or cancelled since the
 * previous poll. */
#pragma once
#include "net/leader_rows.h"

typedef struct _FtLeaderWatch FtLeaderWatch;

/**
 * ft_leader_watch_new:
 * @term: borrowed for the life of the object
 * @rows: receives the rows that the watch returns; borrowed for the life of the object
 *
 * Returns: (transfer full): the watch of a controller that does not lead
 */
FtLeaderWatch *ft_leader_watch_new (FtLeaderTerm *term, FtLeaderRows *rows);

/**
 * ft_leader_watch_free:
 * @watch: (nullable) (transfer full): the watch
 *
 * Must be called only when no answer to its poll can arrive any more.
 */
void ft_leader_watch_free (FtLeaderWatch *watch);

/**
 * ft_leader_watch_end:
 *
 * Called at the end of a term. Resets the state of the watch; the answer to a poll in flight will be
 * dropped.
 */
void ft_leader_watch_end (FtLeaderWatch *watch);

/**
 * ft_leader_watch_tick:
 * @now: monotonic time in microseconds
 *
 * Starts the next poll if none is in flight, the next one is due and the recovery has loaded the scheduler.
 * It must only be called while this controller leads.
 */
void ft_leader_watch_tick (FtLeaderWatch *watch, gint64 now);

/**
 * ft_leader_watch_resume:
 * @watch: the FtLeaderWatch
 *
 * Makes the next poll due at once, also if the watch has paused because the store no longer had all changes. It is the
 * FtLeaderRecovered callback of all recoveries: when a recovery has read the rows, the watch continues after the
 * revision at which they were read.
 */
void ft_leader_watch_resume (gpointer watch);
