/* How many machines the queued tasks need, by machine type and constraints.
 *
 * Each job counts on the allowed type on which a task of it costs least, within its team's quota. What has
 * time until its deadline needs fewer machines, since its tasks can run one after another. Called by the
 * scale-out. */
#pragma once
#include "core/placement.h"

/* Machines wanted of a type, for jobs with the same constraints. */
typedef struct {
  const FtMachineType *type; /* borrowed from the catalog */
  const char *zone;          /* borrowed from a job; NULL: any */
  gboolean spot;             /* spot machines are allowed */
  double machines;
  gboolean blocked; /* a job found no room at all in the last placement pass */
} FtCapacityDemand;

/* The demand of the open jobs, in their order of placement: a new array of FtCapacityDemand. */
GArray *ft_capacity_demand_compute (const FtPlacement *placement);

/* The machine may serve that demand. */
gboolean ft_capacity_demand_served_by (const FtCapacityDemand *demand, const FtMachine *machine);
