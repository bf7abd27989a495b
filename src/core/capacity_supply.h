/* How many machines there are, how much of them is free, and how many will boot.
 *
 * Called by the scale-out for each demand, and by the scale-in for all machines. */
#pragma once
#include "core/capacity_demand.h"
#include "core/cloud_pool.h"

/* All in machines; of one that is partly used the free share counts, by its scarcest resource. */
typedef struct {
  double free, in_use;
  double booting; /* launched, or requested */
} FtCapacitySupply;

/* What there is for that demand; `demand` NULL: all machines. */
FtCapacitySupply ft_capacity_supply_compute (const FtMachineTable *table, const FtCloudPools *pools,
                                             const FtCapacityDemand *demand);

/* Idle capacity to keep, as a share of what is in use: the longer machines take to boot, the more. */
double ft_capacity_headroom (const FtCoreContext *context);
