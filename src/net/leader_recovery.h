/* Reading the key-value store's rows at the beginning of a term (open jobs, done-sets, drained
 * machines, machine registry), and the open jobs' rows again after a watch fell behind. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

/* All rows have been taken into the scheduler. */
typedef void (*FtLeaderRecovered) (FtNode *node);

/* Starts reading, page by page, each repeated until it is answered. At a term's beginning the
 * four prefixes are read one after another and the scheduler starts placing; later only the
 * open jobs' rows are. `recovered` is called unless the term ends first. */
void ft_leader_recovery_start (FtNode *node, FtLeaderRecovered recovered);
