/* An open job: its lifecycle, its tasks, and which of its changes the key-value store does not have yet.
 *
 *     WAITING --> OPEN --> CANCELLING --> ENDED     a job may skip states, but never returns to an earlier one
 *
 * A job owns its spec, its tasks and its done-set. The done-set records which tasks are done; it is divided into
 * chunks, each of which fills one row of the store. Attempts are owned by their machines and borrowed by the job.
 *
 * The job table owns the jobs: it creates, cancels and ends them. Placement and attempts change the states of their
 * tasks. The write queue writes their changes to the store. A job does not depend on these modules: when it may have
 * a change to write, it adds itself to the queue `pending_writes` that it was given. */
#pragma once
#include "core/constants.h"
#include "core/task.h"
#include "core/team.h"
#include "core/types.h"

typedef struct _FtJob FtJob;

typedef enum {
  FT_JOB_WAITING,    /* the job waits for its dependencies: its tasks are not placed and add to no demand or quota */
  FT_JOB_OPEN,       /* tasks of the job may be placed */
  FT_JOB_CANCELLING, /* the job is cancelled, and its tasks are being stopped */
  FT_JOB_ENDED,      /* the job's end is committed; the job is about to be freed */
} FtJobState;

/* The progress of the write that commits a job's end. */
typedef enum {
  FT_JOB_END_WRITE_IDLE,       /* no such write is in flight */
  FT_JOB_END_WRITE_IN_FLIGHT,  /* the write is in the batch that is in flight */
  FT_JOB_END_WRITE_CONFLICTED, /* the job's state row is at another revision than the leader knows: neither the job's
                                  end nor its done-set is written until the row has been read again */
} FtJobEndWrite;

struct _FtJob {
  FtJobSpec *spec;
  FtJobState state; /* changed by ft_job_set_state() only */
  guint64 revision; /* revision of the job's state row in the store, as the leader knows it */
  FtTeam *team;     /* borrowed from the quota */
  FtTask *tasks;
  guint counts[FT_TASK_CANCELLED + 1]; /* number of tasks in each state */
  guint scan_from;                     /* no queued task has a lower index */
  GHashTable *attempts;                /* set of FtAttempt of this job, borrowed */

  GQueue *pending_writes;       /* the job table's queue of jobs to write, borrowed; NULL in tests of a job alone */
  gboolean write_queued;        /* the job is in `pending_writes` */
  GHashTable *stored_chunks;    /* set of the indexes of the chunks that are in the store */
  GHashTable *dirty_chunks;     /* set of the indexes of the chunks with finished tasks that are not committed */
  gint64 next_chunk_write_at;   /* earliest time of the next write of a chunk, in microseconds */
  guint wanted_watermark;       /* dispatch watermark that the placed tasks need; compare spec->dispatch_watermark */
  gboolean watermark_in_flight; /* a raised watermark is in the batch that is in flight; independent of `end_write`,
                                   since both writes may be in one batch */
  FtJobEndWrite end_write;      /* changed by ft_job_set_end_write() only */

  gint64 accepted_at;            /* when the job was accepted, in microseconds */
  gint64 ready_at;               /* from when the job could be placed: accepted, and all its dependencies done */
  gint64 deadline_at;            /* the earliest deadline of the job and its dependents, in microseconds; 0: none */
  FtPriority priority;           /* the highest priority of the job and its dependents */
  gboolean dependency_cancelled; /* a dependency is cancelled, so that this job is to be cancelled too */
  gint64 cancelled_at;           /* earliest time at which the cancellation is known to be committed, in microseconds */
  gboolean cancellation_read;    /* the row of the cancellation was read from the store; a cancellation that only a peer
                                    reported does not set this */

  gboolean guaranteed; /* the job fits in its team's guaranteed share */
  gboolean too_late;   /* the job can no longer meet its deadline, and ranks behind others for a bounded time */
  gboolean begun;      /* a task of the job has been placed, or was found on a machine or done */
  gboolean starved;    /* the job has waited longer than FT_STARVED_AFTER_S to begin */
  const FtMachine *failed_on[FT_FAULTY_JOB_MACHINES]; /* the first machines on which a task of the job failed; the
                                                       pointers are only compared, never followed */
  guint n_failed_on;                                  /* number of entries in `failed_on` */
  gint64 longest_failed_run; /* the longest time that a failed task of the job had run, in microseconds */
  gint64 not_before;         /* no task of the job is placed before this time, in microseconds */
  gint64 no_room_pass;       /* number of the last placement pass in which no machine had room for the job */
};

/* Makes a job with all tasks in the state `initial`. It takes ownership of the spec and borrows `team`, which may be
 * NULL. The job waits if its spec names dependencies, and is open otherwise. */
FtJob *ft_job_new (FtJobSpec *spec, FtTeam *team, guint64 revision, FtTaskState initial);
/* Frees the job with its spec; NULL is ignored. Its attempts must have been detached before. */
void ft_job_free (FtJob *job);

/* Changes the state of the job and logs `reason`; no other function does. Returns FALSE and changes nothing if the
 * job would return to an earlier state. */
gboolean ft_job_set_state (FtJob *job, FtJobState to, const char *reason);

/* Returns the name of a state as operators see it. */
const char *ft_job_state_name (FtJobState state);

/* Changes the state of a task; no other function does. Returns FALSE and changes nothing if the transition is not
 * allowed. */
gboolean ft_task_set_state (FtJob *job, guint index, FtTaskState to);

/* Returns the number of tasks that are starting or on a machine. */
guint ft_job_bound_tasks (const FtJob *job);

/* Returns the number of tasks that are finished, whether their results are committed or not. */
guint ft_job_finished_tasks (const FtJob *job);

/* ---- writes to the store ---- */

/* Queues the job, which may have a change to write. May be repeated at little cost. */
void ft_job_queue_write (FtJob *job);

/* Changes `end_write`; no other function does. The state that the job already has is ignored. */
void ft_job_set_end_write (FtJob *job, FtJobEndWrite to);

/* Returns the number of chunks in the done-set. */
guint ft_job_chunk_count (const FtJob *job);

/* Returns the finished tasks of a chunk as a bitmap in base64; the caller frees the text. */
char *ft_job_chunk_bits (const FtJob *job, guint chunk);

/* Returns the indexes (guint) of the tasks that the bitmap `bits` of a chunk marks, as a new array. */
GArray *ft_job_chunk_tasks (const FtJob *job, guint chunk, const char *bits);
