/* The leader's calls to the cloud: scaling out and in, and the list of rented machines with
 * which the scheduler reconciles what it believes to be rented. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeaderCloud FtLeaderCloud;

/**
 * ft_leader_cloud_new:
 * @term: borrowed for life
 * @now: monotonic time in microseconds
 *
 * The budget of requests, which outlasts the terms, is full.
 *
 * Returns: (transfer full): the cloud calls of a controller that does not lead
 */
FtLeaderCloud *ft_leader_cloud_new (FtLeaderTerm *term, gint64 now);

/**
 * ft_leader_cloud_free:
 * @cloud: (nullable) (transfer full): no answer may come any more
 */
void ft_leader_cloud_free (FtLeaderCloud *cloud);

/**
 * ft_leader_cloud_begin:
 * @now: monotonic time in microseconds
 *
 * A term begins: the list is read as soon as the scheduler is loaded.
 */
void ft_leader_cloud_begin (FtLeaderCloud *cloud, gint64 now);

/**
 * ft_leader_cloud_end:
 *
 * The term is over: answers that are still awaited will be dropped.
 */
void ft_leader_cloud_end (FtLeaderCloud *cloud);

/**
 * ft_leader_cloud_scale:
 * @now: monotonic time in microseconds
 *
 * Makes the calls that the scheduler wants, FT_CLOUD_CALLS_MAX at a time and within the budget. To be called
 * while this controller leads.
 */
void ft_leader_cloud_scale (FtLeaderCloud *cloud, gint64 now);

/**
 * ft_leader_cloud_tick:
 * @now: monotonic time in microseconds
 *
 * Reads the list of rented machines if that is due. To be called while this controller leads.
 */
void ft_leader_cloud_tick (FtLeaderCloud *cloud, gint64 now);
