// The settings that operators may change at run time.
#include "scheduler_harness.hpp"

namespace {

TEST (Tuning, CombinationsThatWeakenARuleAreRefused)
{
  sim::World w (1);
  FtTuning t;
  ft_tuning_defaults (&t);
  EXPECT_EQ (ft_tuning_check (&t, &w.settings), nullptr);
  t.lease_s = 25;
  g_autofree char *cancellations = ft_tuning_check (&t, &w.settings);
  EXPECT_NE (cancellations, nullptr);
  t.lease_s = 2;
  t.sweep_s = 1;
  t.renew_fraction = 2;
  EXPECT_EQ (ft_tuning_check (&t, &w.settings), nullptr);
  t.sweep_s = 3;
  g_autofree char *sweep = ft_tuning_check (&t, &w.settings);
  EXPECT_NE (sweep, nullptr);
}

TEST (Tuning, DefaultsLieWithinTheirRanges)
{
  guint n;
  const FtTuningInfo *all = ft_tuning_table (&n);
  for (guint i = 0; i < n; i++) {
    EXPECT_GE (all[i].standard, all[i].least) << all[i].name;
    EXPECT_LE (all[i].standard, all[i].most) << all[i].name;
    EXPECT_EQ (ft_tuning_find (all[i].name), &all[i]);
  }
}

} // namespace
