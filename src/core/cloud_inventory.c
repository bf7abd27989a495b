#include "core/cloud_inventory.h"

#include "core/attempt_lifecycle.h"

static void
add_machine (FtMachineTable *table, const FtListedMachine *entry)
{
  if (entry->state == FT_LISTED_FAILED)
    return;
  FtMachine *machine = ft_machine_table_add (table, entry->name, entry->addr, entry->type, entry->zone, entry->spot);
  machine->launched_at = table->context->now - ft_seconds (entry->age_s);
  ft_machine_set_reconciled (machine); /* not in the registry, so it has never been sent a command */
  machine->listed_running = entry->state == FT_LISTED_RUNNING;
  g_message ("machine %s: added (in the cloud's list)", machine->name);
}

static void
update_machine (FtRecovery *recovery, FtMachine *machine, const FtListedMachine *entry)
{
  if (entry->state == FT_LISTED_FAILED && machine->state != FT_MACHINE_GONE) {
    /* The machine has stopped by itself and will not boot again. */
    if (machine->state != FT_MACHINE_TERMINATING)
      ft_machine_terminate (machine, "failed");
    ft_attempt_end_incarnation (machine);
    ft_machine_set_reconciled (machine);
    ft_recovery_machine_reconciled (recovery, machine);
  }
  /* A machine that was added by the registry or by a heartbeat may have been launched before this leadership began. */
  machine->launched_at = MIN (machine->launched_at, machine->context->now - ft_seconds (entry->age_s));
  if (machine->addr == NULL)
    ft_machine_set_addr (machine, entry->addr);
}

void
ft_cloud_inventory_apply (FtMachineTable *table, FtRecovery *recovery, const GArray *list)
{
  for (guint i = 0; i < list->len; i++) {
    const FtListedMachine *entry = &g_array_index (list, FtListedMachine, i);
    if (ft_machine_table_is_gone (table, entry->name))
      continue;
    FtMachine *machine = ft_machine_table_find (table, entry->name);
    if (machine == NULL)
      add_machine (table, entry);
    else
      update_machine (recovery, machine, entry);
  }
}
