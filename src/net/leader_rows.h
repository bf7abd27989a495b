/* Passes rows of the key-value store to the leader's scheduler: those that the recovery reads
 * (leader_recovery.c) and those that the watch returns (leader_watch.c). */
#pragma once
#include "net/leader_term.h"
#include "wire/store.h"

/**
 * FtLeaderRows:
 *
 * Passes rows to the scheduler of the current term, and records up to which revision of the store the
 * open jobs' rows are known.
 */
typedef struct _FtLeaderRows FtLeaderRows;

/**
 * ft_leader_rows_new:
 * @term: borrowed for the life of the object
 *
 * Returns: (transfer full): an object that knows no rows yet
 */
FtLeaderRows *ft_leader_rows_new (FtLeaderTerm *term);

/**
 * ft_leader_rows_free:
 * @rows: (nullable) (transfer full): no answer to a request that uses it may arrive any more
 */
void ft_leader_rows_free (FtLeaderRows *rows);

/**
 * ft_leader_rows_term:
 *
 * Returns: (transfer none): the term whose scheduler receives the rows
 */
FtLeaderTerm *ft_leader_rows_term (const FtLeaderRows *rows);

/**
 * ft_leader_rows_known_revision:
 *
 * Returns: the revision of the key-value store up to which the open jobs' rows are known; the watch
 *     continues after it
 */
guint64 ft_leader_rows_known_revision (const FtLeaderRows *rows);

/**
 * ft_leader_rows_set_known_revision:
 * @revision: revision of the key-value store up to which the open jobs' rows are known
 */
void ft_leader_rows_set_known_revision (FtLeaderRows *rows, guint64 revision);

/**
 * ft_leader_rows_set_read_started_at:
 * @at: when the last complete read of the open jobs' rows was started; monotonic, microseconds
 */
void ft_leader_rows_set_read_started_at (FtLeaderRows *rows, gint64 at);

/**
 * ft_leader_rows_note_read_complete:
 *
 * Records that the scheduler knows every cancellation that was committed before the last complete
 * read of the open jobs' rows was started.
 */
void ft_leader_rows_note_read_complete (FtLeaderRows *rows);

/**
 * ft_leader_rows_apply_open:
 * @row: a row under FT_PREFIX_OPEN, of an open job or of a cancellation; a deleted row is ignored
 * @accepted_since: whether the job was accepted while this controller leads, so that none of its
 *     tasks can have run
 *
 * Passes the row to the scheduler. A job's row that cannot be read is logged and skipped.
 */
void ft_leader_rows_apply_open (FtLeaderRows *rows, const FtRow *row, gboolean accepted_since);

/**
 * ft_leader_rows_apply:
 * @row: a row under any prefix that the recovery reads
 *
 * Passes the row to the scheduler. A row that cannot be read is logged and skipped; of a registry row,
 * only the machines that cannot be read are skipped.
 */
void ft_leader_rows_apply (FtLeaderRows *rows, const FtRow *row);

/**
 * ft_leader_rows_cancellations_known:
 * @at: monotonic time in microseconds
 *
 * Records that the scheduler knows every cancellation that was committed before @at.
 */
void ft_leader_rows_cancellations_known (FtLeaderRows *rows, gint64 at);
