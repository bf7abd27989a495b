/* The demand for capacity: how many machines the queued tasks need, by machine type and constraints.
 *
 * Each job adds to the demand for the allowed machine type on which one of its tasks costs least, up to its team's
 * quota. A job with time left until its deadline needs fewer machines, since its tasks can run one after another.
 * Called by the scale-out. */
#pragma once
#include "core/placement.h"

/* The demand for one machine type by jobs with the same constraints. */
typedef struct {
  const FtMachineType *type; /* borrowed from the catalog */
  const char *zone;          /* borrowed from a job; NULL: any zone */
  gboolean spot;             /* whether the jobs allow spot machines */
  double machines;           /* number of machines that are needed; may be fractional */
  gboolean blocked;          /* whether one of the jobs found no room in the last placement pass */
} FtCapacityDemand;

/* Returns the demand of the open jobs, in the order of their placement: a new array of FtCapacityDemand. */
GArray *ft_capacity_demand_compute (const FtPlacement *placement);

/* Whether the machine can serve the demand. */
gboolean ft_capacity_demand_served_by (const FtCapacityDemand *demand, const FtMachine *machine);
