/* Direct commands: what the leader sends to workers at once (FtDirectRequest) instead of with the
 * answer to their next heartbeat. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeaderCommands FtLeaderCommands;

/**
 * ft_leader_commands_new:
 * @term: borrowed for life
 *
 * Returns: (transfer full): the direct commands of a controller that does not lead
 */
FtLeaderCommands *ft_leader_commands_new (FtLeaderTerm *term);

/**
 * ft_leader_commands_free:
 * @commands: (nullable) (transfer full): no answer may come any more
 */
void ft_leader_commands_free (FtLeaderCommands *commands);

/**
 * ft_leader_commands_end:
 *
 * The term is over: answers that are still awaited will be dropped.
 */
void ft_leader_commands_end (FtLeaderCommands *commands);

/**
 * ft_leader_commands_send:
 * @now: monotonic time in microseconds
 *
 * Sends the commands that the scheduler wants to go out now, FT_DIRECT_MAX at a time. Each is
 * sent once; what a lost answer means is up to the scheduler. To be called while this controller leads.
 */
void ft_leader_commands_send (FtLeaderCommands *commands, gint64 now);
