/* Leadership of this controller: it carries out what the lease (core/lease.h) decides, that is
 * reading the lease's rows, claiming and renewing it, and begins and ends the leader's terms.
 *
 * A leader gives its lease up (resigns) when another controller would do better, and yields when
 * the key-value store serves others but not it. Times are monotonic, in microseconds. */
#pragma once
#include "net/node.h"

/**
 * FtLeadership:
 *
 * The lease's requests under way and the times on which resigning depends. One per process,
 * owned by the node.
 */
typedef struct _FtLeadership FtLeadership;

/**
 * ft_leadership_new:
 * @node: borrowed for life; it has its lease, store client, peers, leader and metrics already
 *
 * Returns: (transfer full): the leadership of a controller that does not lead
 */
FtLeadership *ft_leadership_new (FtNode *node);

/**
 * ft_leadership_free:
 * @leadership: (nullable) (transfer full): the leadership
 *
 * Ends the term without telling anybody. To be called before the node's store client is freed;
 * no answer may come any more afterwards.
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
 * @now: monotonic time
 *
 * This process did not run until @now: that it received nothing meanwhile proves nothing.
 */
void ft_leadership_note_stall (FtLeadership *leadership, gint64 now);

/**
 * ft_leadership_step_down:
 * @why: what shows that another controller leads, for the log line
 *
 * Ends the term at once. To be called only while leading.
 */
void ft_leadership_step_down (FtLeadership *leadership, const char *why);

/**
 * ft_leadership_advertises_yield:
 * @now: monotonic time
 *
 * Returns: whether this controller resigned or yielded within FT_YIELD_ADVERTISED_S, and so
 *     still tells its peers
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
 * Returns: (transfer none) (nullable): the member that leads, as far as this controller knows
 */
const char *ft_leadership_known_leader (const FtLeadership *leadership);
