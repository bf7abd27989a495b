/* Messages of users and workers, to and from core types. The wire's own names
 * stop here. Decoders return NULL for anything that is not valid. */
#pragma once
#include <jansson.h>

#include "core/types.h"

/* What each job's ref begins with. */
#define FT_REF_PREFIX "req-"

gboolean ft_ref_valid (const char *ref);

FtJobSpec *ft_message_job (const json_t *body);
/* `state` is a core name: queued, running, done or cancelled. */
json_t *ft_message_job_state (const char *ref, const char *state, guint done, guint running, gboolean counts);

/* A heartbeat's task by its name, as "req-000412/3", and its state and cause, which need
 * not end in a zero; FALSE if they are not valid. */
gboolean ft_message_task_name (const char *name, FtTaskStatus *task);
gboolean ft_message_task_state (const char *state, gsize state_size, const char *cause, gsize cause_size,
                                FtTaskStatus *task);
FtWorkerHeartbeat *ft_message_worker_heartbeat (const json_t *body);
/* The same from CBOR, at a fraction of the cost. */
FtWorkerHeartbeat *ft_message_worker_heartbeat_read (const guint8 *data, gsize size);
json_t *ft_message_answer (guint64 token, const GArray *commands);
json_t *ft_message_redirect (const char *leader);
json_t *ft_message_commands (guint64 token, guint64 incarnation, const GArray *commands);
