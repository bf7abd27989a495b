/* The term of a leader, as far as all parts of the leader (leader_*.c) share it.
 *
 * Owned by leader.c, which alone changes it; the other parts and their requests borrow it for the
 * controller's life. Private to the leader_*.c files. */
#pragma once
#include "core/scheduler.h"
#include "net/node.h"

/**
 * FtLeaderSuperseded:
 * @reason: static text for the log line
 * @data: what was passed with the callback
 *
 * An answer has shown that another controller leads.
 */
typedef void (*FtLeaderSuperseded) (const char *reason, gpointer data);

/**
 * FtLeaderTerm:
 * @node: borrowed
 * @scheduler: owned; %NULL while this controller does not lead
 * @number: counts up whenever leading begins or ends, so that answers of an earlier term are dropped
 * @led_since: when the term began; monotonic, microseconds
 * @progress: carries out the scheduler's next actions; called when an answer gave it news
 * @progress_data: for @progress
 * @superseded: ends the term
 * @superseded_data: for @superseded
 *
 * The present term, or that none is.
 */
typedef struct {
  FtNode *node;
  FtScheduler *scheduler;
  guint number;
  gint64 led_since;
  void (*progress) (gpointer data);
  gpointer progress_data;
  FtLeaderSuperseded superseded;
  gpointer superseded_data;
} FtLeaderTerm;
