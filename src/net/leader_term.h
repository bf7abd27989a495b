/* The term of a leader, which all modules of the leader (leader_*.c) share.
 *
 * leader.c owns it and is the only module that changes it; the other modules and their requests borrow
 * it for the controller's life. Private to the leader_*.c files. */
#pragma once
#include "core/scheduler.h"
#include "net/node.h"

/**
 * FtLeaderSuperseded:
 * @reason: static text for the log line: the evidence that another controller leads
 * @data: the pointer that was passed with the callback
 *
 * Called when an answer shows that another controller leads.
 */
typedef void (*FtLeaderSuperseded) (const char *reason, gpointer data);

/**
 * FtLeaderTerm:
 * @node: borrowed
 * @scheduler: owned; %NULL while this controller does not lead
 * @number: incremented whenever a term begins or ends, so that an answer to a request of an earlier
 *     term can be dropped
 * @began_at: when the term began, or the last one if this controller does not lead; monotonic,
 *     microseconds
 * @progress: carries out the scheduler's next actions; called when an answer has changed its state
 * @progress_data: data of @progress
 * @superseded: ends the term; called when an answer shows that another controller leads
 * @superseded_data: data of @superseded
 * @retries: requests that are sent again after a backoff pause; private to leader_request.c
 *
 * The current term of this controller. While the controller does not lead, there is no scheduler.
 */
typedef struct {
  FtNode *node;
  FtScheduler *scheduler;
  guint number;
  gint64 began_at;
  void (*progress) (gpointer data);
  gpointer progress_data;
  FtLeaderSuperseded superseded;
  gpointer superseded_data;
  GQueue retries;
} FtLeaderTerm;
