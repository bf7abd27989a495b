/* Scale-in: returns machines that stand idle beyond the reserve.
 *
 * Machines that are lost, faulty or taken by the cloud are the eviction's (machine_eviction.h). Called by the
 * autoscaler at its interval, while the lease is valid. */
#pragma once
#include "core/cloud_pool.h"
#include "core/machine_table.h"

/* `any_jobs`: there are open jobs, so that one machine stands by. */
void ft_scale_in_idle (FtMachineTable *table, const FtCloudPools *pools, gboolean any_jobs);
