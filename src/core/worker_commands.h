/* The commands that workers need for their attempts. Used by the heartbeat answers, the direct commands and the
 * probes. */
#pragma once
#include "core/attempt.h"
#include "core/direct_command.h"
#include "core/machine.h"

/* Whether a start of the attempt is to be sent. The attempt must be bound and not stopped, its task index must be below
 * the stored dispatch watermark, the stored registry must name its machine, and no status may show the attempt yet. */
gboolean ft_worker_command_wants_start (const FtAttempt *attempt);

/* Whether the worker may forget the attempt: it has exited, its result is not needed, and the worker would refuse a
 * copy of its start. */
gboolean ft_worker_command_may_forget (const FtAttempt *attempt);

/* Appends a command for the attempt to `commands`, an array of FtCommand. */
void ft_worker_command_add (GArray *commands, FtCommandOp op, const FtAttempt *attempt);

/* Appends a stop of the task that a status shows to `commands`, without time to save. */
void ft_worker_command_add_stop (GArray *commands, const FtTaskStatus *status);

/* Returns a new request to the machine with these commands; takes ownership of `commands`. The machine counts as having
 * a command in flight from then on. */
FtDirectRequest *ft_worker_command_request_new (FtMachine *machine, GArray *commands);
