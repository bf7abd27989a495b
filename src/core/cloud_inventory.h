/* The cloud's list of machines, as far as it is evidence.
 *
 * The list lags behind and may go back: it adds machines and names those that failed; that a machine is
 * missing from it proves nothing. Called when a list has been read. */
#pragma once
#include "core/machine_table.h"
#include "core/recovery.h"

/* Takes in a list, of FtListedMachine; the registry has been read. */
void ft_cloud_inventory_apply (FtMachineTable *table, FtRecovery *recovery, const GArray *list);
