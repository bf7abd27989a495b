// The settings that operators may change at run time.
#include "scheduler_harness.hpp"

namespace {

TEST (Tuning, UnsafeCombinationsOfSettingsAreRefused)
{
  sim::World world (1);
  FtTuning tuning;
  ft_tuning_defaults (&tuning);
  EXPECT_EQ (ft_tuning_check (&tuning, &world.settings), nullptr);
  tuning.lease_s = 25;
  g_autofree char *lease_error = ft_tuning_check (&tuning, &world.settings);
  EXPECT_NE (lease_error, nullptr);
  tuning.lease_s = 2;
  tuning.sweep_s = 1;
  tuning.renewals_per_lease = 2;
  EXPECT_EQ (ft_tuning_check (&tuning, &world.settings), nullptr);
  tuning.sweep_s = 3;
  g_autofree char *sweep_error = ft_tuning_check (&tuning, &world.settings);
  EXPECT_NE (sweep_error, nullptr);
}

TEST (Tuning, DefaultsLieWithinTheirRanges)
{
  guint count;
  const FtTuningInfo *all = ft_tuning_table (&count);
  for (guint i = 0; i < count; i++) {
    EXPECT_GE (all[i].default_value, all[i].min_value) << all[i].name;
    EXPECT_LE (all[i].default_value, all[i].max_value) << all[i].name;
    EXPECT_EQ (ft_tuning_find (all[i].name), &all[i]);
  }
}

} // namespace
