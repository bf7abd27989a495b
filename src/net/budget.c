#include "net/budget.h"

#include "core/constants.h"

void
ft_budget_init (FtBudget *budget, double rate, double burst, gint64 now)
{
  *budget = (FtBudget){ .rate = rate, .burst = burst, .level = burst, .at = now };
}

static void
fill (FtBudget *budget, gint64 now)
{
  budget->level = MIN (budget->burst, budget->level + budget->rate * (double) (now - budget->at) / FT_SECOND);
  budget->at = now;
}

void
ft_budget_set_rate (FtBudget *budget, double rate, gint64 now)
{
  fill (budget, now);
  budget->rate = rate;
  budget->burst = rate;
}

/* A single demand larger than the burst passes once the bucket is full. */
gboolean
ft_budget_has (FtBudget *budget, double amount, gint64 now)
{
  fill (budget, now);
  return budget->level >= MIN (amount, budget->burst);
}

void
ft_budget_take (FtBudget *budget, double amount)
{
  budget->level -= amount;
}
