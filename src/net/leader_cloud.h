/* The leader's calls to the cloud: scaling out and in, and the list of rented machines with
 * which the scheduler reconciles what it believes to be rented. */
#pragma once
#include <glib.h>

#include "net/budget.h"

typedef struct _FtNode FtNode;

typedef struct {
  FtBudget budget;         /* requests to the cloud; outlasts the terms */
  guint calls_in_flight;   /* of scaling out and in */
  gboolean list_in_flight; /* a page of the list is awaited */
  gint64 next_list_at;     /* monotonic, microseconds */
} FtLeaderCloud;

/* At the node's creation. */
void ft_leader_cloud_init (FtNode *node, gint64 now);
/* A term begins: the list is read as soon as the scheduler is loaded. */
void ft_leader_cloud_begin (FtNode *node, gint64 now);
/* The term is over: answers that are still awaited will be dropped. */
void ft_leader_cloud_end (FtNode *node);
/* Makes the calls that the scheduler wants, within the budget. */
void ft_leader_cloud_scale (FtNode *node, gint64 now);
/* Reads the list of rented machines if that is due. */
void ft_leader_cloud_tick (FtNode *node, gint64 now);
