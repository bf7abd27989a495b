/* The jobs that this leader knows to be open: how they are added, wait for their dependencies, are cancelled and
 * end.
 *
 * The table owns the jobs, the graph of their dependencies, and the queue of jobs that may have changes to write. The
 * jobs fill that queue, and the write queue empties it. The table also keeps the refs of jobs that ended recently: the
 * watch may deliver an older event of a job after its end, and such an event must not add the job again.
 *
 * The scheduler calls the table for rows that were read and for cancellations that peers report. The write queue calls
 * it when the end of a job is committed. */
#pragma once
#include "core/context.h"
#include "core/dependency.h"
#include "core/job.h"
#include "core/quota.h"
#include "core/recent_map.h"

/* Called when a job has ended and is about to be freed. The callee must drop its pointers to the job. */
typedef void (*FtJobRemoved) (FtJob *job, gpointer data);

typedef struct {
  FtCoreContext *context;          /* borrowed */
  const FtQuota *quota;            /* borrowed */
  GHashTable *jobs;                /* ref -> FtJob, owned */
  FtRecentMap *ended_jobs;         /* ref -> FtJobEnd, of jobs whose end this leader has committed or read */
  FtDependencyGraph *dependencies; /* dependency graph of the open jobs, owned */
  GQueue pending_writes;           /* FtJob that may have a change to write, borrowed from `jobs` */
  guint open_tasks;                /* number of tasks of all open jobs */
  FtJobRemoved removed;            /* called before an ended job is freed */
  gpointer removed_data;           /* passed to `removed` */
} FtJobTable;

/* Initializes an empty table. It borrows the pointers, which must outlive it. The table calls `removed` with
 * `removed_data` before it frees a job that has ended. */
void ft_job_table_init (FtJobTable *table, FtCoreContext *context, const FtQuota *quota, FtJobRemoved removed,
                        gpointer removed_data);
/* Frees all jobs. The machines must have been freed before, since their attempts point to jobs. */
void ft_job_table_clear (FtJobTable *table);

/* Returns the open job of that ref, borrowed; NULL if no such job is known to be open. */
FtJob *ft_job_table_find (const FtJobTable *table, const char *ref);

/* Adds an open job. Takes ownership of the spec, and frees it if the job is already known or has ended. `revision` is
 * that of the job's state row. `initial` is the state of its tasks: FT_TASK_UNKNOWN if they may run on machines that
 * are not reconciled, otherwise FT_TASK_QUEUED. `wall_ms` is the present time of day in milliseconds, from which the
 * table computes the job's age. */
void ft_job_table_add (FtJobTable *table, FtJobSpec *spec, guint64 revision, FtTaskState initial, gint64 wall_ms);

/* Marks the tasks that a stored chunk of the job's done-set names as done. Returns FALSE if the job is not open: the
 * chunk is left over from a job that ended. */
gboolean ft_job_table_load_done (FtJobTable *table, const char *ref, guint chunk, const char *bits);

/* Cancels the job, since the row of its cancellation was read from the store. `at` is the time of the commit, in
 * microseconds. */
void ft_job_table_cancellation_read (FtJobTable *table, const char *ref, gint64 at);

/* Cancels the job, since a peer reports it as cancelled. The report is advisory: the job's tasks are stopped, but its
 * rows stay in the store until the row of the cancellation has been read. */
void ft_job_table_advisory_cancellation (FtJobTable *table, const char *ref);

/* Cancels the job: none of its tasks is started any more, and its attempts are stopped. `at` is the time at which the
 * cancellation was committed, as far as is known, in microseconds. */
void ft_job_table_cancel (FtJobTable *table, FtJob *job, gint64 at);

/* Ends and frees a job whose end is committed to the store. Attempts of the job that are still on machines are
 * stopped. */
void ft_job_table_end (FtJobTable *table, FtJob *job, FtJobEnd end);

/* Returns the ref of a job that other jobs depend on and whose state is not known, so that its state row has to be
 * read. If the row shows an end, the caller reports it with ft_job_table_end_read(). The ref is borrowed until the next
 * call; NULL if no row is to be read now. */
const char *ft_job_table_next_unread (FtJobTable *table);

/* Records the end of a job that is not open, as its state row shows it. `at` is the time of the end in microseconds; 0
 * if the job ended long ago. */
void ft_job_table_end_read (FtJobTable *table, const char *ref, FtJobEnd end, gint64 at);
