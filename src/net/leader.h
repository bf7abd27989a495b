/* The work of a controller while it leads: it sends the scheduler's actions to the key-value store, the
 * workers and the cloud, and reports their answers to the scheduler.
 *
 * The leadership module begins and ends terms. The controller's timer calls ft_leader_tick(), and
 * every module that changes the scheduler's state calls ft_leader_run_actions() afterwards. The work is
 * divided among the modules leader_*.c; each owns its state and uses another one only if that was passed
 * to its constructor. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeader FtLeader;

/**
 * ft_leader_new:
 * @node: borrowed for the life of the object; its clients, lease and settings are used from
 *     ft_leader_begin() on
 * @now: monotonic time in microseconds
 *
 * Returns: (transfer full): the leader's modules, of a controller that does not lead
 */
FtLeader *ft_leader_new (FtNode *node, gint64 now);

/**
 * ft_leader_free:
 * @leader: (nullable) (transfer full): its term has ended, and no answer to its requests may arrive
 *     any more
 */
void ft_leader_free (FtLeader *leader);

/**
 * ft_leader_set_superseded:
 * @superseded: called when an answer shows that another controller leads; it ends the term
 * @data: data of @superseded
 *
 * Called once, by the leadership module.
 */
void ft_leader_set_superseded (FtLeader *leader, FtLeaderSuperseded superseded, gpointer data);

/**
 * ft_leader_begin:
 * @revision: revision of the store at which the claim wrote the fence row and the journal row
 *
 * Begins a term after the lease was acquired: makes a scheduler and starts the recovery.
 */
void ft_leader_begin (FtLeader *leader, guint64 revision);

/**
 * ft_leader_end:
 *
 * Ends the term, if there is one, and frees its scheduler. Answers to the term's requests that arrive
 * later are dropped.
 */
void ft_leader_end (FtLeader *leader);

/**
 * ft_leader_scheduler:
 *
 * Returns: (transfer none) (nullable): the scheduler of the term, valid until the term ends; %NULL if
 *     this controller does not lead
 */
FtScheduler *ft_leader_scheduler (const FtLeader *leader);

/**
 * ft_leader_term_began_at:
 *
 * Returns: when the current term began, or the last one if this controller does not lead; monotonic,
 *     microseconds
 */
gint64 ft_leader_term_began_at (const FtLeader *leader);

/**
 * ft_leader_term_number:
 *
 * Returns: a number that changes whenever a term begins or ends
 */
guint ft_leader_term_number (const FtLeader *leader);

/**
 * ft_leader_run_actions:
 * @now: monotonic time in microseconds
 *
 * Places tasks and carries out the actions that the scheduler has pending: writes, reads of jobs'
 * rows, commands and cloud calls. Does nothing while this controller does not lead or its recovery is
 * not complete. Call it after every change of the scheduler's state.
 */
void ft_leader_run_actions (FtLeader *leader, gint64 now);

/**
 * ft_leader_tick:
 * @now: monotonic time in microseconds
 *
 * Does the leader's periodic work: the watch, the cloud's list of machines, and the scheduler's own
 * timers. Does nothing while this controller does not lead.
 */
void ft_leader_tick (FtLeader *leader, gint64 now);
