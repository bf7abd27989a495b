/* A token bucket: how much of a shared limit this controller may use. */
#pragma once
#include <glib.h>

typedef struct {
  double rate, burst; /* a second; at once */
  double level;
  gint64 at;
} FtBudget;

void ft_budget_init (FtBudget *budget, double rate, double burst, gint64 now);
/* Changes the rate, keeping what is saved up. */
void ft_budget_set_rate (FtBudget *budget, double rate, gint64 now);
gboolean ft_budget_has (FtBudget *budget, double amount, gint64 now);
void ft_budget_take (FtBudget *budget, double amount);
