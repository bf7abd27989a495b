// Tests of the check that decides at submission whether a job is accepted.
#include "scheduler_harness.hpp"

extern "C" {
#include "core/admission.h"
}

namespace {

// Guards against reading a team limit of 0, which means no limit, as a limit of zero CPUs, which refuses every job.
TEST (Admission, JobOfATeamWithoutALimitIsAdmittedIfAMachineTypeFits)
{
  sim::World world (1);
  world.remove_team_limits ();
  const char *why;
  g_autoptr (FtJobSpec) spec = new_job_spec ("req-1", 100);
  spec->kind = FT_KIND_GANG;
  EXPECT_EQ (ft_admission_check (&world.settings, world.catalog, spec, &why), FT_ADMIT);
  spec->gpus = 1; // no machine type has a GPU
  EXPECT_EQ (ft_admission_check (&world.settings, world.catalog, spec, &why), FT_ADMIT_NEVER);
}

// The catalog lists the machine types that the cloud offers; NULL stands for a catalog that has not been read yet.
TEST (Admission, RefusalIsPermanentForAnUnrunnableJobAndTemporaryWhileMachineTypesAreUnknown)
{
  sim::World world (1);
  const char *why;
  g_autoptr (FtJobSpec) spec = new_job_spec ("req-1", 100);
  EXPECT_EQ (ft_admission_check (&world.settings, world.catalog, spec, &why), FT_ADMIT);
  EXPECT_EQ (ft_admission_check (&world.settings, nullptr, spec, &why), FT_ADMIT_NOT_YET);
  spec->kind = FT_KIND_GANG; // all tasks of a gang run at once and need 400 CPUs together
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
