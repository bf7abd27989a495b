/* What this controller has read of jobs: the revisions of open ones, so that many can be
 * compared at once, and ends, which never change. Bounded: what is forgotten is read again. */
#pragma once
#include "core/types.h"

typedef struct _FtKnownJobs FtKnownJobs;

/* An open job, as last seen. */
typedef struct {
  guint64 revision;   /* revision of its row while it is open */
  gboolean has_needs; /* it was submitted with jobs that it needs */
  GStrv needs;        /* NULL: not read yet */
  gboolean needs_met; /* all of them were found done */
  gint64 checked_at;  /* until then neither it nor anything that it needs was cancelled; 0: not checked */
} FtKnownJob;

FtKnownJobs *ft_known_jobs_new (void);
void ft_known_jobs_free (FtKnownJobs *known);

/* The job's row is open at this revision. Borrowed until the next call. */
FtKnownJob *ft_known_jobs_open (FtKnownJobs *known, const char *ref, guint64 revision, gboolean has_needs);
/* NULL: not known to be open. Borrowed until the next call. */
FtKnownJob *ft_known_jobs_find (const FtKnownJobs *known, const char *ref);
/* Its row has changed. */
void ft_known_jobs_forget (FtKnownJobs *known, const char *ref);

/* The job has ended. */
void ft_known_jobs_ended (FtKnownJobs *known, const char *ref, FtJobEnd end, guint tasks);
/* FALSE: not known to have ended. `end` and `tasks` may be NULL. */
gboolean ft_known_jobs_end (const FtKnownJobs *known, const char *ref, FtJobEnd *end, guint *tasks);
