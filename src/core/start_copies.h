/* Copies of direct starts that a worker would still execute.
 *
 * A copy of a direct request may arrive at any time, long after the request was answered. The worker executes it until
 * its incarnation is over or it has seen a higher token than that of the request. While it remembers an attempt, a copy
 * of the attempt's start does nothing. This module tells which attempts a worker must therefore remember, renews the
 * worker token so that it may forget them, and bounds their number, since the worker lists them in each heartbeat. */
#pragma once
#include "core/attempt.h"
#include "core/machine.h"

/* Whether the worker would still execute a copy of a direct request with the attempt's start: no status of the worker
 * has shown a higher token than that of the request. */
gboolean ft_start_copies_possible (const FtAttempt *attempt);

/* Returns how many more starts may be sent directly to the machine now. */
guint ft_start_copies_direct_starts_allowed (const FtMachine *machine);

/* Renews the machine's worker token if its worker remembers many directly started attempts, or one of them for a long
 * time. A request in flight would be refused for its lower token, so the renewal waits for it. Called when a heartbeat
 * is answered. */
void ft_start_copies_renew_token_if_due (FtMachine *machine);
