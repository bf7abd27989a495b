/**
 * SECTION: job_rows
 * @title: Rows of jobs
 *
 * Encodes and decodes the values of a job's rows in the key-value store:
 *
 * - The state row says whether the job is open, done or cancelled. It is never deleted, so that
 *   no second job with the same ref can be accepted.
 * - The open row holds the job's specification. It exists while the job is open, and after a
 *   cancellation until all tasks of the job have stopped.
 * - The cancellation row exists from the cancellation of the job until all of its tasks have stopped.
 * - The chunk rows hold the bitmap of the job's finished tasks, in chunks.
 *
 * The rows are written by the transactions of job_transactions.h when a job is accepted or cancelled,
 * and by write_batch.h for the leader. The leader reads them during recovery and from its watch.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/types.h"
#include "wire/store_messages.h"

/**
 * FtJobRow:
 * @open: the job is neither done nor cancelled
 * @has_dependencies: the job is open and was submitted with dependencies
 * @end: how the job ended; undefined while the job is open
 * @tasks: number of the job's tasks
 * @ended_wall_ms: wall time of the job's end, in milliseconds since 1970; 0 if the job is open or
 *   an older version, which did not store the time, wrote the row
 *
 * The content of a job's state row.
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
 * Returns: (transfer full): the value of the open job's state row.
 */
json_t *ft_row_job_open (const FtJobSpec *spec);

/**
 * ft_row_job_ended:
 * @end: how the job ends
 * @tasks: number of the job's tasks
 * @wall_ms: wall time of the job's end, in milliseconds since 1970
 *
 * Returns: (transfer full): the value of the ended job's state row.
 */
json_t *ft_row_job_ended (FtJobEnd end, guint tasks, gint64 wall_ms);

/**
 * ft_row_job_parse:
 * @value: (nullable): the value of a state row
 * @out: (out): the content of the row; undefined on failure
 *
 * Returns: %TRUE on success, %FALSE if the value is malformed.
 */
gboolean ft_row_job_parse (const json_t *value, FtJobRow *out);

/**
 * ft_row_cancellation:
 * @wall_ms: wall time at which the cancellation is sent to the store, in milliseconds since 1970
 *
 * Returns: (transfer full): the value of the cancellation row.
 */
json_t *ft_row_cancellation (gint64 wall_ms);

/**
 * ft_row_cancellation_time:
 * @value: the value of a cancellation row
 *
 * Returns: the wall time of the cancellation, in milliseconds since 1970; 0 if the row contains no
 * valid time.
 */
gint64 ft_row_cancellation_time (const json_t *value);

/**
 * ft_row_open:
 * @spec: a job that is being accepted
 *
 * Returns: (transfer full): the value of the job's open row.
 */
json_t *ft_row_open (const FtJobSpec *spec);

/**
 * ft_row_open_with_watermark:
 * @spec: an open job
 * @watermark: the job's raised dispatch watermark: no task with this index or a higher one has ever been
 *   sent to a machine
 * @revision: revision of the job's state row
 *
 * The write that raises the watermark gives the open row a later revision than the state row has.
 * The value therefore also contains the revision of the state row.
 *
 * Returns: (transfer full): the value of the job's open row with the raised watermark.
 */
json_t *ft_row_open_with_watermark (const FtJobSpec *spec, guint watermark, guint64 revision);

/**
 * ft_row_open_size:
 * @spec: a job that is about to be accepted
 *
 * Returns: the greatest size, in bytes of JSON, that the value of the job's open row can reach.
 */
gsize ft_row_open_size (const FtJobSpec *spec);

/**
 * ft_row_open_state_revision:
 * @row: the open row of a job
 *
 * The store gives the state row and the open row the same revision when the job is accepted. Later
 * writes of the open row, which raise the dispatch watermark, store the revision of the state row in
 * the value.
 *
 * Returns: the revision of the job's state row. The write that ends the job is conditional on it.
 */
guint64 ft_row_open_state_revision (const FtRow *row);

/**
 * ft_row_open_parse_full:
 * @ref: the job's ref, from the key of the row
 * @value: (nullable): the value of the job's open row
 * @error: (nullable): set on failure to an %FT_WIRE_ERROR whose message names the field
 *
 * Returns: (transfer full) (nullable): the job, or %NULL if any field is malformed. A job must never
 * run with an incomplete specification.
 */
FtJobSpec *ft_row_open_parse_full (const char *ref, const json_t *value, GError **error);

/**
 * ft_row_open_parse:
 * @ref: the job's ref, from the key of the row
 * @value: (nullable): the value of the job's open row
 *
 * Does the same as ft_row_open_parse_full(), for callers that do not need the error.
 *
 * Returns: (transfer full) (nullable): the job, or %NULL if any field is malformed.
 */
FtJobSpec *ft_row_open_parse (const char *ref, const json_t *value);

/**
 * ft_row_chunk:
 * @bits: a chunk of the bitmap of finished tasks, in base64
 *
 * Returns: (transfer full): the value of the chunk row.
 */
json_t *ft_row_chunk (const char *bits);

/**
 * ft_row_chunk_bits:
 * @value: (nullable): the value of a chunk row
 *
 * Returns: (transfer none) (nullable): the chunk of the bitmap in base64, borrowed from @value;
 * %NULL if the value is malformed.
 */
const char *ft_row_chunk_bits (const json_t *value);
