/* Why a job waits and why a machine is not used, in the words that operators are shown. */
#pragma once
#include "core/placement.h"

/* Static text; empty: nothing of the job waits. */
const char *ft_explain_waiting (const FtPlacement *placement, const FtJob *job);

/* Static text; empty: the machine may be used. */
const char *ft_explain_unused (const FtMachine *machine);
