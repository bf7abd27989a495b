// Which jobs are accepted when they are submitted.
#include "scheduler_harness.hpp"

extern "C" {
#include "core/admission.h"
}

namespace {

// Found on the schools deployment, where nothing ran: 0 means that there is no limit.
TEST (Admission, ATeamWithoutALimitIsRefusedNothingThatFits)
{
  sim::World world (1);
  world.remove_team_limits ();
  const char *why;
  g_autoptr (FtJobSpec) spec = new_job_spec ("req-1", 100);
  spec->kind = FT_KIND_GANG;
  EXPECT_EQ (ft_admission_check (&world.settings, world.catalog, spec, &why), FT_ADMIT);
  spec->gpus = 1; // no machine has one
  EXPECT_EQ (ft_admission_check (&world.settings, world.catalog, spec, &why), FT_ADMIT_NEVER);
}

TEST (Admission, TellsNeverFromNotYet)
{
  sim::World world (1);
  const char *why;
  g_autoptr (FtJobSpec) spec = new_job_spec ("req-1", 100);
  EXPECT_EQ (ft_admission_check (&world.settings, world.catalog, spec, &why), FT_ADMIT);
  EXPECT_EQ (ft_admission_check (&world.settings, nullptr, spec, &why), FT_ADMIT_NOT_YET);
  spec->kind = FT_KIND_GANG; // 400 CPUs together
  EXPECT_EQ (ft_admission_check (&world.settings, world.catalog, spec, &why), FT_ADMIT_NEVER);
  spec->kind = FT_KIND_ARRAY;
  spec->memory_gb = 65;
  EXPECT_EQ (ft_admission_check (&world.settings, world.catalog, spec, &why), FT_ADMIT_NEVER);
  spec->memory_gb = 1;
  spec->zone = g_strdup ("nowhere");
  EXPECT_EQ (ft_admission_check (&world.settings, world.catalog, spec, &why), FT_ADMIT_NEVER);
  g_free (spec->team);
  spec->team = g_strdup ("green");
  EXPECT_EQ (ft_admission_check (&world.settings, nullptr, spec, &why), FT_ADMIT_NEVER);
}

} // namespace
