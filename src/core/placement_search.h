/* The search of one placement pass for a machine that has room for a task.
 *
 * A search knows the machines that had room when the pass began, samples them from a random place on, and remembers
 * which kinds of tasks found no room anywhere, so that the pass does not look for them again. It decides nothing else:
 * the placement (placement.c) chooses the tasks and places them. */
#pragma once
#include "core/constants.h"
#include "core/context.h"
#include "core/job.h"
#include "core/machine_table.h"
#include "core/spot_risk.h"

/* Where a job's tasks are now, which `one_zone` and `spread` depend on. */
typedef struct {
  const char *zone;       /* zone of a live task, borrowed; NULL if none */
  GHashTable *zone_count; /* zone -> live tasks, owned */
} FtTaskZones;

typedef struct {
  FtCoreContext *context;                      /* borrowed */
  const FtSpotRisk *spot_risk;                 /* borrowed */
  GPtrArray *machines;                         /* FtMachine with room for something, borrowed elements */
  const FtJobSpec *full[FT_NO_ROOM_SPECS_MAX]; /* kinds that found no room, borrowed from open jobs */
  guint n_full;
} FtPlacementSearch;

/* A search among the machines that are usable and have room for something now. The pointers are borrowed and must
 * outlive it. */
void ft_placement_search_init (FtPlacementSearch *search, FtCoreContext *context, const FtSpotRisk *spot_risk,
                               const FtMachineTable *machine_table);

/* Frees what the search owns. */
void ft_placement_search_clear (FtPlacementSearch *search);

/* The best of the sampled machines that may take the task now; NULL: none of all machines has room. */
FtMachine *ft_placement_search_best (FtPlacementSearch *search, const FtJob *job, const FtTask *task,
                                     const FtTaskZones *zones);

/* The task failed on that machine a short time ago, and keeps off it. */
gboolean ft_placement_search_avoids (const FtCoreContext *context, const FtTask *task, const FtMachine *machine);

/* Finds where the job's tasks are; to be cleared. Left empty for a job whose constraints do not depend on it. */
void ft_task_zones_find (FtTaskZones *zones, const FtJob *job);

/* Frees what the record owns. */
void ft_task_zones_clear (FtTaskZones *zones);
