/* Direct commands: starts and stops that are sent to a machine without waiting for its next heartbeat.
 *
 * Machines that may need a direct request are in FtMachineQueues.direct_requests. A machine has at most one request in
 * flight. A start that got no answer may still be executed late, as long as the machine's incarnation lasts. The
 * attempt records this in `direct_start`. */
#pragma once
#include "core/direct_command.h"
#include "core/machine.h"

/* Returns whether the machine gets direct commands, or why it gets none. */
FtCommandsAllowed ft_direct_commands_allowed (const FtMachine *machine);

/* Returns the next request with commands for a machine in the queue; new. NULL: no machine in the queue needs one. */
FtDirectRequest *ft_direct_commands_next (FtMachineQueues *queues);

/* Whether an attempt on the machine needs a start or a stop, which perhaps could not be sent when it was decided on.
 * Checked on each tick, since no event queues the machine when the command can be sent. */
gboolean ft_direct_commands_wanted (const FtMachine *machine);

/* Records the result of a request to the machine in the attempts whose starts it carried. */
void ft_direct_commands_apply_result (FtMachine *machine, const FtDirectRequest *direct, FtDirectResult result);
