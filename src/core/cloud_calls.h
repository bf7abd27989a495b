/* Creates the calls to the cloud that are due, and applies their results.
 *
 * Calls to return machines come first: each names many machines in FT_MACHINE_TERMINATING, and a machine is named again
 * until the cloud confirms its return. The launch requests of the pools follow. Called by the autoscaler when the
 * network layer can send a call or has a result. */
#pragma once
#include "core/cloud_call.h"
#include "core/cloud_pool.h"
#include "core/machine_eviction.h"
#include "core/machine_table.h"

/* Returns the next call to send; new. NULL: none is due. */
FtCloudCall *ft_cloud_calls_next (const FtMachineEviction *eviction, FtCloudPools *pools);

/* Applies the result of a launch call: adds the launched machines to the table. Returns FALSE if the call does not
 * belong to the pool's current request. */
gboolean ft_cloud_calls_launch_done (FtMachineTable *table, FtCloudPools *pools, const FtCloudCall *call,
                                     FtCloudResult result);

/* Records that a call to return machines has been answered or has failed. Machines that the caller does not mark as
 * gone are returned again after FT_TERMINATE_RETRY_S. */
void ft_cloud_calls_return_done (FtMachineTable *table, const FtCloudCall *call, FtCloudResult result);
