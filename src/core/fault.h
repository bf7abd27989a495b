/* Which machines are faulty, judged from the tasks that fail on them.
 *
 * A failure alone proves nothing: a job that was submitted with a mistake fails everywhere.
 * A machine is judged by comparison: tasks of the same job do well elsewhere, or different
 * jobs, none of them known to fail everywhere, fail on it in a row.
 *
 * Called by the heartbeats as attempts end. A faulty machine is quarantined here and terminated by the
 * eviction (machine_eviction.h) once it is idle. */
#pragma once
#include "core/attempt.h"
#include "core/machine_table.h"

/* The attempt has exited with an error; its job is open. May quarantine its machine, one of the table's. */
void ft_fault_task_failed (const FtMachineTable *table, const FtAttempt *attempt);

/* A task has completed on the machine: what failed there before is forgotten. */
void ft_fault_task_completed (FtMachine *machine);

/* The machine is quarantined for its faults, not for another reason. */
gboolean ft_fault_is_faulty (const FtMachine *machine);
