#include "net/budget.h"

#include "core/constants.h"

void
ft_budget_init (FtBudget *budget, double rate, double burst, gint64 now)
{
  *budget = (FtBudget){ .rate = rate, .max_rate = rate, .burst = burst, .level = burst, .updated_at = now };
}

/* Updates the level and the recovering rate to `now`. */
static void
refill (FtBudget *budget, gint64 now)
{
  double seconds = (double) (now - budget->updated_at) / FT_SECOND;
  budget->level = MIN (budget->burst, budget->level + budget->rate * seconds);
  budget->rate = MIN (budget->max_rate, budget->rate + budget->max_rate * FT_BUDGET_RECOVERY * seconds);
  budget->updated_at = now;
}

void
ft_budget_set_rate (FtBudget *budget, double rate, gint64 now)
{
  refill (budget, now);
  budget->rate = budget->max_rate = budget->burst = rate;
}

void
ft_budget_note_throttled (FtBudget *budget, gint64 now)
{
  refill (budget, now);
  budget->level = MIN (budget->level, 0);
  budget->rate = MAX (budget->rate / 2, budget->max_rate * FT_BUDGET_MIN);
}

/* Caps the amount at the burst: the level never exceeds the burst, so a larger amount would never become
 * available. */
gboolean
ft_budget_has (FtBudget *budget, double amount, gint64 now)
{
  refill (budget, now);
  return budget->level >= MIN (amount, budget->burst);
}

gboolean
ft_budget_has_share (FtBudget *budget, double share, gint64 now)
{
  return ft_budget_has (budget, budget->burst * share, now);
}

double
ft_budget_seconds_for (const FtBudget *budget, double amount)
{
  return (amount - budget->level) / budget->rate;
}

void
ft_budget_take (FtBudget *budget, double amount)
{
  budget->level -= amount;
}
