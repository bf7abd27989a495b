// Which jobs are accepted when they are submitted.
#include "scheduler_harness.hpp"

extern "C" {
#include "core/admission.h"
}

namespace {

// Found on the schools deployment, where nothing ran: 0 means that there is no limit.
TEST (Admission, ATeamWithoutALimitIsRefusedNothingThatFits)
{
  sim::World w (1);
  w.unlimit ();
  const char *why;
  g_autoptr (FtJobSpec) s = spec ("req-1", 100);
  s->kind = FT_KIND_GANG;
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT);
  s->gpus = 1; // no machine has one
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT_NEVER);
}

TEST (Admission, TellsNeverFromNotYet)
{
  sim::World w (1);
  const char *why;
  g_autoptr (FtJobSpec) s = spec ("req-1", 100);
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT);
  EXPECT_EQ (ft_admission_check (&w.settings, nullptr, s, &why), FT_ADMIT_NOT_YET);
  s->kind = FT_KIND_GANG; // 400 CPUs together
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT_NEVER);
  s->kind = FT_KIND_ARRAY;
  s->memory_gb = 65;
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT_NEVER);
  s->memory_gb = 1;
  s->zone = g_strdup ("nowhere");
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT_NEVER);
  g_free (s->team);
  s->team = g_strdup ("green");
  EXPECT_EQ (ft_admission_check (&w.settings, nullptr, s, &why), FT_ADMIT_NEVER);
}

} // namespace
