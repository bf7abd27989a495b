/* Detects faulty machines by the tasks that fail on them.
 *
 * A single failure proves nothing, since a job that was submitted with a mistake fails on every machine. A failure
 * counts against the machine in two cases: tasks of the same job succeed on other machines; or the job is not known to
 * fail on every machine, and the last failure on this machine was not a failure of the same job. A machine is faulty
 * after FT_QUARANTINE_FAULTS such failures in a row. Its quarantine ends when it is terminated.
 *
 * The attempt reports call this module when attempts exit. It quarantines faulty machines; the eviction
 * (machine_eviction.h) terminates them once they are idle. */
#pragma once
#include "core/attempt.h"
#include "core/machine_table.h"

/* Records that the attempt, whose job is open, has exited with an error. May quarantine the attempt's machine, which
 * belongs to the table. */
void ft_fault_task_failed (const FtMachineTable *table, const FtAttempt *attempt);

/* Records that a task has completed on the machine: its earlier failures no longer count. */
void ft_fault_task_completed (FtMachine *machine);
