/* Starts in doubt: cancelled attempts whose start may still be executed.
 *
 * A direct start that got no answer may be executed late, as long as the machine's incarnation lasts. If its attempt is
 * cancelled before a status shows it, no stop can be sent, since the worker would ignore it. The machine then gets no
 * new work, and is terminated before the cancelled task could run past its time. The doubt ends when a status shows the
 * attempt: its worker remembers it from then on and ignores copies of the start for as long as it would execute them,
 * see ft_worker_command_may_forget(). It also ends with the incarnation, or when a status shows a higher token than the
 * start carried, which the worker then refuses: a doubt renews the machine's worker token (start_copies.h). If neither
 * comes in time, the machine's heartbeats are no longer answered, so that its incarnation ends with its lease.
 *
 * The eviction (machine_eviction.h) calls this module for each machine on each tick, and the heartbeat answers ask it.
 */
#pragma once
#include "core/machine.h"

/* Quarantines the machine if a start has been in doubt for FT_START_IN_DOUBT_QUARANTINE_S, and ends that quarantine if
 * none has. Returns whether to terminate the machine: it has no other work, or the start has been in doubt for too
 * long. */
gboolean ft_start_in_doubt_check (FtMachine *machine);

/* Returns whether an answer to the machine's heartbeat would let its incarnation last past the time in which a task
 * whose start is in doubt must be gone. */
gboolean ft_start_in_doubt_forbids_answer (const FtMachine *machine);
