/* Leadership of this controller: it carries out what the lease (core/lease.h) decides, that is
 * reading the lease's rows, claiming and renewing it, and begins and ends the leader's terms.
 *
 * A leader gives its lease up (resigns) when another controller would do better, and yields when
 * the key-value store serves others but not it. Times are monotonic, in microseconds. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;
typedef struct _FtLeadership FtLeadership;

/* `node` is borrowed; it has its lease, store client, peers and metrics already. */
FtLeadership *ft_leadership_new (FtNode *node);
/* Ends the term. To be called before the node's clients are freed. */
void ft_leadership_free (FtLeadership *leadership);

/* Sends what is due for the lease, and checks whether this controller should go on leading. */
void ft_leadership_tick (FtLeadership *leadership, gint64 now);
/* This process stood still until `now`: what it has not received meanwhile proves nothing. */
void ft_leadership_stood_still (FtLeadership *leadership, gint64 now);
/* Another controller leads: the term ends at once. `why` is for the log line. */
void ft_leadership_step_down (FtLeadership *leadership, const char *why);
/* TRUE if this controller resigned or yielded so recently that it still tells its peers. */
gboolean ft_leadership_gave_way (const FtLeadership *leadership, gint64 now);
/* TRUE if the store serves a peer but not this controller. */
gboolean ft_leadership_store_unreachable_alone (const FtLeadership *leadership, gint64 now);
