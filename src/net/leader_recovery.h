/* Reading the key-value store's rows at the beginning of a term (open jobs, done-sets, drained
 * machines, machine registry), and the open jobs' rows again after a watch fell behind. */
#pragma once
#include "net/leader_rows.h"

/**
 * FtLeaderRecovered:
 * @data: what was passed with the callback
 *
 * Called when all rows have been taken into the scheduler.
 */
typedef void (*FtLeaderRecovered) (gpointer data);

/**
 * ft_leader_recovery_start:
 * @rows: of a controller that leads; borrowed until the end
 * @recovered: called at the end, unless the term ends before
 * @data: for @recovered
 *
 * Reads the rows page by page, each repeated until it is answered. At the beginning of a term the
 * four prefixes are read one after another, and then the scheduler starts placing; later only the
 * open jobs' rows are read.
 */
void ft_leader_recovery_start (FtLeaderRows *rows, FtLeaderRecovered recovered, gpointer data);
