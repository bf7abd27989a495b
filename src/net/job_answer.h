/* The answers' bodies for jobs that have ended, which are final and so may be served from memory. */
#pragma once
#include <jansson.h>

#include "core/types.h"
#include "net/node.h"

/**
 * ft_job_answer_ended:
 * @ref: the job
 * @end: how it ended
 * @tasks: its number of tasks, which counts if it is done
 *
 * Returns: (transfer full): the answer's body for a job that has ended
 */
json_t *ft_job_answer_ended (const char *ref, FtJobEnd end, guint tasks);

/**
 * ft_job_answer_cached:
 * @node: the controller, whose job cache is asked
 * @ref: the job
 *
 * Returns: (transfer full) (nullable): the answer's body if the job is known to have ended, else %NULL
 */
json_t *ft_job_answer_cached (const FtNode *node, const char *ref);
