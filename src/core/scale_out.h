/* Scale-out: launches machines for the demand that the supply does not meet.
 *
 * Each demand is served from the cheapest pool for which the cloud has not refused a launch recently. Called by the
 * autoscaler at its interval, while the lease is valid. */
#pragma once
#include "core/capacity_demand.h"
#include "core/cloud_pool.h"

/* Creates launch requests in the pools; ft_cloud_calls_next() sends them. */
void ft_scale_out_plan (const FtPlacement *placement, FtMachineTable *table, FtCloudPools *pools);
