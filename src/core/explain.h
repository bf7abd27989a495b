/* The reasons, in words for operators, why a job waits and why a machine is not used. */
#pragma once
#include "core/placement.h"

/* Returns why tasks of the job wait, as a static text; empty: no task of the job waits. */
const char *ft_explain_waiting (const FtPlacement *placement, const FtJob *job);

/* Returns why the machine gets no new tasks, as a static text; empty: the machine may get new tasks. */
const char *ft_explain_unused (const FtMachine *machine);
