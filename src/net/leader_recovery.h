/* The leader's reads of whole groups of rows from the key-value store: at the beginning of a term the
 * rows of the open jobs, of their finished tasks (done-sets), of the drained machines and of the machine
 * registry, and later the open jobs' rows again after the watch has fallen behind. */
#pragma once
#include "net/leader_rows.h"

/**
 * FtLeaderRecovered:
 * @data: the pointer that was passed with the callback
 *
 * Called when all rows have been passed to the scheduler, from the main loop after ft_leader_recovery_start() has
 * returned.
 */
typedef void (*FtLeaderRecovered) (gpointer data);

/**
 * ft_leader_recovery_start:
 * @rows: receives the rows; of a controller that leads; borrowed until the recovery ends
 * @recovered: called when the recovery is complete, unless the term ends earlier
 * @data: data of @recovered
 *
 * Reads the rows page by page, and repeats the request for a page until it is answered. At the
 * beginning of a term it reads all four groups of rows one after another, and the scheduler starts placing
 * tasks afterwards. Later in the term it reads only the open jobs' rows.
 */
void ft_leader_recovery_start (FtLeaderRows *rows, FtLeaderRecovered recovered, gpointer data);
