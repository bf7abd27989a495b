/* A token bucket: how much of a service's limit this controller uses. A refusal for the rate
 * halves what it uses; that comes back by and by. */
#pragma once
#include <glib.h>

typedef struct {
  double rate;  /* in use now, a second */
  double full;  /* the most that is used */
  double burst; /* what may be used at once */
  double level;
  gint64 at;
} FtBudget;

void ft_budget_init (FtBudget *budget, double rate, double burst, gint64 now);
void ft_budget_set_rate (FtBudget *budget, double rate, gint64 now);
gboolean ft_budget_has (FtBudget *budget, double amount, gint64 now);
void ft_budget_take (FtBudget *budget, double amount);
/* The service has refused a request for its rate. */
void ft_budget_refused (FtBudget *budget, gint64 now);
