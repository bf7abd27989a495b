/* Batched polls of open jobs. One read-only transaction compares the current revisions of many jobs' rows
 * with the revisions at which the rows were last read as open, and so answers many polls.
 *
 * Polls are linearizable. A job's row changes once, from open to ended, so an unchanged revision proves that
 * the job is open. A poll joins only a transaction that is sent after the poll has arrived. It is answered
 * from that transaction's answer or from a later read. The reported state was therefore the job's state at
 * some time between the poll's arrival and its answer, and a poll that arrives after another poll was
 * answered never reports an older state. A poll never joins a transaction in flight, since the store may
 * have executed it before the poll arrived. */
#pragma once
#include "net/node.h"

/**
 * FtPollResult:
 * @FT_POLL_OPEN: the row has not changed, so the job is open
 * @FT_POLL_CHANGED: the row has changed; the caller must read it
 * @FT_POLL_FAILED: the key-value store did not answer in time, or its answer was not usable
 *
 * The result of a poll.
 */
typedef enum { FT_POLL_OPEN, FT_POLL_CHANGED, FT_POLL_FAILED } FtPollResult;

/**
 * FtPollDone:
 * @result: the result of the poll
 * @data: the `data` argument of ft_polls_add()
 *
 * Called once for each poll for which ft_polls_add() returned %TRUE, from the main loop after it has returned.
 */
typedef void (*FtPollDone) (FtPollResult result, gpointer data);

/**
 * ft_polls_new:
 * @node: borrowed; must outlive the polls, which use its store client and job cache
 *
 * Returns: (transfer full): an empty queue of polls
 */
FtPolls *ft_polls_new (FtNode *node);

/**
 * ft_polls_free:
 * @polls: (transfer full) (nullable): the queue of polls
 *
 * Frees the queue and its polls without calling their callbacks. The store client must be freed first, since
 * it may still hold a request whose callback uses the queue.
 */
void ft_polls_free (FtPolls *polls);

/**
 * ft_polls_waiting:
 *
 * Returns: the number of polls that wait for the next transaction
 */
guint ft_polls_waiting (const FtPolls *polls);

/**
 * ft_polls_add:
 * @ref: the job's ref; copied
 * @done: called once if the function returns %TRUE
 * @data: passed to @done
 *
 * Adds a poll, which compares the current revision of the job's row with the revision in the job cache.
 *
 * Returns: %FALSE, without calling @done, if the job cache does not have the job as open or FT_POLLS_MAX
 *   polls are already waiting
 */
gboolean ft_polls_add (FtPolls *polls, const char *ref, FtPollDone done, gpointer data);
