/* Takes rows of the key-value store into the leader's scheduler, both those that the recovery
 * reads (leader_recovery.c) and those that the watch brings (leader_watch.c). */
#pragma once
#include "wire/store.h"

typedef struct _FtNode FtNode;

/* How far the leader's knowledge of the open jobs' rows reaches. */
typedef struct {
  guint64 known_revision;       /* the store's revision up to which they are known: the watch goes on from there */
  gint64 cancellations_read_at; /* when the last reading of all of them was begun; monotonic, microseconds */
} FtLeaderRows;

/* Takes in a row under FT_PREFIX_OPEN. `accepted_since`: the job was accepted while this
 * controller leads, so nothing of it can have run. A row that is deleted is ignored. */
void ft_leader_take_open_row (FtNode *node, const FtRow *row, gboolean accepted_since);
/* Takes in a row of any prefix that a recovery reads. */
void ft_leader_take_row (FtNode *node, const FtRow *row);
/* Every cancellation that was committed before `at` (monotonic, microseconds) has been taken in. */
void ft_leader_cancellations_known (FtNode *node, gint64 at);
