/* Whether a job's ancestors, the jobs that it needs directly or through others, allow it to go on.
 *
 * The answer is read from committed rows, not from what a leader has cleaned up, so that a
 * cancellation reaches users in time also while nobody leads. It may rest on rows that were read up
 * to FT_ANCESTORS_FRESH_SHARE of cancel_s ago. Used by submissions and by polls. */
#pragma once
#include "net/node.h"

/**
 * FtAncestorsResult:
 * @FT_ANCESTORS_OPEN: none of them is cancelled, and all were accepted
 * @FT_ANCESTORS_CANCELLED: one of them is cancelled, and all that were named were accepted
 * @FT_ANCESTORS_UNKNOWN: the key-value store did not answer in time
 * @FT_ANCESTORS_MISSING: one of them was never accepted
 *
 * In the order in which one outweighs another: a job that was never accepted is reported whatever
 * else was found.
 */
typedef enum {
  FT_ANCESTORS_OPEN,
  FT_ANCESTORS_CANCELLED,
  FT_ANCESTORS_UNKNOWN,
  FT_ANCESTORS_MISSING,
} FtAncestorsResult;

/**
 * FtAncestorsDone:
 * @result: what was found
 * @ref: (nullable): the job that is cancelled or missing, borrowed for the call
 * @data: what was passed with the check
 *
 * Called once for each check, possibly before the function that begins it returns.
 */
typedef void (*FtAncestorsDone) (FtAncestorsResult result, const char *ref, gpointer data);

/**
 * ft_ancestors_check_named:
 * @dependencies: (nullable): the jobs that a submission names; not kept
 * @done: called once
 *
 * Checks the named jobs and their ancestors.
 */
void ft_ancestors_check_named (FtNode *node, const char *const *dependencies, FtAncestorsDone done, gpointer data);

/**
 * ft_ancestors_check:
 * @ref: an accepted job whose own row is open as of now
 * @done: called once
 *
 * Checks the job and its ancestors.
 */
void ft_ancestors_check (FtNode *node, const char *ref, FtAncestorsDone done, gpointer data);
