/* The supply of capacity: how much of the fleet is free or in use, and how many machines are booting.
 *
 * Called by the scale-out for each demand, and by the scale-in for all machines. */
#pragma once
#include "core/capacity_demand.h"
#include "core/cloud_pool.h"

/* Amounts in machines. A machine that is partly in use adds the free share of its scarcest resource to `free`, and the
 * rest to `in_use`. */
typedef struct {
  double free, in_use;
  double booting; /* machines that have been launched or requested and are expected to come up */
} FtCapacitySupply;

/* Returns the supply of machines that can serve the demand; `demand` NULL: of all machines. */
FtCapacitySupply ft_capacity_supply_compute (const FtMachineTable *table, const FtCloudPools *pools,
                                             const FtCapacityDemand *demand);

/* Returns the idle capacity to keep, as a share of the capacity in use. It grows with the longest boot time of the
 * catalog's types. */
double ft_capacity_headroom (const FtCoreContext *context);
