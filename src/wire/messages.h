/**
 * SECTION: messages
 * @title: Messages of users and workers
 *
 * Decodes submissions of users and heartbeats of workers into types of the core, and encodes the
 * answers and the commands to workers. The protocol's own names (see protocol.h) do not occur outside
 * of src/wire. Used by the request handlers of src/net.
 *
 * A decoder rejects the whole message if any field is invalid; it ignores unknown fields.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/types.h"

/* Prefix of the ref of each job. The ref is the job's unique name, chosen by the user. */
#define FT_REF_PREFIX "req-"

/**
 * ft_ref_valid:
 * @ref: a text
 *
 * Checks that a text can be the ref of a job and a part of a key of the key-value store: it consists
 * of %FT_REF_PREFIX and at least one ASCII letter, digit, "-" or "_", and is not longer than
 * %FT_TEXT_MAX.
 *
 * Returns: whether @ref is valid.
 */
gboolean ft_ref_valid (const char *ref);

/**
 * ft_message_job:
 * @body: (nullable): a submission
 *
 * Returns: (transfer full) (nullable): the job, or %NULL if a required field is missing or any field is
 * invalid. The job's time of submission and its dispatch watermark are 0.
 */
FtJobSpec *ft_message_job (const json_t *body);

/**
 * ft_message_job_state:
 * @ref: the job's ref
 * @state: the core's name of the job's state: "queued", "running", "done" or "cancelled"
 * @done: number of the job's tasks that are done
 * @running: number of the job's tasks that are running
 * @counts: whether the answer contains @done and @running
 *
 * Returns: (transfer full): the answer to a user's request for the state of a job.
 */
json_t *ft_message_job_state (const char *ref, const char *state, guint done, guint running, gboolean counts);

/**
 * ft_message_task_name:
 * @name: (nullable): the name of a task, like "req-000412/3"
 * @task: receives the job's ref, in an allocated text that @task owns, and the task's index
 *
 * Decodes the name of a task.
 *
 * Returns: %TRUE on success; %FALSE, with @task unchanged, if the name is not valid.
 */
gboolean ft_message_task_name (const char *name, FtTaskStatus *task);

/**
 * ft_message_task_state:
 * @state: (nullable): the protocol's name of a task state; need not end in a zero byte
 * @state_size: length of @state in bytes
 * @cause: (nullable): the protocol's name of an exit reason; need not end in a zero byte
 * @cause_size: length of @cause in bytes
 * @task: receives the state and, for an exited task, the exit reason
 *
 * Decodes the state of a task. If an exited task has no exit reason, or one that this version does
 * not know, its exit reason becomes %FT_EXIT_ERROR.
 *
 * Returns: %TRUE on success; %FALSE, with @task unchanged, if the state is unknown.
 */
gboolean ft_message_task_state (const char *state, gsize state_size, const char *cause, gsize cause_size,
                                FtTaskStatus *task);

/**
 * ft_message_worker_heartbeat:
 * @body: (nullable): the message of a worker's heartbeat
 *
 * Returns: (transfer full) (nullable): the heartbeat, or %NULL if the message is not valid.
 */
FtWorkerHeartbeat *ft_message_worker_heartbeat (const json_t *body);

/**
 * ft_message_worker_heartbeat_from_cbor:
 * @data: the message of a worker's heartbeat, in CBOR
 * @size: length of @data in bytes
 *
 * Decodes a worker's heartbeat directly from CBOR. The result is the same as that of ft_cbor_decode()
 * and ft_message_worker_heartbeat(), but usually no value tree is built.
 *
 * Returns: (transfer full) (nullable): the heartbeat, or %NULL if the message is not valid.
 */
FtWorkerHeartbeat *ft_message_worker_heartbeat_from_cbor (const guint8 *data, gsize size);

/**
 * ft_message_answer:
 * @token: the leader's fencing token
 * @commands: (nullable) (element-type FtCommand): commands for the machine
 *
 * Returns: (transfer full): the leader's answer to a worker's heartbeat.
 */
json_t *ft_message_answer (guint64 token, const GArray *commands);

/**
 * ft_message_redirect:
 * @leader: (nullable): the leader's address; %NULL if this controller does not know the leader
 *
 * Returns: (transfer full): a follower's answer to a worker's heartbeat.
 */
json_t *ft_message_redirect (const char *leader);

/**
 * ft_message_commands:
 * @token: the leader's fencing token
 * @incarnation: incarnation of the worker that must execute the commands
 * @commands: (nullable) (element-type FtCommand): the commands; a request without commands is a probe
 *
 * Returns: (transfer full): the body of a direct request to a machine.
 */
json_t *ft_message_commands (guint64 token, guint64 incarnation, const GArray *commands);
