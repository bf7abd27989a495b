/* The leader's calls to the cloud: scaling out, scaling in, and reading the list of rented machines.
 * The scheduler compares that list with the machines that it assumes to be rented. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeaderCloud FtLeaderCloud;

/**
 * ft_leader_cloud_new:
 * @term: borrowed for the life of the object
 * @now: monotonic time in microseconds
 *
 * The budget of requests to the cloud is full at first, and is kept from one term to the next.
 *
 * Returns: (transfer full): the cloud calls of a controller that does not lead
 */
FtLeaderCloud *ft_leader_cloud_new (FtLeaderTerm *term, gint64 now);

/**
 * ft_leader_cloud_free:
 * @cloud: (nullable) (transfer full): no answer to a call may arrive any more
 */
void ft_leader_cloud_free (FtLeaderCloud *cloud);

/**
 * ft_leader_cloud_begin:
 * @now: monotonic time in microseconds
 *
 * Called at the beginning of a term. The list is read as soon as the scheduler is loaded.
 */
void ft_leader_cloud_begin (FtLeaderCloud *cloud, gint64 now);

/**
 * ft_leader_cloud_end:
 *
 * Resets the calls at the end of a term. Answers to calls in flight will be dropped.
 */
void ft_leader_cloud_end (FtLeaderCloud *cloud);

/**
 * ft_leader_cloud_scale:
 * @now: monotonic time in microseconds
 *
 * Sends the scheduler's pending scale-out and scale-in calls, as far as the budget allows and with at
 * most FT_CLOUD_CALLS_MAX in flight. It must only be called while this controller leads.
 */
void ft_leader_cloud_scale (FtLeaderCloud *cloud, gint64 now);

/**
 * ft_leader_cloud_tick:
 * @now: monotonic time in microseconds
 *
 * Reads the list of rented machines if it is due and the budget allows it. It must only be called
 * while this controller leads.
 */
void ft_leader_cloud_tick (FtLeaderCloud *cloud, gint64 now);
