/* Direct commands: what the leader sends to workers at once (FtDirect) instead of with the
 * answer to their next heartbeat. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

/**
 * ft_leader_commands_send:
 * @node: a controller that leads
 * @now: monotonic time in microseconds
 *
 * Sends the commands that the scheduler wants to go out now, FT_DIRECT_MAX at a time. Each is
 * sent once; what a lost answer means is up to the scheduler.
 */
void ft_leader_commands_send (FtNode *node, gint64 now);
