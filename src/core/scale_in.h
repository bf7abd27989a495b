/* Scale-in: terminates idle machines in excess of the reserve. The reserve is the idle capacity that is kept for new
 * demand, see ft_capacity_headroom() in capacity_supply.h.
 *
 * Machines that are lost, faulty or taken back by the cloud are terminated by the eviction (machine_eviction.h). Called
 * by the autoscaler at its interval, while the lease is valid. */
#pragma once
#include "core/cloud_pool.h"
#include "core/machine_table.h"

/* Terminates machines that have been idle for long enough and exceed the reserve. `has_open_jobs`: whether there are
 * open jobs, in which case FT_STANDBY_MACHINES stay idle in addition to the reserve. */
void ft_scale_in_idle (FtMachineTable *table, const FtCloudPools *pools, gboolean has_open_jobs);
