#include "core/machine_table.h"

#include "core/attempt_lifecycle.h"

void
ft_machine_table_init (FtMachineTable *table, FtCoreContext *context, FtMachineQueues *queues)
{
  table->context = context;
  table->queues = queues;
  table->machines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) ft_machine_free);
  table->zones = ft_zones_new ();
  table->gone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  table->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
}

void
ft_machine_table_clear (FtMachineTable *table)
{
  g_clear_pointer (&table->machines, g_hash_table_unref);
  g_clear_pointer (&table->zones, g_hash_table_unref);
  g_clear_pointer (&table->gone, g_hash_table_unref);
  g_clear_pointer (&table->drained, g_hash_table_unref);
}

FtMachine *
ft_machine_table_add (FtMachineTable *table, const char *name, const char *addr, const char *type, const char *zone,
                      gboolean spot)
{
  FtMachine *machine = ft_machine_new (table->context, table->queues, name, addr, type, zone, spot);
  machine->zone_view = ft_zone_get (table->zones, zone);
  machine->fitness.drained = g_hash_table_contains (table->drained, name);
  g_hash_table_insert (table->machines, machine->name, machine);
  return machine;
}

FtMachine *
ft_machine_table_find (const FtMachineTable *table, const char *name)
{
  return g_hash_table_lookup (table->machines, name);
}

gboolean
ft_machine_table_is_gone (const FtMachineTable *table, const char *name)
{
  return g_hash_table_contains (table->gone, name);
}

gboolean
ft_machine_table_readmit (FtMachineTable *table, const char *name, guint64 incarnation)
{
  const guint64 *last = g_hash_table_lookup (table->gone, name);
  /* While the table has the machine, a request to it or about it is in flight. */
  if (last == NULL || incarnation <= *last || ft_machine_table_find (table, name) != NULL)
    return FALSE;
  g_hash_table_remove (table->gone, name);
  g_message ("machine %s: back (incarnation %" G_GUINT64_FORMAT " began after it was gone)", name, incarnation);
  return TRUE;
}

void
ft_machine_table_set_gone (FtMachineTable *table, FtMachine *machine, const char *reason)
{
  ft_attempt_end_incarnation (machine);
  ft_machine_set_reconciled (machine);
  ft_machine_set_state (machine, FT_MACHINE_GONE, reason);
  g_hash_table_insert (table->gone, g_strdup (machine->name),
                       g_memdup2 (&machine->incarnation, sizeof machine->incarnation));
  table->context->placement_due = TRUE;
}

void
ft_machine_table_set_drained (FtMachineTable *table, const char *name, gboolean drained)
{
  FtMachine *machine = ft_machine_table_find (table, name);
  if (drained)
    g_hash_table_add (table->drained, g_strdup (name));
  else
    g_hash_table_remove (table->drained, name);
  g_message ("machine %s: %s (by an operator)", name, drained ? "drained" : "undrained");
  if (machine == NULL)
    return;
  machine->fitness.drained = drained;
  table->context->placement_due = TRUE;
}

void
ft_machine_table_catalog_changed (FtMachineTable *table)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    machine->type = ft_catalog_find (table->context->catalog, machine->type_name);
  }
}

guint
ft_machine_table_count (const FtMachineTable *table, FtMachinePredicate predicate)
{
  guint count = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    count += predicate (value) ? 1 : 0;
  return count;
}

guint
ft_machine_table_should_report_count (const FtMachineTable *table)
{
  return ft_machine_table_count (table, ft_machine_should_report);
}
