/* Which machines are faulty, judged from the tasks that fail on them.
 *
 * A failure alone proves nothing: a job that was submitted with a mistake fails everywhere.
 * A machine is judged by comparison: tasks of the same job do well elsewhere, or different
 * jobs, none of them known to fail everywhere, fail on it in a row. */
#pragma once
#include "core/scheduler_private.h"

/* The attempt has exited with an error; its job is open. */
void ft_fault_task_failed (FtScheduler *scheduler, const FtAttempt *attempt);

/* A task has completed on the machine: what failed there before is forgotten. */
void ft_fault_task_completed (FtMachine *machine);

/* The machine is shunned for its faults, not for another reason. */
gboolean ft_fault_proven (const FtMachine *machine);
