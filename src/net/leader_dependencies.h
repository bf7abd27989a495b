/* Reading how jobs ended that open jobs depend on and that are not open themselves: only
 * their rows tell. */
#pragma once
#include <glib.h>

typedef struct _FtNode FtNode;

/**
 * ft_leader_dependencies_read:
 * @node: a controller that leads
 * @now: monotonic time in microseconds
 *
 * Starts the readings that the scheduler asks for, FT_DEPENDENCY_READS_MAX at a time. One that
 * fails is not repeated here: the scheduler asks for it again.
 */
void ft_leader_dependencies_read (FtNode *node, gint64 now);
