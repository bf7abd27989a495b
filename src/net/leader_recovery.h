/* Reading the key-value store's rows at the beginning of a term (open jobs, done-sets, drained
 * machines, machine registry), and the open jobs' rows again after a watch fell behind. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

/**
 * FtLeaderRecovered:
 *
 * Called when all rows have been taken into the scheduler.
 */
typedef void (*FtLeaderRecovered) (FtNode *node);

/**
 * ft_leader_recovery_start:
 * @node: a controller that leads
 * @recovered: called at the end, unless the term ends before
 *
 * Reads the rows page by page, each repeated until it is answered. At the beginning of a term the
 * four prefixes are read one after another, and then the scheduler starts placing; later only the
 * open jobs' rows are read.
 */
void ft_leader_recovery_start (FtNode *node, FtLeaderRecovered recovered);
