/* The leadership of this controller. It carries out what the lease (core/lease.h) decides: it reads
 * the lease's rows, claims and renews the lease, and begins and ends the leader's terms.
 *
 * A leader resigns, which releases the lease, when another controller is likely to lead better. It
 * yields when the key-value store serves a peer but not this controller: it then starts no more tasks,
 * but keeps its state and goes on answering heartbeats. Times are monotonic, in microseconds. */
#pragma once
#include "net/node.h"

/**
 * FtLeadership:
 *
 * The requests for the lease that are in flight, and the times that decide whether a leader resigns or
 * yields. There is one per process, owned by the node.
 */
typedef struct _FtLeadership FtLeadership;

/**
 * ft_leadership_new:
 * @node: borrowed for the life of the object; its lease, store client, peers, leader and metrics exist
 *     already
 *
 * Returns: (transfer full): the leadership of a controller that does not lead
 */
FtLeadership *ft_leadership_new (FtNode *node);

/**
 * ft_leadership_free:
 * @leadership: (nullable) (transfer full): the leadership
 *
 * Ends the term without notifying the peers. It must be called before the node's store client is
 * freed. Afterwards no answer to a request for the lease may arrive.
 */
void ft_leadership_free (FtLeadership *leadership);

/**
 * ft_leadership_tick:
 * @now: monotonic time
 *
 * Sends the requests that are due for the lease, and checks whether this controller should go on
 * leading.
 */
void ft_leadership_tick (FtLeadership *leadership, gint64 now);

/**
 * ft_leadership_note_stall:
 * @now: monotonic time at which the process runs again
 *
 * Records that this process did not run until @now. That it received no messages in that time says
 * nothing about the workers or the key-value store.
 */
void ft_leadership_note_stall (FtLeadership *leadership, gint64 now);

/**
 * ft_leadership_step_down:
 * @reason: text for the log line: the evidence that another controller leads
 *
 * Records the loss of the lease and ends the term at once. It must only be called while this
 * controller leads.
 */
void ft_leadership_step_down (FtLeadership *leadership, const char *reason);

/**
 * ft_leadership_advertises_yield:
 * @now: monotonic time
 *
 * Returns: whether this controller resigned or yielded within the last FT_YIELD_ADVERTISED_S, so that
 *     its heartbeats to the peers say so
 */
gboolean ft_leadership_advertises_yield (const FtLeadership *leadership, gint64 now);

/**
 * ft_leadership_store_unreachable_only_here:
 * @now: monotonic time
 *
 * Returns: whether the key-value store serves a peer but not this controller
 */
gboolean ft_leadership_store_unreachable_only_here (const FtLeadership *leadership, gint64 now);

/**
 * ft_leadership_known_leader:
 *
 * Returns: (transfer none) (nullable): the name of the member that leads, according to this
 *     controller's latest information; %NULL if no leader is known
 */
const char *ft_leadership_known_leader (const FtLeadership *leadership);
