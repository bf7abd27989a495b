/* A token bucket: how much of a service's rate limit this controller uses. A refusal for the
 * rate halves what it uses, which then recovers gradually. The store client and the leader's
 * cloud calls own one each. All times are monotonic, in microseconds. */
#pragma once
#include <glib.h>

/**
 * FtBudget:
 * @rate: units that are added in a second now
 * @full: the most that are added in a second
 * @burst: the most that can be saved up
 * @level: units that can be used now; below 0 they are used in advance
 * @at: when @level was computed
 *
 * Held by value by its owner; changed only by the functions below.
 */
typedef struct {
  double rate;
  double full;
  double burst;
  double level;
  gint64 at;
} FtBudget;

/**
 * ft_budget_init:
 * @budget: the budget, not initialized
 * @rate: units in a second
 * @burst: units that can be saved up; all of them are there at the beginning
 * @now: monotonic time
 */
void ft_budget_init (FtBudget *budget, double rate, double burst, gint64 now);

/**
 * ft_budget_set_rate:
 * @rate: units in a second from now on, and what can be saved up
 * @now: monotonic time
 */
void ft_budget_set_rate (FtBudget *budget, double rate, gint64 now);

/**
 * ft_budget_has:
 * @amount: units that are wanted
 * @now: monotonic time
 *
 * Returns: whether @amount can be used now. If it exceeds the burst, a full budget suffices.
 */
gboolean ft_budget_has (FtBudget *budget, double amount, gint64 now);

/**
 * ft_budget_has_share:
 * @share: of what can be saved up, from 0 to 1
 * @now: monotonic time
 *
 * Returns: whether that much can be used now
 */
gboolean ft_budget_has_share (FtBudget *budget, double share, gint64 now);

/**
 * ft_budget_seconds_for:
 * @amount: units that are wanted
 *
 * Returns: seconds until @amount can be used, as of the last look at the budget; below 0 if it can
 */
double ft_budget_seconds_for (const FtBudget *budget, double amount);

/**
 * ft_budget_take:
 * @amount: units that are used, also if the budget does not have them
 */
void ft_budget_take (FtBudget *budget, double amount);

/**
 * ft_budget_note_throttled:
 * @now: monotonic time
 *
 * To be called when the service has refused a request for its rate limit.
 */
void ft_budget_note_throttled (FtBudget *budget, gint64 now);
