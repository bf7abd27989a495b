/* The leader's calls to the cloud: scaling out and in, and the list of rented machines with
 * which the scheduler reconciles what it believes to be rented. */
#pragma once
#include <glib.h>

#include "net/budget.h"

typedef struct _FtNode FtNode;

/**
 * FtLeaderCloud:
 * @budget: requests to the cloud; outlasts the terms
 * @calls_in_flight: of scaling out and in
 * @list_in_flight: a page of the list awaits its answer
 * @next_list_at: when the list is read next; monotonic, microseconds
 */
typedef struct {
  FtBudget budget;
  guint calls_in_flight;
  gboolean list_in_flight;
  gint64 next_list_at;
} FtLeaderCloud;

/**
 * ft_leader_cloud_init:
 * @now: monotonic time in microseconds
 *
 * Fills the budget, at the node's creation.
 */
void ft_leader_cloud_init (FtNode *node, gint64 now);

/**
 * ft_leader_cloud_begin:
 * @now: monotonic time in microseconds
 *
 * A term begins: the list is read as soon as the scheduler is loaded.
 */
void ft_leader_cloud_begin (FtNode *node, gint64 now);

/**
 * ft_leader_cloud_end:
 *
 * The term is over: answers that are still awaited will be dropped.
 */
void ft_leader_cloud_end (FtNode *node);

/**
 * ft_leader_cloud_scale:
 * @node: a controller that leads
 * @now: monotonic time in microseconds
 *
 * Makes the calls that the scheduler wants, FT_CLOUD_CALLS_MAX at a time and within the budget.
 */
void ft_leader_cloud_scale (FtNode *node, gint64 now);

/**
 * ft_leader_cloud_tick:
 * @node: a controller that leads
 * @now: monotonic time in microseconds
 *
 * Reads the list of rented machines if that is due.
 */
void ft_leader_cloud_tick (FtNode *node, gint64 now);
