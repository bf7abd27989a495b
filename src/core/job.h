/* An open job: its lifecycle, its tasks and what of it the store does not have yet.
 *
 *     WAITING --> OPEN --> CANCELLING --> ENDED     states are only left for later ones
 *
 * Owns its spec, its tasks and the done-set: which tasks are done, in chunks that each fill one row
 * of the store. Attempts are owned by their machines and borrowed here.
 *
 * Jobs are owned by the job table, which makes, cancels and ends them; placement and attempts move
 * their tasks; the write queue writes what they have to write. A job knows none of these: that it
 * may have something to write it notes in a queue given to it. */
#pragma once
#include "core/constants.h"
#include "core/task.h"
#include "core/team.h"
#include "core/types.h"

typedef struct _FtJob FtJob;

typedef enum {
  FT_JOB_WAITING, /* for its dependencies: nothing of it is placed, and it counts nowhere */
  FT_JOB_OPEN,
  FT_JOB_CANCELLING, /* tasks are being stopped */
  FT_JOB_ENDED,      /* final state committed; about to be freed */
} FtJobState;

/* The write of a job's final state. */
typedef enum {
  FT_JOB_END_WRITE_IDLE,       /* none is on its way */
  FT_JOB_END_WRITE_IN_FLIGHT,  /* in the batch that is in flight */
  FT_JOB_END_WRITE_CONFLICTED, /* the job's row is not at the revision we know: nothing of its end and its
                                  done-set is written until the row has been read */
} FtJobEndWrite;

struct _FtJob {
  FtJobSpec *spec;
  FtJobState state; /* changed by ft_job_set_state() only */
  guint64 revision; /* of the job's row while it is open */
  FtTeam *team;     /* borrowed from the quota */
  FtTask *tasks;
  guint counts[FT_TASK_CANCELLED + 1]; /* tasks in each state */
  guint scan_from;                     /* no queued task has a lower index */
  GHashTable *attempts;                /* set of FtAttempt of this job, borrowed */

  GQueue *pending_writes;       /* of the job table, borrowed: jobs to write; NULL in tests of the job alone */
  gboolean write_queued;        /* is in `pending_writes` */
  GHashTable *written;          /* chunks of the done-set that are in the store */
  GHashTable *dirty_chunks;     /* chunks with finished, uncommitted tasks */
  gint64 next_chunk_write_at;   /* earliest next write of a chunk */
  guint wanted_watermark;       /* the dispatch watermark (spec->dispatch_watermark) that placed tasks need */
  gboolean watermark_in_flight; /* independent of the end's write: both may be in one batch */
  FtJobEndWrite end_write;      /* changed by ft_job_set_end_write() only */

  gint64 accepted_at;
  gint64 ready_at;               /* from when it could be placed: accepted, and all its dependencies done */
  gint64 deadline_at;            /* its own, or the earliest of its dependents; 0: none */
  FtPriority priority;           /* its own, or the highest of its dependents */
  gboolean dependency_cancelled; /* a dependency is cancelled, and so the job will be */
  gint64 cancelled_at;           /* when its cancellation was committed, as far as this process knows */
  gboolean cancellation_read;    /* from its row; a cancellation that was only advised proves nothing */

  gboolean guaranteed, too_late;
  gboolean begun;   /* a task of it has been placed, or was found done or on a machine */
  gboolean starved; /* it has waited to begin for as long as any may */
  const FtMachine *failed_on[FT_FAULTY_JOB_MACHINES]; /* different machines, the first few; compared only */
  guint n_failed_on;
  gint64 longest_failed_run; /* longest run of a task that failed */
  gint64 not_before;
  gint64 no_room_pass; /* pass in which no machine had room */
};

/* Open, or waiting if it names dependencies; ft_job_set_state() opens it then. Takes the spec. All
 * tasks begin in the state `initial`. `team` may be NULL. */
FtJob *ft_job_new (FtJobSpec *spec, FtTeam *team, guint64 revision, FtTaskState initial);
/* Frees the job with its spec; NULL is ignored. Its attempts must have been detached. */
void ft_job_free (FtJob *job);

/* The one place where a job's state changes. `reason` is logged. FALSE: refused, since states
 * are only left for later ones. */
gboolean ft_job_set_state (FtJob *job, FtJobState to, const char *reason);

/* The state's name as operators see it. */
const char *ft_job_state_name (FtJobState state);

/* The one place where a task's state changes. FALSE: a move that tasks do not have; refused. */
gboolean ft_task_set_state (FtJob *job, guint index, FtTaskState to);

/* Tasks that are bound to machines. */
guint ft_job_bound_tasks (const FtJob *job);

/* Tasks that are finished, committed or not. */
guint ft_job_finished_tasks (const FtJob *job);

/* ---- what is to be written ---- */

/* The job may have something to write. Cheap; may be repeated. */
void ft_job_queue_write (FtJob *job);

/* The one place where the state of the end's write changes; a repeated state is ignored. */
void ft_job_set_end_write (FtJob *job, FtJobEndWrite to);

/* How many chunks the done-set has. */
guint ft_job_chunk_count (const FtJob *job);

/* The finished tasks of a chunk as a bitmap in base64; new. */
char *ft_job_chunk_bits (const FtJob *job, guint chunk);

/* The tasks that such bits name: a new array of their indexes, of guint. */
GArray *ft_job_chunk_tasks (const FtJob *job, guint chunk, const char *bits);
