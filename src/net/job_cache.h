/* What this controller has read of jobs: the revisions of open ones, so that many can be
 * compared at once, and ends, which never change. Bounded: what is forgotten is read again. */
#pragma once
#include "core/types.h"

typedef struct _FtJobCache FtJobCache;

/* An open job, as last seen. */
typedef struct {
  guint64 revision;          /* revision of its row while it is open */
  gboolean has_dependencies; /* it was submitted with jobs that it needs */
  GStrv dependencies;        /* NULL: not read yet */
  gboolean dependencies_met; /* all of them were found done */
  gint64 checked_at;         /* until then neither it nor anything that it needs was cancelled; 0: not checked */
} FtCachedJob;

FtJobCache *ft_job_cache_new (void);
void ft_job_cache_free (FtJobCache *cache);

/* The job's row is open at this revision. Borrowed until the next call. */
FtCachedJob *ft_job_cache_open (FtJobCache *cache, const char *ref, guint64 revision, gboolean has_dependencies);
/* NULL: not cache to be open. Borrowed until the next call. */
FtCachedJob *ft_job_cache_find (const FtJobCache *cache, const char *ref);
/* Its row has changed. */
void ft_job_cache_forget (FtJobCache *cache, const char *ref);

/* The job has ended. */
void ft_job_cache_ended (FtJobCache *cache, const char *ref, FtJobEnd end, guint tasks);
/* FALSE: not cache to have ended. `end` and `tasks` may be NULL. */
gboolean ft_job_cache_end (const FtJobCache *cache, const char *ref, FtJobEnd *end, guint *tasks);
