/* The search of one placement pass for a machine that has room for a task.
 *
 * A search holds the machines that had room when the pass began, and samples them from a random position on. It also
 * remembers the specs of jobs that found no room on any machine, so that the pass does not search for them again. The
 * search only finds a machine: the placement (placement.c) chooses the tasks and places them. */
#pragma once
#include "core/constants.h"
#include "core/context.h"
#include "core/job.h"
#include "core/machine_table.h"
#include "core/spot_risk.h"

/* The zones of a job's placed tasks, on which the constraints `one_zone` and `spread` depend. */
typedef struct {
  const char *zone;       /* zone of one of the placed tasks, borrowed; NULL: no task is placed */
  GHashTable *zone_count; /* zone -> number of placed tasks, owned */
} FtTaskZones;

typedef struct {
  FtCoreContext *context;                               /* borrowed */
  const FtSpotRisk *spot_risk;                          /* borrowed */
  GPtrArray *machines;                                  /* FtMachine with free CPUs and memory, borrowed elements */
  const FtJobSpec *no_room_specs[FT_NO_ROOM_SPECS_MAX]; /* specs that found no room, borrowed from open jobs */
  guint n_no_room_specs;
} FtPlacementSearch;

/* Initializes a search among the machines that are usable and have free CPUs and memory now. The pointers are borrowed
 * and must outlive the search. */
void ft_placement_search_init (FtPlacementSearch *search, FtCoreContext *context, const FtSpotRisk *spot_risk,
                               const FtMachineTable *machine_table);

/* Frees what the search owns. */
void ft_placement_search_clear (FtPlacementSearch *search);

/* Returns the best of the sampled machines that may take the task now, which is borrowed; NULL: no machine of the
 * search has room for the task. */
FtMachine *ft_placement_search_best (FtPlacementSearch *search, const FtJob *job, const FtTask *task,
                                     const FtTaskZones *zones);

/* Returns TRUE if the task is not to be placed on the machine because it failed there a short time ago. */
gboolean ft_placement_search_avoids (const FtCoreContext *context, const FtTask *task, const FtMachine *machine);

/* Finds the zones of the job's placed tasks; ft_task_zones_clear() frees them. The record stays empty if the job's
 * constraints do not depend on the zones. */
void ft_task_zones_find (FtTaskZones *zones, const FtJob *job);

/* Frees what the record owns. */
void ft_task_zones_clear (FtTaskZones *zones);
