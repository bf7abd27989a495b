// Job specifications for tests of the core.
#pragma once
#include <vector>

extern "C" {
#include "core/constants.h"
#include "core/types.h"
}

// One second in the core's unit of time, microseconds.
constexpr gint64 kS = FT_SECOND;

// A job whose tasks have 4 CPUs each. All are below its dispatch watermark, that is, each may have been sent to a
// machine. The caller owns the result.
inline FtJobSpec *
new_job_spec (const char *ref, guint tasks)
{
  FtJobSpec *spec = g_new0 (FtJobSpec, 1);
  spec->ref = g_strdup (ref);
  spec->job_class = g_strdup ("c");
  spec->team = g_strdup ("red");
  spec->image = g_strdup ("img");
  spec->tasks = tasks;
  spec->cpus = 4;
  spec->memory_gb = 1;
  spec->spot = TRUE;
  spec->dispatch_watermark = tasks;
  return spec;
}

// A job that has dependencies and whose own tasks were never sent to a machine. The caller owns the result.
inline FtJobSpec *
new_dependent_spec (const char *ref, std::vector<const char *> dependencies, guint tasks = 1)
{
  FtJobSpec *spec = new_job_spec (ref, tasks);
  dependencies.push_back (nullptr);
  spec->dependencies = g_strdupv ((char **) dependencies.data ());
  spec->dispatch_watermark = 0;
  spec->estimate_s = 10;
  return spec;
}
