/* Submission of a job: parse, validate, admit, check dependencies, commit, answer, in this order.
 * Acceptance is a commit on the condition that the job's row does not exist, so that a submission
 * may be repeated on any controller and creates the job once. */
#pragma once
#include "net/user_request.h"

/**
 * ft_submission_handle:
 * @request: (transfer full): the request, without a ref: the body names the job
 *
 * Answers POST /work: 201 if the job is accepted now, 200 with its state if it was accepted before,
 * 400 or 422 if it never can be, 503 if the submission is to be repeated later.
 */
void ft_submission_handle (FtUserRequest *request);
