/* Direct commands: what the leader sends to workers at once (FtDirect) instead of with the
 * answer to their next heartbeat. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

/* Sends the commands that the scheduler wants to go out now, FT_DIRECT_MAX at a time. */
void ft_leader_commands_send (FtNode *node, gint64 now);
