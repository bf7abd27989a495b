/* Scales the fleet out and in, and makes the calls to the cloud for it.
 *
 * Each step is a module of its own: what is wanted (capacity_demand.h), what there is (capacity_supply.h), launches
 * (scale_out.h), returns of idle machines (scale_in.h), terminations of machines that are lost or faulty
 * (machine_eviction.h), the cloud's list (cloud_inventory.h) and the calls (cloud_calls.h). The autoscaler runs them in
 * their order. Called by the scheduler on its ticks and for the network layer. */
#pragma once
#include "core/cloud_call.h"
#include "core/cloud_pool.h"
#include "core/machine_eviction.h"
#include "core/placement.h"
#include "core/spot_risk.h"

typedef struct {
  FtCoreContext *context; /* borrowed, as all up to the blank line */
  FtMachineTable *machine_table;
  const FtJobTable *job_table;
  const FtPlacement *placement;
  FtRecovery *recovery;
  FtSpotRisk *spot_risk;

  FtCloudPools pools;
  FtMachineEviction eviction;
  gint64 next_autoscale;
  gint64 spot_observed_at; /* up to when `spot_risk` counts machine-hours; 0: not begun */
} FtAutoscaler;

/* The borrowed fields are set by the caller. */
void ft_autoscaler_init (FtAutoscaler *autoscaler);

/* Frees what it owns. */
void ft_autoscaler_clear (FtAutoscaler *autoscaler);

/* Plans launches and chooses the machines to return; the rows of the store have been read. */
void ft_autoscaler_tick (FtAutoscaler *autoscaler);

/* The next call to the cloud that is due: new; NULL: none. */
FtCloudCall *ft_autoscaler_next_call (FtAutoscaler *autoscaler);

/* A call has its result. Machines that the cloud has confirmed to be returned are the caller's to set gone. */
void ft_autoscaler_call_done (FtAutoscaler *autoscaler, const FtCloudCall *call, FtCloudResult result);

/* The cloud's list of machines, of FtListedMachine, has been read. */
void ft_autoscaler_listed (FtAutoscaler *autoscaler, const GArray *list);
