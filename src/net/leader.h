/* What a controller does while it leads: it carries the scheduler's actions out against the
 * key-value store, the workers and the cloud, and takes their answers back to the scheduler.
 *
 * The leadership module begins and ends terms; the node's timer calls ft_leader_tick(), and
 * whatever gives the scheduler news calls ft_leader_pump(). The parts are in leader_*.c; each
 * owns its member of FtLeader. */
#pragma once
#include "core/scheduler.h"
#include "net/leader_batches.h"
#include "net/leader_cloud.h"
#include "net/leader_rows.h"
#include "net/leader_watch.h"

typedef struct _FtNode FtNode;

typedef struct {
  FtScheduler *scheduler;     /* owned; NULL: this controller does not lead */
  guint term;                 /* counts up whenever leading begins or ends: answers of an earlier term are dropped */
  gint64 led_since;           /* monotonic, microseconds */
  gint64 next_scheduler_tick; /* monotonic, microseconds */
  FtLeaderRows rows;
  FtLeaderWatch watch;
  FtLeaderBatches batches;
  FtLeaderCloud cloud;
  guint commands_in_flight;         /* leader_commands.c */
  guint dependency_reads_in_flight; /* leader_dependencies.c */
  /* Called when an answer shows that another controller leads; `reason` is static. Set once by
   * the leadership module, which is to end the term. */
  void (*superseded) (FtNode *node, const char *reason);
} FtLeader;

/* Begins a term after the lease was acquired: makes a scheduler and starts the recovery.
 * `revision`: that of the claim, at which the journal row was written too. */
void ft_leader_begin (FtNode *node, guint64 revision);
/* Ends the term, if there is one: frees the scheduler and lets later answers be dropped. */
void ft_leader_end (FtNode *node);
/* Places tasks and carries out whatever the scheduler wants; nothing while this controller does
 * not lead or its recovery is not complete. */
void ft_leader_pump (FtNode *node, gint64 now);
/* Periodic work: the watch, the cloud's list, the scheduler's own timers. Call it only while
 * leading. */
void ft_leader_tick (FtNode *node, gint64 now);
