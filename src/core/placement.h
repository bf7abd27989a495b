/* Which tasks go to which machines. */
#pragma once
#include "core/job.h"

typedef struct _FtScheduler FtScheduler;

typedef struct {
  gint64 pass;        /* number of the present pass */
  GPtrArray *order;   /* open jobs in order of placement, as of the last pass */
  GPtrArray *waiting; /* those of them that had tasks to place */
  gint64 next_pass, next_preempt;
  guint64 next_attempt;
} FtPlacement;

void ft_placement_pass (FtScheduler *scheduler);
/* What one machine has room for again, without a pass over all. */
void ft_placement_fill (FtScheduler *scheduler, FtMachine *machine);
void ft_placement_forget (FtScheduler *scheduler, FtJob *job);
