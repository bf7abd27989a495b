/**
 * SECTION: job_rows
 * @title: Rows of jobs
 *
 * The values of a job's rows: its state (kept for ever, so that a ref is never accepted twice),
 * its specification while it is open, its cancellation, and the bitmap of its finished tasks in
 * chunks. Written by src/net/user_api.c when a job is accepted or cancelled and by write_batch.c
 * for the leader; read by src/net/leader.c during recovery and from the watch.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/types.h"
#include "wire/store_messages.h"

/**
 * FtJobRow:
 * @open: the job is neither done nor cancelled
 * @has_dependencies: it is open and was submitted with dependencies
 * @end: how it ended; undefined while it is open
 * @tasks: number of its tasks
 * @ended_wall_ms: when it ended, in milliseconds since 1970; 0 if it is open or its row was
 *   written by a version that did not keep the time
 *
 * A job's state as its row holds it.
 */
typedef struct {
  gboolean open, has_dependencies;
  FtJobEnd end;
  guint tasks;
  gint64 ended_wall_ms;
} FtJobRow;

/**
 * ft_row_job_open:
 * @spec: a job that is being accepted
 *
 * Returns: (transfer full): the value of its state row.
 */
json_t *ft_row_job_open (const FtJobSpec *spec);

/**
 * ft_row_job_ended:
 * @end: how the job ends
 * @tasks: number of its tasks
 * @wall_ms: time of its end, in milliseconds since 1970
 *
 * Returns: (transfer full): the value of its state row.
 */
json_t *ft_row_job_ended (FtJobEnd end, guint tasks, gint64 wall_ms);

/**
 * ft_row_job_parse:
 * @value: (nullable): the value of a state row
 * @out: (out): the state; undefined on failure
 *
 * Returns: %FALSE if the value is malformed.
 */
gboolean ft_row_job_parse (const json_t *value, FtJobRow *out);

/**
 * ft_row_cancellation:
 * @wall_ms: time at which the cancellation is sent, in milliseconds since 1970
 *
 * Returns: (transfer full): the value of the cancellation's row.
 */
json_t *ft_row_cancellation (gint64 wall_ms);

/**
 * ft_row_cancellation_time:
 * @value: the value of a cancellation's row
 *
 * Returns: its time in milliseconds since 1970; 0 if the row does not say.
 */
gint64 ft_row_cancellation_time (const json_t *value);

/**
 * ft_row_open:
 * @spec: a job that is being accepted
 *
 * Returns: (transfer full): the value of its row among the open jobs.
 */
json_t *ft_row_open (const FtJobSpec *spec);

/**
 * ft_row_open_with_watermark:
 * @spec: an open job
 * @watermark: its raised dispatch watermark
 * @revision: revision of its state row
 *
 * Returns: (transfer full): the value of its row among the open jobs once the watermark has been
 * raised. The row then has a later revision than the state row, and so states the latter's.
 */
json_t *ft_row_open_with_watermark (const FtJobSpec *spec, guint watermark, guint64 revision);

/**
 * ft_row_open_size:
 * @spec: a job that is about to be accepted
 *
 * Returns: the most bytes of JSON that its row among the open jobs ever takes.
 */
gsize ft_row_open_size (const FtJobSpec *spec);

/**
 * ft_row_open_state_revision:
 * @row: an open job's row
 *
 * Returns: the revision of the job's state row, on which its end is conditional. Both rows are
 * written together; after that the open job's row is written whenever its dispatch watermark is raised.
 */
guint64 ft_row_open_state_revision (const FtRow *row);

/**
 * ft_row_open_parse_full:
 * @ref: the job's ref, from the key
 * @value: (nullable): the value of its row among the open jobs
 * @error: (nullable): set on failure to an %FT_WIRE_ERROR that names the field
 *
 * Returns: (transfer full) (nullable): the job, or %NULL if any field is malformed: a job is never
 * run with a part of what was submitted.
 */
FtJobSpec *ft_row_open_parse_full (const char *ref, const json_t *value, GError **error);

/**
 * ft_row_open_parse:
 * @ref: the job's ref, from the key
 * @value: (nullable): the value of its row among the open jobs
 *
 * Returns: (transfer full) (nullable): as ft_row_open_parse_full(), for callers that do not log.
 */
FtJobSpec *ft_row_open_parse (const char *ref, const json_t *value);

/**
 * ft_row_chunk:
 * @bits: base64 text of a chunk of the bitmap of finished tasks
 *
 * Returns: (transfer full): the value of the chunk's row.
 */
json_t *ft_row_chunk (const char *bits);

/**
 * ft_row_chunk_bits:
 * @value: (nullable): the value of a chunk's row
 *
 * Returns: (transfer none) (nullable): its base64 text, or %NULL if the value is malformed.
 */
const char *ft_row_chunk_bits (const json_t *value);
