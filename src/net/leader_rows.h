/* Takes rows of the key-value store into the leader's scheduler, both those that the recovery
 * reads (leader_recovery.c) and those that the watch brings (leader_watch.c). */
#pragma once
#include "net/leader_term.h"
#include "wire/store.h"

/**
 * FtLeaderRows:
 *
 * How far the leader's knowledge of the open jobs' rows reaches.
 */
typedef struct _FtLeaderRows FtLeaderRows;

/**
 * ft_leader_rows_new:
 * @term: borrowed for life
 *
 * Returns: (transfer full): no row is known
 */
FtLeaderRows *ft_leader_rows_new (FtLeaderTerm *term);

/**
 * ft_leader_rows_free:
 * @rows: (nullable) (transfer full): no answer may come any more
 */
void ft_leader_rows_free (FtLeaderRows *rows);

/**
 * ft_leader_rows_term:
 *
 * Returns: (transfer none): the term whose scheduler takes the rows
 */
FtLeaderTerm *ft_leader_rows_term (const FtLeaderRows *rows);

/**
 * ft_leader_rows_known_revision:
 *
 * Returns: the store's revision up to which the open jobs' rows are known: the watch goes on from
 *     there
 */
guint64 ft_leader_rows_known_revision (const FtLeaderRows *rows);

/**
 * ft_leader_rows_set_known_revision:
 * @revision: of the key-value store
 */
void ft_leader_rows_set_known_revision (FtLeaderRows *rows, guint64 revision);

/**
 * ft_leader_rows_set_read_started_at:
 * @at: when the last reading of all open jobs' rows was begun; monotonic, microseconds
 */
void ft_leader_rows_set_read_started_at (FtLeaderRows *rows, gint64 at);

/**
 * ft_leader_rows_note_read_complete:
 *
 * The scheduler knows every cancellation that was committed before the last reading was begun.
 */
void ft_leader_rows_note_read_complete (FtLeaderRows *rows);

/**
 * ft_leader_rows_apply_open:
 * @row: a row under FT_PREFIX_OPEN; one that was deleted is ignored
 * @accepted_since: whether the job was accepted while this controller leads, so that nothing of
 *     it can have run
 */
void ft_leader_rows_apply_open (FtLeaderRows *rows, const FtRow *row, gboolean accepted_since);

/**
 * ft_leader_rows_apply:
 * @row: a row under any prefix that a recovery reads
 */
void ft_leader_rows_apply (FtLeaderRows *rows, const FtRow *row);

/**
 * ft_leader_rows_cancellations_known:
 * @at: monotonic time in microseconds
 *
 * Every cancellation that was committed before @at has been taken in.
 */
void ft_leader_rows_cancellations_known (FtLeaderRows *rows, gint64 at);
