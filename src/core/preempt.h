/* Preemption: stops work for a job that found no room. */
#pragma once
#include "core/job.h"

typedef struct _FtScheduler FtScheduler;

typedef struct {
  GPtrArray *victims;  /* scratch of a pass: FtAttempt that may be stopped, youngest first; NULL: not made */
  guint stops_pending; /* with `victims`: stops under way */
} FtPreemption;

gboolean ft_preempt_for (FtScheduler *scheduler, FtJob *job);
