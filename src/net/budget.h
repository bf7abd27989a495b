/* A token bucket that limits how much of a service's rate limit this controller uses. When the service
 * refuses a request for its rate limit, the budget's rate is halved and then recovers gradually. The
 * store client has one budget for requests and one for changes; the leader's cloud calls have one.
 * All times are monotonic, in microseconds. */
#pragma once
#include <glib.h>

/**
 * FtBudget:
 * @rate: units that are added per second at present
 * @max_rate: the most units that are added per second
 * @burst: the most units that can accumulate
 * @level: units that can be used now; negative if more units were used than were available
 * @updated_at: when @level and @rate were last computed
 *
 * Held by value by its owner; changed only by the functions below.
 */
typedef struct {
  double rate;
  double max_rate;
  double burst;
  double level;
  gint64 updated_at;
} FtBudget;

/**
 * ft_budget_init:
 * @budget: the budget, not initialized
 * @rate: units per second
 * @burst: the most units that can accumulate; the budget has all of them at the beginning
 * @now: monotonic time
 */
void ft_budget_init (FtBudget *budget, double rate, double burst, gint64 now);

/**
 * ft_budget_set_rate:
 * @rate: units per second from now on, and also the most units that can accumulate
 * @now: monotonic time
 */
void ft_budget_set_rate (FtBudget *budget, double rate, gint64 now);

/**
 * ft_budget_has:
 * @amount: units needed
 * @now: monotonic time
 *
 * Returns: whether @amount can be used now. If it exceeds the burst, a full budget suffices.
 */
gboolean ft_budget_has (FtBudget *budget, double amount, gint64 now);

/**
 * ft_budget_has_share:
 * @share: share of the burst, from 0 to 1
 * @now: monotonic time
 *
 * Returns: whether that share of the burst can be used now
 */
gboolean ft_budget_has_share (FtBudget *budget, double share, gint64 now);

/**
 * ft_budget_seconds_for:
 * @amount: units needed
 *
 * Returns: seconds from the last update of the budget until it has @amount; negative or 0 if it had
 *     that already
 */
double ft_budget_seconds_for (const FtBudget *budget, double amount);

/**
 * ft_budget_take:
 * @amount: units to use; the budget may have fewer, and its level then becomes negative
 */
void ft_budget_take (FtBudget *budget, double amount);

/**
 * ft_budget_note_throttled:
 * @now: monotonic time
 *
 * Halves the rate. Call it when the service has refused a request for its rate limit.
 */
void ft_budget_note_throttled (FtBudget *budget, gint64 now);
