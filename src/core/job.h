/* An open job, its tasks and what of it is to be written. */
#pragma once
#include "core/constants.h"
#include "core/task.h"
#include "core/types.h"

typedef struct _FtScheduler FtScheduler;
typedef struct _FtTeam FtTeam;

typedef enum {
  FT_JOB_WAITING, /* for jobs that it needs: nothing of it is placed, and it counts nowhere */
  FT_JOB_OPEN,
  FT_JOB_CANCELLING, /* tasks are being stopped */
  FT_JOB_ENDED,      /* final state committed; about to be freed */
} FtJobState;

struct _FtJob {
  FtScheduler *scheduler; /* borrowed; NULL in tests of the job alone */
  FtJobSpec *spec;
  FtJobState state;
  guint64 revision; /* revision of the job's row while it is open */
  FtTeam *team;
  FtTask *tasks;
  guint counts[FT_TASK_CANCELLED + 1];
  guint scan_from;          /* no queued task has a lower index */
  GHashTable *written;      /* chunks of the done-set that are in the store */
  GHashTable *dirty_chunks; /* chunks with finished, uncommitted tasks */
  GHashTable *attempts;     /* set of FtAttempt of this job, borrowed */
  gboolean write_queued;    /* waits in the scheduler's queue of jobs to write */
  guint wanted_watermark;   /* the dispatch watermark (spec->dispatch_watermark) that placed tasks need */
  gboolean watermark_in_flight;
  gint64 chunk_at; /* earliest next write of a chunk */
  gboolean final_in_flight, conflicted;
  gint64 accepted_at;
  gint64 ready_at;               /* from when it could be placed: accepted, and all that it needs done */
  gint64 deadline_at;            /* its own, or the earliest of those that need it; 0: none */
  FtPriority priority;           /* its own, or the highest of those that need it */
  gboolean dependency_cancelled; /* a job that it needs is cancelled, and so it will be */
  gint64 cancelled_at;           /* when its cancellation was committed, for all we know */
  gboolean cancellation_read;    /* from its row, not from a hint */
  gboolean guaranteed, too_late;
  gboolean begun;   /* a task of it has been placed, or was found done or on a machine */
  gboolean starved; /* it has waited to begin for as long as any may */
  const FtMachine *failed_on[FT_MISTAKEN_MACHINES]; /* different machines, the first few; compared only */
  guint n_failed_on;
  gint64 failed_after; /* longest run of a task that failed */
  gint64 not_before;
  gint64 no_room_pass; /* pass in which no machine had room */
};

/* Open, or waiting if it names jobs that it needs; ft_job_set_state() opens it then. */
FtJob *ft_job_new (FtJobSpec *spec, FtTeam *team, guint64 revision, FtTaskState initial);
void ft_job_free (FtJob *job);
gboolean ft_job_set_state (FtJob *job, FtJobState to);
const char *ft_job_state_name (FtJobState state);
guint ft_job_live (const FtJob *job); /* tasks bound to machines */
guint ft_job_finished (const FtJob *job);
void ft_job_mark_chunk_dirty (FtJob *job, guint index);
guint ft_job_chunks (const FtJob *job);
char *ft_job_chunk_bits (const FtJob *job, guint chunk);
/* The tasks that such bits name: a new array of their indexes. */
GArray *ft_job_chunk_tasks (const FtJob *job, guint chunk, const char *bits);
/* The job may have something to write. */
void ft_job_queue_write (FtJob *job);
