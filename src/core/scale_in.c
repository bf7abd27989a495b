#include "core/scale_in.h"

#include "core/capacity_supply.h"

/* Whether the machine may be returned: it has been idle for long enough, and has run for the shortest time that the
 * cloud charges. */
static gboolean
is_scale_in_candidate (const FtMachine *machine)
{
  const FtCoreContext *context = machine->context;
  double idle_s = machine->spot ? context->tuning.idle_spot_s : context->tuning.idle_ordinary_s;
  return ft_machine_usable (machine) && ft_machine_idle (machine)
         && context->now - machine->idle_since > ft_seconds (idle_s)
         && context->now - machine->launched_at > ft_seconds (FT_MINIMUM_CHARGE_S)
         && !machine->requests.command_in_flight;
}

/* Compares machines for sorting: ordinary machines come first, since they cost more; among equals, the machine that has
 * been idle longest. */
static gint
compare_return_order (gconstpointer first_element, gconstpointer second_element)
{
  const FtMachine *first = *(FtMachine *const *) first_element;
  const FtMachine *second = *(FtMachine *const *) second_element;
  if (first->spot != second->spot)
    return first->spot ? 1 : -1;
  return first->idle_since < second->idle_since ? -1 : first->idle_since > second->idle_since;
}

void
ft_scale_in_idle (FtMachineTable *table, const FtCloudPools *pools, gboolean has_open_jobs)
{
  FtCapacitySupply supply = ft_capacity_supply_compute (table, pools, NULL);
  double standby = has_open_jobs ? FT_STANDBY_MACHINES : 0;
  double spare = supply.free - ft_capacity_headroom (table->context) * supply.in_use - standby;
  if (spare < 1)
    return;
  g_autoptr (GPtrArray) idle = g_ptr_array_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    if (is_scale_in_candidate (value))
      g_ptr_array_add (idle, value);
  g_ptr_array_sort (idle, compare_return_order);
  for (guint i = 0; i < idle->len && spare >= 1; i++, spare--)
    ft_machine_terminate (g_ptr_array_index (idle, i), "idle");
}
