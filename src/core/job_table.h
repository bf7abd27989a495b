/* The jobs that this leader knows to be open: how they are added, wait for their dependencies, are
 * cancelled and end.
 *
 * Owns the jobs, the graph of their dependencies and the refs of recently ended jobs: an event of
 * the watch may be older than the end of its job, and a job ends only once. Also owns the queue of
 * jobs that may have something to write, which the jobs fill and the write queue empties.
 *
 * Called by the scheduler for rows and advice from outside, and by the write queue when the end of a
 * job is committed. */
#pragma once
#include "core/context.h"
#include "core/dependency.h"
#include "core/job.h"
#include "core/quota.h"
#include "core/recent_map.h"

/* The job has ended and is about to be freed: whoever keeps a pointer to it must drop it. */
typedef void (*FtJobRemoved) (FtJob *job, gpointer data);

typedef struct {
  FtCoreContext *context;          /* borrowed */
  const FtQuota *quota;            /* borrowed */
  GHashTable *jobs;                /* ref -> FtJob, owned */
  FtRecentMap *ended_jobs;         /* jobs whose end this leader has committed or read: ref -> FtJobEnd */
  FtDependencyGraph *dependencies; /* of the open jobs */
  GQueue pending_writes;           /* FtJob that may have something to write, borrowed from `jobs` */
  guint open_tasks;                /* tasks of all open jobs */
  FtJobRemoved removed;
  gpointer removed_data;
} FtJobTable;

/* An empty table. The pointers are borrowed and must outlive it. `removed` is called with `removed_data`. */
void ft_job_table_init (FtJobTable *table, FtCoreContext *context, const FtQuota *quota, FtJobRemoved removed,
                        gpointer removed_data);
/* Frees all jobs. Machines must have been freed before: their attempts point to jobs. */
void ft_job_table_clear (FtJobTable *table);

/* The open job of that ref; borrowed, NULL: not known to be open. */
FtJob *ft_job_table_find (const FtJobTable *table, const char *ref);

/* An open job, from its row at `revision`. Takes the spec; a job that is known, or has ended, is
 * dropped. `initial`: FT_TASK_UNKNOWN if its tasks may run unseen, else FT_TASK_QUEUED. `wall_ms`:
 * the time of day, from which the age of the job is taken. */
void ft_job_table_add (FtJobTable *table, FtJobSpec *spec, guint64 revision, FtTaskState initial, gint64 wall_ms);

/* A chunk of the job's done-set, as read from the store. FALSE: there is no such job; the chunk is
 * left over from one that ended. */
gboolean ft_job_table_load_done (FtJobTable *table, const char *ref, guint chunk, const char *bits);

/* The row of the job's cancellation was read; it was committed at `at`. */
void ft_job_table_cancellation_read (FtJobTable *table, const char *ref, gint64 at);

/* Advisory: a peer reports that the job is cancelled. Its tasks are stopped, but its rows stay until
 * the cancellation is read. */
void ft_job_table_cancellation_advised (FtJobTable *table, const char *ref);

/* Nothing of the job starts any more, and what runs is stopped. `at`: when its cancellation was
 * committed, for all we know. */
void ft_job_table_cancel (FtJobTable *table, FtJob *job, gint64 at);

/* The job's end is in the store: stops what is left of it on machines and frees it. */
void ft_job_table_end (FtJobTable *table, FtJob *job, FtJobEnd end);

/* A job that others depend on and of which nothing is known: its row is to be read, and its end, if it
 * has one, reported by ft_job_table_end_read(). Borrowed until the next call; NULL: none now. */
const char *ft_job_table_next_unread (FtJobTable *table);

/* The row of such a job says that it ended, at `at`; 0: long ago. */
void ft_job_table_end_read (FtJobTable *table, const char *ref, FtJobEnd end, gint64 at);
