/* Applies the cloud's list of machines.
 *
 * The list lags behind the cloud's actual state, and a later list may show an older state. It is therefore used only to
 * add machines, to complete their records, and to find machines that have failed. A machine's absence from the list
 * proves nothing. Called when a list has been read. */
#pragma once
#include "core/machine_table.h"
#include "core/recovery.h"

/* Applies `list`, an array of FtListedMachine. The registry must have been read. */
void ft_cloud_inventory_apply (FtMachineTable *table, FtRecovery *recovery, const GArray *list);
