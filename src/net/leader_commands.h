/* Direct commands: requests (FtDirectRequest) that the leader sends to workers at once, instead of in the
 * answer to their next heartbeat. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeaderCommands FtLeaderCommands;

/**
 * ft_leader_commands_new:
 * @term: borrowed for the life of the object
 *
 * Returns: (transfer full): the direct commands of a controller that does not lead
 */
FtLeaderCommands *ft_leader_commands_new (FtLeaderTerm *term);

/**
 * ft_leader_commands_free:
 * @commands: (nullable) (transfer full): no answer to a command may arrive any more
 */
void ft_leader_commands_free (FtLeaderCommands *commands);

/**
 * ft_leader_commands_end:
 *
 * Resets the commands at the end of a term. Answers to commands in flight will be dropped.
 */
void ft_leader_commands_end (FtLeaderCommands *commands);

/**
 * ft_leader_commands_send:
 * @now: monotonic time in microseconds
 *
 * Sends the scheduler's pending direct requests, with at most FT_DIRECT_MAX in flight. Each is sent
 * once; the scheduler decides what follows from a lost answer. It must only be called while this
 * controller leads.
 */
void ft_leader_commands_send (FtLeaderCommands *commands, gint64 now);
