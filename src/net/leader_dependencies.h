/* Reads how the jobs ended on which open jobs depend. The row of an ended job is no longer among the open
 * jobs' rows that the leader reads, so the job's own row has to be read. */
#pragma once
#include "net/leader_term.h"

typedef struct _FtLeaderDependencies FtLeaderDependencies;

/**
 * ft_leader_dependencies_new:
 * @term: borrowed for the life of the object
 *
 * Returns: (transfer full): the reads of a controller that does not lead
 */
FtLeaderDependencies *ft_leader_dependencies_new (FtLeaderTerm *term);

/**
 * ft_leader_dependencies_free:
 * @dependencies: (nullable) (transfer full): the reads
 *
 * Must be called only when no answer to a read can arrive any more.
 */
void ft_leader_dependencies_free (FtLeaderDependencies *dependencies);

/**
 * ft_leader_dependencies_end:
 *
 * Called at the end of a term. Resets the number of reads in flight; answers to these reads will be
 * dropped.
 */
void ft_leader_dependencies_end (FtLeaderDependencies *dependencies);

/**
 * ft_leader_dependencies_read:
 * @now: monotonic time in microseconds
 *
 * Starts the reads that the scheduler requests, with at most FT_DEPENDENCY_READS_MAX in flight. A read
 * that fails is not repeated here: the scheduler requests it again. It must only be called while this
 * controller leads.
 */
void ft_leader_dependencies_read (FtLeaderDependencies *dependencies, gint64 now);
