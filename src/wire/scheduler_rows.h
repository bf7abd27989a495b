/**
 * SECTION: scheduler_rows
 * @title: Rows for the scheduler
 *
 * Decodes rows of the key-value store and passes their contents to the leader's scheduler: the rows
 * that the leader reads during recovery, and the changed rows that its watch returns afterwards. Used
 * by src/net/leader_rows.c.
 */
#pragma once
#include <glib.h>

#include "core/scheduler.h"
#include "wire/store_messages.h"

/**
 * ft_row_apply_open:
 * @scheduler: the leader's scheduler
 * @row: the open row or the cancellation row of a job; a deleted row and a row with another key are
 *   ignored
 * @accepted_since: whether the job was accepted during this leadership, so that none of its tasks can
 *   have run under an earlier leader
 * @now: current monotonic time, in microseconds
 * @wall_ms: current wall time, in milliseconds since 1970; the age of a cancellation is computed
 *   from it
 * @error: (nullable): set on failure to an %FT_WIRE_ERROR whose message names the job and the
 *   field
 *
 * Passes an open job, or the cancellation of a job, to the scheduler.
 *
 * Returns: %TRUE on success; %FALSE if the open row is malformed, in which case the job is not
 * scheduled.
 */
gboolean ft_row_apply_open (FtScheduler *scheduler, const FtRow *row, gboolean accepted_since, gint64 now,
                            gint64 wall_ms, GError **error);

/**
 * ft_row_apply:
 * @scheduler: the leader's scheduler
 * @row: a row that a new leader reads: the open row of a job, a cancellation row, a chunk row, a row
 *   of the machine registry or the row of a drained machine; any other row is ignored
 * @now: current monotonic time, in microseconds
 * @wall_ms: current wall time, in milliseconds since 1970
 * @error: (nullable): set on failure to an %FT_WIRE_ERROR whose message names the row
 *
 * Passes the content of the row to the scheduler. While the scheduler is being loaded, an
 * open job may have run under an earlier leader. After that, a job that the scheduler does not have
 * yet was accepted during this leadership.
 *
 * Returns: %TRUE on success; %FALSE if the open row of a job or a registry row is malformed. The valid
 * machines of a partly malformed registry row are loaded.
 */
gboolean ft_row_apply (FtScheduler *scheduler, const FtRow *row, gint64 now, gint64 wall_ms, GError **error);
