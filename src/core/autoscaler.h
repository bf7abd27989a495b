/* The autoscaler: scales the fleet out and in, and provides the calls to the cloud for this.
 *
 * Each step is a module of its own: the demand (capacity_demand.h), the supply (capacity_supply.h), launches
 * (scale_out.h), returns of idle machines (scale_in.h), terminations of lost or faulty machines (machine_eviction.h),
 * the cloud's list of machines (cloud_inventory.h) and the calls to the cloud (cloud_calls.h). The autoscaler runs
 * these steps in order. The scheduler calls it on its ticks and on behalf of the network layer. */
#pragma once
#include "core/cloud_call.h"
#include "core/cloud_pool.h"
#include "core/machine_eviction.h"
#include "core/placement.h"
#include "core/spot_risk.h"

typedef struct {
  FtCoreContext *context; /* borrowed, like the other fields up to the blank line */
  FtMachineTable *machine_table;
  const FtJobTable *job_table;
  const FtPlacement *placement;
  FtRecovery *recovery;
  FtSpotRisk *spot_risk;

  FtCloudPools pools;
  FtMachineEviction eviction;
  gint64 next_autoscale;   /* earliest time of the next scale-out and scale-in, in microseconds */
  gint64 spot_observed_at; /* time up to which spot machine-hours are counted, in microseconds; 0: not started */
} FtAutoscaler;

/* Initializes the fields that the autoscaler owns. The caller has set the borrowed fields. */
void ft_autoscaler_init (FtAutoscaler *autoscaler);

/* Frees the fields that the autoscaler owns. */
void ft_autoscaler_clear (FtAutoscaler *autoscaler);

/* Terminates lost and faulty machines; at its interval also plans launches and terminates idle machines. The rows of
 * the store must have been read. */
void ft_autoscaler_tick (FtAutoscaler *autoscaler);

/* Returns the next call to the cloud that is due; new. NULL: none is due. */
FtCloudCall *ft_autoscaler_next_call (FtAutoscaler *autoscaler);

/* Applies the result of a call. The caller marks the machines whose return the cloud has confirmed as gone. */
void ft_autoscaler_call_done (FtAutoscaler *autoscaler, const FtCloudCall *call, FtCloudResult result);

/* Applies the cloud's list of machines, an array of FtListedMachine. */
void ft_autoscaler_listed (FtAutoscaler *autoscaler, const GArray *list);
