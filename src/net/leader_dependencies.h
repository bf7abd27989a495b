/* Reads how a job ended on which an open job depends. A job that has ended is no longer among the
 * open jobs' rows that the leader reads, so its own row has to be read. */
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
 * @dependencies: (nullable) (transfer full): no answer to a read may arrive any more
 */
void ft_leader_dependencies_free (FtLeaderDependencies *dependencies);

/**
 * ft_leader_dependencies_end:
 *
 * Resets the reads at the end of a term. Answers to reads in flight will be dropped.
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
