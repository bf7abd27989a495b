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

/**
 * FtLeader:
 * @scheduler: owned; NULL: this controller does not lead
 * @term: counts up whenever leading begins or ends, so that answers of an earlier term are dropped
 * @led_since: monotonic, microseconds
 * @next_scheduler_tick: monotonic, microseconds
 * @rows: of leader_rows.c
 * @watch: of leader_watch.c
 * @batches: of leader_batches.c
 * @cloud: of leader_cloud.c
 * @commands_in_flight: of leader_commands.c
 * @dependency_reads_in_flight: of leader_dependencies.c
 * @superseded: called when an answer shows that another controller leads, with the reason (static
 *     text) for the log line; set once by the leadership module, which ends the term
 *
 * Held by the node. Other modules read @scheduler and @led_since.
 */
typedef struct {
  FtScheduler *scheduler;
  guint term;
  gint64 led_since;
  gint64 next_scheduler_tick;
  FtLeaderRows rows;
  FtLeaderWatch watch;
  FtLeaderBatches batches;
  FtLeaderCloud cloud;
  guint commands_in_flight;
  guint dependency_reads_in_flight;
  void (*superseded) (FtNode *node, const char *reason);
} FtLeader;

/**
 * ft_leader_begin:
 * @revision: that of the claim, at which the journal row was written too
 *
 * Begins a term after the lease was acquired: makes a scheduler and starts the recovery.
 */
void ft_leader_begin (FtNode *node, guint64 revision);

/**
 * ft_leader_end:
 *
 * Ends the term, if there is one: frees the scheduler and lets later answers be dropped.
 */
void ft_leader_end (FtNode *node);

/**
 * ft_leader_pump:
 * @now: monotonic time in microseconds
 *
 * Places tasks and carries out whatever the scheduler wants; nothing while this controller does
 * not lead or its recovery is not complete.
 */
void ft_leader_pump (FtNode *node, gint64 now);

/**
 * ft_leader_tick:
 * @node: a controller that leads
 * @now: monotonic time in microseconds
 *
 * Periodic work: the watch, the cloud's list, the scheduler's own timers.
 */
void ft_leader_tick (FtNode *node, gint64 now);
