/* Log lines about the messages between a machine and this leader. They tell, for one machine, why it gets direct
 * commands or none, which heartbeats were not applied, which stops were sent and by which way, and what the cloud said
 * to its return.
 *
 * Each machine has one record (FtMachine.log). Lines of one kind about one machine are at least FT_MACHINE_LOG_EVERY_S
 * apart. Heartbeats and failed returns in between are counted; stops in between are not told, since each is repeated in
 * the answers to heartbeats until its task has exited. Called by the modules that take the decisions. */
#pragma once
#include "core/cloud_call.h"
#include "core/machine.h"

/* Logs a change of whether the machine gets direct commands. That a machine gets its first ones is told by the lines of
 * its start or its reconciliation. */
void ft_machine_log_commands_allowed (FtMachine *machine, FtCommandsAllowed allowed);

/* Logs what became of a heartbeat of the machine. Of heartbeats in a row that are not applied the first is logged at
 * once; the others are counted, and told when a heartbeat is applied again or the reason changes. */
void ft_machine_log_heartbeat (FtMachine *machine, FtHeartbeatOutcome outcome);

/* Logs that a heartbeat of the machine has been applied and is not answered, for that reason. */
void ft_machine_log_refused (FtMachine *machine, const char *reason);

/* Logs the stops among the commands (FtCommand) that are sent to the machine. `way`: the message that carries them. */
void ft_machine_log_stops (FtMachine *machine, const GArray *commands, const char *way);

/* Logs the result of a call to return the machine: the first failure, and how many there were once it is returned. */
void ft_machine_log_return (FtMachine *machine, FtCloudResult result);
