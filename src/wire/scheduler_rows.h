/**
 * SECTION: scheduler_rows
 * @title: Rows into the scheduler
 *
 * Takes rows that were read from the key-value store into the leader's scheduler: those that it
 * reads before it serves and those that the watch brings afterwards. Used by src/net/leader_rows.c.
 */
#pragma once
#include <glib.h>

#include "core/scheduler.h"
#include "wire/store_messages.h"

/**
 * ft_row_apply_open:
 * @scheduler: the leader's scheduler
 * @row: a row below %FT_PREFIX_OPEN, an open job's or a cancellation's; that of a deletion is
 *   ignored, and so is any other
 * @accepted_since: whether the job was accepted while this controller leads, so that nothing of
 *   it can have run
 * @now: monotonic time, in microseconds
 * @wall_ms: wall time, in milliseconds since 1970; tells how long ago a cancellation was
 * @error: (nullable): set on failure to an %FT_WIRE_ERROR whose message names the job and the
 *   field
 *
 * Returns: %FALSE if the job's row is malformed: the job is not scheduled then.
 */
gboolean ft_row_apply_open (FtScheduler *scheduler, const FtRow *row, gboolean accepted_since, gint64 now,
                            gint64 wall_ms, GError **error);

/**
 * ft_row_apply:
 * @scheduler: the leader's scheduler
 * @row: a row below any prefix that a new leader reads: an open job's, a cancellation's, a chunk
 *   of finished tasks, of the machine registry or a drained machine's; any other is ignored
 * @now: monotonic time, in microseconds
 * @wall_ms: wall time, in milliseconds since 1970
 * @error: (nullable): set on failure to an %FT_WIRE_ERROR whose message names the row
 *
 * As long as the scheduler is being loaded, an open job may have run under an earlier leader; once
 * it is loaded, a job that it does not know was accepted since.
 *
 * Returns: %FALSE if the row is that of a job or of machines and malformed. The machines of it
 * that could be read have been taken all the same.
 */
gboolean ft_row_apply (FtScheduler *scheduler, const FtRow *row, gint64 now, gint64 wall_ms, GError **error);
