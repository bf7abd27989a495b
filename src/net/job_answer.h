/* Bodies of the answers about ended jobs. A job's end is final, so they may be built from the job cache. */
#pragma once
#include <jansson.h>

#include "core/types.h"
#include "net/node.h"

/**
 * ft_job_answer_ended:
 * @ref: the job's ref
 * @end: how the job ended
 * @tasks: the job's number of tasks; ignored if the job was cancelled
 *
 * Returns: (transfer full): the body of the answer about an ended job
 */
json_t *ft_job_answer_ended (const char *ref, FtJobEnd end, guint tasks);

/**
 * ft_job_answer_cached:
 * @node: the controller, whose job cache is used
 * @ref: the job's ref
 *
 * Returns: (transfer full) (nullable): the body of the answer if the job cache has the job's end; otherwise
 *   %NULL
 */
json_t *ft_job_answer_cached (const FtNode *node, const char *ref);
