/* Reading how jobs ended that open jobs depend on and that are not open themselves: only
 * their rows tell. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

/* Starts the readings that the scheduler asks for, FT_DEPENDENCY_READS_MAX at a time. */
void ft_leader_dependencies_read (FtNode *node, gint64 now);
