#include "core/capacity_supply.h"

/* Returns the free share of the machine's scarcer resource, CPUs or memory. */
static double
free_share (const FtMachine *machine)
{
  double used = MAX (machine->cpus / machine->type->cpus, machine->memory_gb / machine->type->memory_gb);
  return MAX (0, 1 - used);
}

static void
add_machine (FtCapacitySupply *supply, const FtMachine *machine)
{
  if (machine->state == FT_MACHINE_BOOTING) {
    /* A machine that the cloud lists as running and that sends no heartbeat is probably gone already. */
    supply->booting += machine->listed_running || machine->zone_view->unreachable ? 0 : 1;
  } else if (ft_machine_usable (machine)) {
    supply->free += free_share (machine);
    supply->in_use += 1 - free_share (machine);
  }
}

FtCapacitySupply
ft_capacity_supply_compute (const FtMachineTable *table, const FtCloudPools *pools, const FtCapacityDemand *demand)
{
  FtCapacitySupply supply = { 0 };
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    if (machine->type != NULL && (demand == NULL || ft_capacity_demand_served_by (demand, machine)))
      add_machine (&supply, machine);
  }
  /* Machines that have only been requested count as booting. */
  g_hash_table_iter_init (&it, pools->pools);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtCloudPool *pool = value;
    if (demand == NULL || (g_strcmp0 (pool->type, demand->type->name) == 0 && (demand->spot || !pool->spot)))
      supply.booting += ft_cloud_pool_requested (pool);
  }
  return supply;
}

double
ft_capacity_headroom (const FtCoreContext *context)
{
  double boot_s = 0;
  for (guint i = 0; i < context->catalog->types->len; i++) {
    const FtMachineType *type = g_ptr_array_index (context->catalog->types, i);
    boot_s = MAX (boot_s, type->boot_s);
  }
  return boot_s * context->tuning.headroom_per_boot_s;
}
