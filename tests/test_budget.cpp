// The rate limit on requests to the store and to the cloud.
#include "scheduler_harness.hpp"

extern "C" {
#include "net/budget.h"
}

namespace {

// Refused for the rate: half as much, and all of it again after a while.
TEST (Budget, ARefusalSlowsItDownForAWhile)
{
  FtBudget budget;
  ft_budget_init (&budget, 20, 20, 0);
  ft_budget_note_throttled (&budget, 0);
  EXPECT_FALSE (ft_budget_has (&budget, 1, 0));
  EXPECT_TRUE (ft_budget_has (&budget, 1, kS / 5));
  for (int i = 0; i < 50; i++)
    ft_budget_note_throttled (&budget, kS);
  EXPECT_TRUE (ft_budget_has (&budget, 1, 3 * kS)) << "never to a standstill";
  ft_budget_has (&budget, 1, 60 * kS);
  EXPECT_DOUBLE_EQ (budget.rate, 20);
}

TEST (Budget, KeepsItsRate)
{
  FtBudget budget;
  ft_budget_init (&budget, 10, 10, 0);
  guint passed = 0;
  for (gint64 now = 0; now < 10 * kS; now += kS / 100)
    if (ft_budget_has (&budget, 1, now)) {
      ft_budget_take (&budget, 1);
      passed++;
    }
  EXPECT_LE (passed, 110u);
  EXPECT_GE (passed, 105u);
}

} // namespace
