/* The calls to the cloud that are due, and what their results mean.
 *
 * Machines in FT_MACHINE_TERMINATING are returned first, many in a call, until the cloud confirms; then the pools'
 * launch requests are sent. Called by the autoscaler when the network layer asks for work or has a result. */
#pragma once
#include "core/cloud_call.h"
#include "core/cloud_pool.h"
#include "core/machine_eviction.h"
#include "core/machine_table.h"

/* The next call to make: new; NULL: none is due. */
FtCloudCall *ft_cloud_calls_next (const FtMachineEviction *eviction, FtCloudPools *pools);

/* A launch call has its result: takes the machines in. FALSE: it was not that of the request under way. */
gboolean ft_cloud_calls_launch_done (FtMachineTable *table, FtCloudPools *pools, const FtCloudCall *call,
                                     FtCloudResult result);

/* A call to return machines has its result; it is repeated for those that the caller does not set gone. */
void ft_cloud_calls_return_done (FtMachineTable *table, const FtCloudCall *call);
