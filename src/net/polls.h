/* Polls of open jobs, many at a time: one transaction without changes compares the revisions of many
 * jobs' rows with those at which they were last read as open, and so answers many polls.
 *
 * Linearizability: a job's row changes once in its life, from open to its end, so that an unchanged
 * revision proves that the job is open. A poll is only ever put into a transaction that is sent
 * after the poll arrived, and is answered from that transaction's answer or from a read sent later
 * still. The state that it reports was therefore the job's state at some time between its arrival
 * and its answer, and no poll that arrives after another one was answered can report an older state
 * than it. Polls never join a transaction that is already under way, which could have been executed
 * before they arrived. */
#pragma once
#include "net/node.h"

/**
 * FtPollResult:
 * @FT_POLL_OPEN: the row is as it was read: the job is open
 * @FT_POLL_CHANGED: the row has changed: it is to be read
 * @FT_POLL_FAILED: the key-value store did not answer in time
 */
typedef enum { FT_POLL_OPEN, FT_POLL_CHANGED, FT_POLL_FAILED } FtPollResult;

/* Called once for each poll that was taken on, from the main loop. */
typedef void (*FtPollDone) (FtPollResult result, gpointer data);

/**
 * ft_polls_new:
 * @node: borrowed; its store client and job cache are used
 *
 * Returns: (transfer full): no polls
 */
FtPolls *ft_polls_new (FtNode *node);

/**
 * ft_polls_free:
 * @polls: (transfer full) (nullable): freed, together with its polls, whose callbacks are not called
 *
 * The store client, which may still hold a request of theirs, must be freed before.
 */
void ft_polls_free (FtPolls *polls);

/**
 * ft_polls_add:
 * @ref: the job
 * @done: called once if this returns %TRUE
 *
 * Asks whether the job's row is as the job cache has it.
 *
 * Returns: %FALSE, and @done is not called, if the cache does not have it as open or FT_POLLS_MAX
 *   polls wait
 */
gboolean ft_polls_add (FtPolls *polls, const char *ref, FtPollDone done, gpointer data);
