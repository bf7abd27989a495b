/**
 * SECTION: messages
 * @title: Messages of users and workers
 *
 * Decodes what users submit and workers report into types of the core, and encodes the answers.
 * The protocol's own words stop here (see protocol.h). Used by the request handlers of src/net.
 *
 * Decoders return %NULL for whatever is not valid as a whole; fields that they do not know are ignored.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/types.h"

/* What each job's ref begins with. */
#define FT_REF_PREFIX "req-"

/**
 * ft_ref_valid:
 * @ref: a text
 *
 * Returns: whether it is a job's ref: the prefix and at least one letter, digit, "-" or "_", so
 * that it can be a part of a key.
 */
gboolean ft_ref_valid (const char *ref);

/**
 * ft_message_job:
 * @body: (nullable): a submission
 *
 * Returns: (transfer full) (nullable): the job, with neither a time of submission nor a dispatch
 * watermark; %NULL if any field is missing or invalid.
 */
FtJobSpec *ft_message_job (const json_t *body);

/**
 * ft_message_job_state:
 * @ref: the job's ref
 * @state: a state of the core: "queued", "running", "done" or "cancelled"
 * @done: number of its tasks that are done
 * @running: number of its tasks that run
 * @counts: whether the answer has the two numbers
 *
 * Returns: (transfer full): the answer to a user about a job.
 */
json_t *ft_message_job_state (const char *ref, const char *state, guint done, guint running, gboolean counts);

/**
 * ft_message_task_name:
 * @name: (nullable): a task's name, as "req-000412/3"
 * @task: its job, which the task owns from then on, and its index are set
 *
 * Returns: %FALSE, with nothing set, if the name is not valid.
 */
gboolean ft_message_task_name (const char *name, FtTaskStatus *task);

/**
 * ft_message_task_state:
 * @state: (nullable): the protocol's word for a task's state; need not end in a zero byte
 * @state_size: its length
 * @cause: (nullable): the protocol's word for an exit reason; need not end in a zero byte
 * @cause_size: its length
 * @task: its state is set, and its exit reason if it has exited
 *
 * An exit reason that is missing or unknown here counts as %FT_EXIT_ERROR.
 *
 * Returns: %FALSE, with nothing set, if the state is unknown.
 */
gboolean ft_message_task_state (const char *state, gsize state_size, const char *cause, gsize cause_size,
                                FtTaskStatus *task);

/**
 * ft_message_worker_heartbeat:
 * @body: (nullable): a worker's heartbeat
 *
 * Returns: (transfer full) (nullable): the heartbeat, or %NULL if it is not valid.
 */
FtWorkerHeartbeat *ft_message_worker_heartbeat (const json_t *body);

/**
 * ft_message_worker_heartbeat_from_cbor:
 * @data: CBOR
 * @size: its length
 *
 * Reads the same straight from CBOR, without a tree in between.
 *
 * Returns: (transfer full) (nullable): what decoding the tree and ft_message_worker_heartbeat()
 * would return.
 */
FtWorkerHeartbeat *ft_message_worker_heartbeat_from_cbor (const guint8 *data, gsize size);

/**
 * ft_message_answer:
 * @token: the leader's fencing token
 * @commands: (nullable) (element-type FtCommand): commands for the machine
 *
 * Returns: (transfer full): the answer to a worker's heartbeat.
 */
json_t *ft_message_answer (guint64 token, const GArray *commands);

/**
 * ft_message_redirect:
 * @leader: (nullable): the leader's address, or %NULL if it is not known
 *
 * Returns: (transfer full): the answer to a worker's heartbeat by a controller that does not lead.
 */
json_t *ft_message_redirect (const char *leader);

/**
 * ft_message_commands:
 * @token: the leader's fencing token
 * @incarnation: the agent's incarnation for which the commands are meant
 * @commands: (nullable) (element-type FtCommand): the commands; none makes it a probe
 *
 * Returns: (transfer full): a direct request to a machine.
 */
json_t *ft_message_commands (guint64 token, guint64 incarnation, const GArray *commands);
