/* What this controller has read of jobs: the revisions of open ones, so that many can be compared at
 * once, and ends, which never change. An open job in the cache may have ended since: it is only what
 * to compare with. Nothing is lost with the cache: what it has dropped is read again.
 *
 * Bounded: FT_JOB_CACHE_OPEN_MAX open jobs and FT_JOB_CACHE_ENDED_MAX ends, of which the oldest are
 * dropped first. Owned by the node; used by the users' endpoint, polls.c and ancestors.c. */
#pragma once
#include "core/types.h"

typedef struct _FtJobCache FtJobCache;

/**
 * FtDependencyState:
 * @FT_DEPENDENCIES_NONE: the job was submitted without dependencies
 * @FT_DEPENDENCIES_PENDING: not all of them were found done
 * @FT_DEPENDENCIES_MET: all of them were found done, which is final
 */
typedef enum { FT_DEPENDENCIES_NONE, FT_DEPENDENCIES_PENDING, FT_DEPENDENCIES_MET } FtDependencyState;

/**
 * FtCachedJob:
 * @revision: of its row while it is open
 * @dependency_state: whether it may still have to wait for other jobs
 * @dependencies: the jobs that it needs; %NULL: none, or not read yet
 * @checked_at: monotonic time until which neither it nor any of its ancestors was cancelled;
 *   0: not checked
 *
 * An open job, as last read.
 */
typedef struct {
  guint64 revision;
  FtDependencyState dependency_state;
  GStrv dependencies;
  gint64 checked_at;
} FtCachedJob;

/**
 * ft_job_cache_new:
 *
 * Returns: (transfer full): an empty cache
 */
FtJobCache *ft_job_cache_new (void);

/**
 * ft_job_cache_free:
 * @cache: (transfer full) (nullable): the cache
 */
void ft_job_cache_free (FtJobCache *cache);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtJobCache, ft_job_cache_free)

/**
 * ft_job_cache_add_open:
 * @has_dependencies: whether it was submitted with jobs that it needs
 *
 * Records that the job's row was read, or committed, as open at this revision.
 *
 * Returns: the job, borrowed until the next call; what was known of it before is kept
 */
FtCachedJob *ft_job_cache_add_open (FtJobCache *cache, const char *ref, guint64 revision, gboolean has_dependencies);

/**
 * ft_job_cache_find:
 *
 * Returns: (nullable): the job, borrowed until the next call; %NULL if it is not cached as open
 */
FtCachedJob *ft_job_cache_find (const FtJobCache *cache, const char *ref);

/**
 * ft_job_cache_remove_open:
 *
 * Drops an open job whose row has changed.
 */
void ft_job_cache_remove_open (FtJobCache *cache, const char *ref);

/**
 * ft_job_cache_add_ended:
 *
 * Records that the job has ended, as read from its row or committed.
 */
void ft_job_cache_add_ended (FtJobCache *cache, const char *ref, FtJobEnd end, guint tasks);

/**
 * ft_job_cache_find_end:
 * @end: (out) (nullable): how it ended
 * @tasks: (out) (nullable): its number of tasks
 *
 * Returns: %FALSE if the job is not cached as ended
 */
gboolean ft_job_cache_find_end (const FtJobCache *cache, const char *ref, FtJobEnd *end, guint *tasks);
