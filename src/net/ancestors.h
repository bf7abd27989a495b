/* Checks whether any ancestor of a job is cancelled. The ancestors of a job are its dependencies and,
 * recursively, the dependencies of these.
 *
 * The check reads committed rows and does not rely on a leader to cancel the dependents of a cancelled job.
 * Users therefore see a cancellation in time even while no controller leads. A result may rest on rows that
 * were read up to FT_ANCESTORS_FRESH_SHARE * cancel_s seconds ago. Used by submissions and polls. */
#pragma once
#include "net/node.h"

/**
 * FtAncestorsResult:
 * @FT_ANCESTORS_OPEN: no checked job is cancelled, and all of them were accepted
 * @FT_ANCESTORS_CANCELLED: a checked job is cancelled, and all of them were accepted
 * @FT_ANCESTORS_UNKNOWN: the rows could not be read in time
 * @FT_ANCESTORS_MISSING: a checked job was never accepted
 *
 * The result of a check. The values are in ascending order of precedence: if several apply, the check
 * reports the last of them.
 */
typedef enum {
  FT_ANCESTORS_OPEN,
  FT_ANCESTORS_CANCELLED,
  FT_ANCESTORS_UNKNOWN,
  FT_ANCESTORS_MISSING,
} FtAncestorsResult;

/**
 * FtAncestorsDone:
 * @result: the result of the check
 * @ref: (transfer none) (nullable): the ref of the cancelled or missing job, valid during the call; %NULL
 *   with any other result
 * @data: the `data` argument of the check
 *
 * Called once for each check that returned %TRUE, from the main loop after the check has returned.
 */
typedef void (*FtAncestorsDone) (FtAncestorsResult result, const char *ref, gpointer data);

/**
 * ft_ancestors_check_named:
 * @dependencies: (transfer none) (nullable): the refs of a submission's dependencies, %NULL-terminated;
 *   copied
 * @result: (out): the result if the function returns %FALSE; not %FT_ANCESTORS_MISSING
 * @done: called once if the function returns %TRUE
 * @data: passed to @done
 *
 * Checks the given jobs and their ancestors.
 *
 * Returns: %FALSE, with @result set and without calling @done, if the job cache has the result
 */
gboolean ft_ancestors_check_named (FtNode *node, const char *const *dependencies, FtAncestorsResult *result,
                                   FtAncestorsDone done, gpointer data);

/**
 * ft_ancestors_check:
 * @ref: the ref of an accepted job whose row has just been found open
 * @result: (out): the result if the function returns %FALSE; not %FT_ANCESTORS_MISSING
 * @done: called once if the function returns %TRUE
 * @data: passed to @done
 *
 * Checks the job and its ancestors.
 *
 * Returns: %FALSE, with @result set and without calling @done, if the job cache has the result
 */
gboolean ft_ancestors_check (FtNode *node, const char *ref, FtAncestorsResult *result, FtAncestorsDone done,
                             gpointer data);
