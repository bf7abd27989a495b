/* Direct commands: requests that bring a machine its starts and stops without waiting for its next heartbeat.
 *
 * Machines that may want one are in the queue of directs. A machine has at most one request in flight. A start that
 * got no answer may still be executed, late, as long as the machine's incarnation lasts; its attempt remembers that. */
#pragma once
#include "core/direct_command.h"
#include "core/machine.h"

/* The next request with commands, of the machines in the queue: new; NULL: none. */
FtDirectRequest *ft_direct_commands_next (FtMachineQueues *queues);

/* The machine has something to be sent that no event queues it for: a command that could not be sent when it arose. */
gboolean ft_direct_commands_wanted (const FtMachine *machine);

/* A request to the machine has its result: records what became of the starts that it carried. */
void ft_direct_commands_settle (FtMachine *machine, const FtDirectRequest *direct, FtDirectResult result);
