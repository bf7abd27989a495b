/* Scale-out: launches machines for the demand that the supply does not meet.
 *
 * Each demand is served from the cheapest pool that the cloud has not refused of late. Called by the
 * autoscaler at its interval, while the lease is valid. */
#pragma once
#include "core/capacity_demand.h"
#include "core/cloud_pool.h"

/* Makes launch requests in the pools; they are sent by the cloud calls. */
void ft_scale_out_plan (const FtPlacement *placement, FtMachineTable *table, FtCloudPools *pools);
