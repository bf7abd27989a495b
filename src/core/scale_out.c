#include "core/scale_out.h"

#include <math.h>

#include "core/capacity_supply.h"

static guint
machines_in (const FtMachineTable *table, const FtCloudPool *pool)
{
  guint count = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    count += machine->spot == pool->spot && g_strcmp0 (machine->zone, pool->zone) == 0
             && g_strcmp0 (machine->type_name, pool->type) == 0;
  }
  return count;
}

static gboolean
is_kept (const FtMachine *machine)
{
  return machine->state != FT_MACHINE_GONE && machine->state != FT_MACHINE_TERMINATING;
}

static gboolean
is_kept_spot (const FtMachine *machine)
{
  return machine->spot && is_kept (machine);
}

/* Whether the share of spot machines stays within the operators' limit with one more spot machine. */
static gboolean
spot_allowed (const FtMachineTable *table)
{
  if (table->context->tuning.spot_share >= 1)
    return TRUE;
  guint all = ft_machine_table_count (table, is_kept);
  guint spot = ft_machine_table_count (table, is_kept_spot);
  return spot + 1 <= table->context->tuning.spot_share * (all + 1);
}

static gboolean
may_launch (const FtMachineTable *table, const FtCloudPool *pool)
{
  gint64 now = table->context->now;
  return pool->request == FT_LAUNCH_REQUEST_NONE && pool->refused_until <= now
         && ft_zone_launch_limit (ft_zone_get (table->zones, pool->zone), now) > 0;
}

/* Returns the cheapest pool for the demand in which machines may be launched now; NULL: there is none. Among pools of
 * the same price it is the one with the fewest machines, so that few machines are lost when the cloud takes back the
 * spot machines of one zone. */
static FtCloudPool *
best_pool (FtMachineTable *table, FtCloudPools *pools, const FtCapacityDemand *demand)
{
  const FtMachineType *type = demand->type;
  FtCloudPool *best = NULL;
  double best_cost = INFINITY;
  gboolean spot_ok = demand->spot && spot_allowed (table);
  for (guint i = 0; type->zones != NULL && type->zones[i] != NULL; i++) {
    if (demand->zone != NULL && g_strcmp0 (type->zones[i], demand->zone) != 0)
      continue;
    for (int spot = spot_ok ? 1 : 0; spot >= 0; spot--) {
      FtCloudPool *pool = ft_cloud_pools_get (pools, type->name, type->zones[i], spot);
      if (!may_launch (table, pool))
        continue;
      double price = spot ? type->spot_price : type->price;
      double cost = price * FT_POOL_PRICE_WEIGHT + machines_in (table, pool);
      if (cost < best_cost) {
        best_cost = cost;
        best = pool;
      }
    }
  }
  return best;
}

static void
launch (FtMachineTable *table, FtCloudPools *pools, const FtCapacityDemand *demand, guint wanted)
{
  const FtCoreContext *context = table->context;
  FtCloudPool *pool = best_pool (table, pools, demand);
  if (pool == NULL || wanted == 0)
    return;
  FtZone *zone = ft_zone_get (table->zones, pool->zone);
  guint count = MIN (MIN (wanted, FT_SCALE_OUT_MAX), ft_zone_launch_limit (zone, context->now));
  ft_zone_launch_requested (zone, context->now);
  if (pool->spot && context->tuning.spot_share < 1)
    count = 1; /* single launches keep the spot machines within the share */
  ft_cloud_pools_request (pools, pool, count, context->token, context->now);
}

/* Whether a job of the demand has been waiting for room for longer than a machine takes to boot. */
static gboolean
blocked_long (const FtPlacement *placement, const FtCapacityDemand *demand)
{
  gint64 boot_us = ft_seconds (demand->type->boot_s);
  for (guint i = 0; i < placement->order->len; i++) {
    const FtJob *job = g_ptr_array_index (placement->order, i);
    if (job->no_room_pass == placement->pass && job->spec->spot == demand->spot
        && g_strcmp0 (job->spec->zone, demand->zone) == 0 && placement->context->now - job->ready_at > boot_us)
      return TRUE;
  }
  return FALSE;
}

void
ft_scale_out_plan (const FtPlacement *placement, FtMachineTable *table, FtCloudPools *pools)
{
  g_autoptr (GArray) demands = ft_capacity_demand_compute (placement);
  for (guint i = 0; i < demands->len; i++) {
    const FtCapacityDemand *demand = &g_array_index (demands, FtCapacityDemand, i);
    FtCapacitySupply supply = ft_capacity_supply_compute (table, pools, demand);
    double reserve = ft_capacity_headroom (table->context) * supply.in_use;
    double wanted = demand->machines + reserve - supply.free - supply.booting;
    /* A demand for only a small part of a machine waits until room becomes free. A machine is launched for it only if
     * no room can become free or a job has waited too long: a single small job must get a machine too. */
    gboolean stuck = demand->blocked && supply.booting < 1 && (supply.in_use <= 0 || blocked_long (placement, demand));
    if (wanted > FT_SCALE_OUT_MIN_DEMAND || stuck)
      launch (table, pools, demand, (guint) MAX (1, ceil (wanted)));
  }
}
