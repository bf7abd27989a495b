/* Reading how jobs ended that open jobs depend on and that are not open themselves: only
 * their rows tell. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeaderDependencies FtLeaderDependencies;

/**
 * ft_leader_dependencies_new:
 * @term: borrowed for life
 *
 * Returns: (transfer full): the readings of a controller that does not lead
 */
FtLeaderDependencies *ft_leader_dependencies_new (FtLeaderTerm *term);

/**
 * ft_leader_dependencies_free:
 * @dependencies: (nullable) (transfer full): no answer may come any more
 */
void ft_leader_dependencies_free (FtLeaderDependencies *dependencies);

/**
 * ft_leader_dependencies_end:
 *
 * The term is over: answers that are still awaited will be dropped.
 */
void ft_leader_dependencies_end (FtLeaderDependencies *dependencies);

/**
 * ft_leader_dependencies_read:
 * @now: monotonic time in microseconds
 *
 * Starts the readings that the scheduler asks for, FT_DEPENDENCY_READS_MAX at a time. One that
 * fails is not repeated here: the scheduler asks for it again. To be called while this
 * controller leads.
 */
void ft_leader_dependencies_read (FtLeaderDependencies *dependencies, gint64 now);
