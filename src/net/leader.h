/* What a controller does while it leads: it carries the scheduler's actions out against the
 * key-value store, the workers and the cloud, and takes their answers back to the scheduler.
 *
 * The leadership module begins and ends terms; the controller's timer calls ft_leader_tick(), and
 * whatever gives the scheduler news calls ft_leader_run_actions(). The parts are in leader_*.c; each owns
 * its state and knows of the others only what it is given. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeader FtLeader;

/**
 * ft_leader_new:
 * @node: borrowed for life; its clients, lease and settings are used from ft_leader_begin() on
 * @now: monotonic time in microseconds
 *
 * Returns: (transfer full): the leader's parts, of a controller that does not lead
 */
FtLeader *ft_leader_new (FtNode *node, gint64 now);

/**
 * ft_leader_free:
 * @leader: (nullable) (transfer full): its term has ended, and no answer may come any more
 */
void ft_leader_free (FtLeader *leader);

/**
 * ft_leader_set_superseded:
 * @superseded: called when an answer shows that another controller leads; it ends the term
 * @data: for @superseded
 *
 * Set once, by the leadership module.
 */
void ft_leader_set_superseded (FtLeader *leader, FtLeaderSuperseded superseded, gpointer data);

/**
 * ft_leader_begin:
 * @revision: that of the claim, at which the journal row was written too
 *
 * Begins a term after the lease was acquired: makes a scheduler and starts the recovery.
 */
void ft_leader_begin (FtLeader *leader, guint64 revision);

/**
 * ft_leader_end:
 *
 * Ends the term, if there is one: frees the scheduler and lets later answers be dropped.
 */
void ft_leader_end (FtLeader *leader);

/**
 * ft_leader_scheduler:
 *
 * Returns: (transfer none) (nullable): the term's scheduler, valid until the term ends; %NULL: this
 *     controller does not lead
 */
FtScheduler *ft_leader_scheduler (const FtLeader *leader);

/**
 * ft_leader_term_began_at:
 *
 * Returns: when the present term began, or the last one if this controller does not lead;
 *     monotonic, microseconds
 */
gint64 ft_leader_term_began_at (const FtLeader *leader);

/**
 * ft_leader_term_number:
 *
 * Returns: a number that changes whenever leading begins or ends
 */
guint ft_leader_term_number (const FtLeader *leader);

/**
 * ft_leader_run_actions:
 * @now: monotonic time in microseconds
 *
 * Places tasks and carries out whatever the scheduler wants now: commands, commits, cloud calls.
 * Nothing while this controller does not lead or its recovery is not complete. To be called after
 * the scheduler was given news.
 */
void ft_leader_run_actions (FtLeader *leader, gint64 now);

/**
 * ft_leader_tick:
 * @now: monotonic time in microseconds
 *
 * Periodic work while this controller leads, else nothing: the watch, the cloud's list, the
 * scheduler's own timers.
 */
void ft_leader_tick (FtLeader *leader, gint64 now);
