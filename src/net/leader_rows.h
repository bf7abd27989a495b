/* Takes rows of the key-value store into the leader's scheduler, both those that the recovery
 * reads (leader_recovery.c) and those that the watch brings (leader_watch.c). */
#pragma once
#include "wire/store.h"

typedef struct _FtNode FtNode;

/**
 * FtLeaderRows:
 * @known_revision: the store's revision up to which the open jobs' rows are known: the watch goes
 *     on from there
 * @cancellations_read_at: when the last reading of all of them was begun; monotonic, microseconds
 *
 * How far the leader's knowledge of the open jobs' rows reaches.
 */
typedef struct {
  guint64 known_revision;
  gint64 cancellations_read_at;
} FtLeaderRows;

/**
 * ft_leader_take_open_row:
 * @row: a row under FT_PREFIX_OPEN; one that was deleted is ignored
 * @accepted_since: whether the job was accepted while this controller leads, so that nothing of
 *     it can have run
 */
void ft_leader_take_open_row (FtNode *node, const FtRow *row, gboolean accepted_since);

/**
 * ft_leader_take_row:
 * @row: a row under any prefix that a recovery reads
 */
void ft_leader_take_row (FtNode *node, const FtRow *row);

/**
 * ft_leader_cancellations_known:
 * @at: monotonic time in microseconds
 *
 * Every cancellation that was committed before @at has been taken in.
 */
void ft_leader_cancellations_known (FtNode *node, gint64 at);
