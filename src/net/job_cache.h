/* A cache of the jobs' rows that this controller has read or committed. For an open job it holds the
 * revision of the job's row, so that one transaction can compare the revisions of many jobs. For an ended
 * job it holds the end, which never changes.
 *
 * A job that is open in the cache may have ended since the row was read, so users of the cache must compare
 * its revision with the key-value store. An entry that the cache has evicted is read from the store again.
 *
 * The cache holds at most FT_JOB_CACHE_OPEN_MAX open and FT_JOB_CACHE_ENDED_MAX ended jobs and evicts the
 * oldest first. The node owns it; the user endpoint, polls.c and ancestors.c use it. */
#pragma once
#include "core/types.h"

/**
 * FtJobCache:
 *
 * The cache of jobs. There is one per process; the node owns it.
 */
typedef struct _FtJobCache FtJobCache;

/**
 * FtDependencyState:
 * @FT_DEPENDENCIES_NONE: the job was submitted without dependencies
 * @FT_DEPENDENCIES_PENDING: this controller has not yet read that all dependencies are done
 * @FT_DEPENDENCIES_MET: all dependencies are done, which is final
 *
 * The state of an open job's dependencies, as this controller has read them.
 */
typedef enum { FT_DEPENDENCIES_NONE, FT_DEPENDENCIES_PENDING, FT_DEPENDENCIES_MET } FtDependencyState;

/**
 * FtCachedJob:
 * @revision: revision of the job's row when it was read or committed as open
 * @dependency_state: whether the job may still have to wait for its dependencies
 * @dependencies: (nullable): refs of the job's dependencies, owned; %NULL if it has none or they have not
 *   been read yet
 * @checked_at: monotonic time in microseconds at which neither the job nor any of its ancestors was
 *   cancelled; 0 if that has not been checked
 *
 * An open job, as this controller last read or committed it.
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
 * @ref: the job's ref; copied
 * @revision: revision of the job's row
 * @has_dependencies: whether the job was submitted with dependencies
 *
 * Records that the job's row was read or committed as open at @revision. If the cache has the job already,
 * its dependencies and the time of its last check are kept.
 *
 * Returns: (transfer none): the job, valid until the next call that changes the cache
 */
FtCachedJob *ft_job_cache_add_open (FtJobCache *cache, const char *ref, guint64 revision, gboolean has_dependencies);

/**
 * ft_job_cache_find:
 *
 * Returns: (transfer none) (nullable): the job, valid until the next call that changes the cache; %NULL if
 *   the cache does not have it as open
 */
FtCachedJob *ft_job_cache_find (const FtJobCache *cache, const char *ref);

/**
 * ft_job_cache_remove_open:
 *
 * Removes an open job whose row has changed from the cache.
 */
void ft_job_cache_remove_open (FtJobCache *cache, const char *ref);

/**
 * ft_job_cache_add_ended:
 *
 * @ref: the job's ref; copied
 * @end: how the job ended
 * @tasks: the job's number of tasks
 *
 * Records that the job's row was read or committed as ended, and removes the job from the open jobs.
 */
void ft_job_cache_add_ended (FtJobCache *cache, const char *ref, FtJobEnd end, guint tasks);

/**
 * ft_job_cache_find_end:
 * @end: (out) (nullable): how the job ended
 * @tasks: (out) (nullable): the job's number of tasks
 *
 * Returns: %FALSE, with nothing set, if the cache does not have the job as ended
 */
gboolean ft_job_cache_find_end (const FtJobCache *cache, const char *ref, FtJobEnd *end, guint *tasks);
