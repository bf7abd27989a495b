// Tests of the budget that limits the rate of requests to the store and to the cloud.
#include "scheduler_harness.hpp"

extern "C" {
#include "net/budget.h"
}

namespace {

// Each request that the service refuses for its rate limit halves the budget's rate; without further refusals the rate
// recovers in full.
TEST (Budget, ThrottledRequestReducesTheRateTemporarily)
{
  FtBudget budget;
  ft_budget_init (&budget, 20, 20, 0);
  ft_budget_note_throttled (&budget, 0);
  EXPECT_FALSE (ft_budget_has (&budget, 1, 0));
  EXPECT_TRUE (ft_budget_has (&budget, 1, kS / 5));
  for (int i = 0; i < 50; i++)
    ft_budget_note_throttled (&budget, kS);
  EXPECT_TRUE (ft_budget_has (&budget, 1, 3 * kS)) << "repeated refusals must not stop all requests";
  ft_budget_has (&budget, 1, 60 * kS);
  EXPECT_DOUBLE_EQ (budget.rate, 20);
}

TEST (Budget, AllowsItsRatePlusOneBurst)
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
