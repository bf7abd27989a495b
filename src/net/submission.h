/* Submission of a job. The steps are, in this order: parse, validate, admit, check the dependencies, commit,
 * answer. The commit is conditional on the job's row not existing, so that a user may retry a submission on
 * any controller and the job is created only once. */
#pragma once
#include "net/user_request.h"

/**
 * ft_submission_handle:
 * @request: (transfer full): the request, whose ref is still %NULL; the body contains the job's ref
 *
 * Answers POST /work with 201 if the job is accepted now, with 200 and the job's state if it was accepted
 * before, with 400 if the body is malformed, with 422 if the job can never be accepted, or with 503 if the
 * user should retry the submission later.
 */
void ft_submission_handle (FtUserRequest *request);
