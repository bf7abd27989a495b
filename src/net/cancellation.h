/* Cancellation of a job, by its user or because one of its ancestors was cancelled. It is committed
 * as a compare-and-swap on the job's row, so that exactly one of its end by completion and its
 * cancellation is ever committed, whichever controller leads. */
#pragma once
#include "net/user_request.h"

/**
 * ft_cancellation_handle:
 * @request: (transfer full): the request
 *
 * Answers a user's cancellation of the job that the path names.
 */
void ft_cancellation_handle (FtUserRequest *request);

/**
 * ft_cancellation_commit:
 * @request: (transfer full): a request with a reason to cancel its job
 * @revision: the revision at which the job's row was read as open
 * @tasks: the job's number of tasks
 *
 * Commits the cancellation, with the row by which the leader learns of it, and answers. If the row has
 * changed since, it is read again.
 */
void ft_cancellation_commit (FtUserRequest *request, guint64 revision, guint tasks);
