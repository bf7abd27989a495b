/* The commands that attempts want their workers to get. Called by the heartbeat answers and the direct commands. */
#pragma once
#include "core/attempt.h"
#include "core/direct_command.h"
#include "core/machine.h"

/* The attempt's start is to be sent: it is bound, its task lies below the stored dispatch watermark, its machine is in
 * the stored registry, and no heartbeat shows it yet. */
gboolean ft_worker_command_wants_start (const FtAttempt *attempt);

/* The worker may forget the attempt: it has exited, its result is not needed, and no copy of its start can come late.
 */
gboolean ft_worker_command_may_forget (const FtAttempt *attempt);

/* Adds a command for the attempt to `commands`, of FtCommand. */
void ft_worker_command_add (GArray *commands, FtCommandOp op, const FtAttempt *attempt);

/* A request with these commands, which it takes, to the machine, which has one in flight from then on. */
FtDirectRequest *ft_worker_command_request_new (FtMachine *machine, GArray *commands);
