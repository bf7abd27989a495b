#include "net/budget.h"

#include "core/constants.h"

void
ft_budget_init (FtBudget *budget, double rate, double burst, gint64 now)
{
  *budget = (FtBudget){ .rate = rate, .full = rate, .burst = burst, .level = burst, .at = now };
}

static void
fill (FtBudget *budget, gint64 now)
{
  double seconds = (double) (now - budget->at) / FT_SECOND;
  budget->level = MIN (budget->burst, budget->level + budget->rate * seconds);
  budget->rate = MIN (budget->full, budget->rate + budget->full * FT_BUDGET_RECOVERY * seconds);
  budget->at = now;
}

void
ft_budget_set_rate (FtBudget *budget, double rate, gint64 now)
{
  fill (budget, now);
  budget->rate = budget->full = budget->burst = rate;
}

void
ft_budget_note_throttled (FtBudget *budget, gint64 now)
{
  fill (budget, now);
  budget->level = MIN (budget->level, 0);
  budget->rate = MAX (budget->rate / 2, budget->full * FT_BUDGET_MIN);
}

/* An amount larger than the burst would never be there. */
gboolean
ft_budget_has (FtBudget *budget, double amount, gint64 now)
{
  fill (budget, now);
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
