/* One attempt to run a task on a machine, from its placement until its worker has removed it from its task list.
 *
 * This module holds the record of an attempt, its identity and its state. Changes that also affect the attempt's
 * machine, team or task (creating, reserving, binding, stopping and ending it) are in attempt_lifecycle.h, which is a
 * layer above jobs and machines.
 *
 * A machine owns its attempts (FtMachine.attempts); a job borrows its attempts (FtJob.attempts). */
#pragma once
#include "core/task.h"
#include "core/types.h"

typedef struct _FtTeam FtTeam;

/* Returns the words for an exit reason in log lines. */
const char *ft_exit_reason_name (FtExitReason reason);

/* The state of an attempt, as the statuses of its worker show it:
 *
 *     PLACED <----> ON_WORKER ----> EXITED ----> FORGETTABLE
 *        |                             ^
 *        +-----------------------------+
 *
 * A leader that finds an attempt of an earlier leadership sets it to ON_WORKER or EXITED at once. An attempt returns
 * from ON_WORKER to PLACED if a newer status does not show it; its start is then repeated. */
typedef enum {
  FT_ATTEMPT_PLACED,      /* the leader has placed the attempt; no status of the worker shows it */
  FT_ATTEMPT_ON_WORKER,   /* a status shows the attempt, and it has not exited */
  FT_ATTEMPT_EXITED,      /* the attempt has exited; its worker must keep the result, which is not committed yet */
  FT_ATTEMPT_FORGETTABLE, /* the attempt has exited, and its worker may remove it from its task list */
} FtAttemptState;

/* The progress of a request to stop the attempt. */
typedef enum {
  FT_ATTEMPT_STOP_NONE,      /* no stop is requested */
  FT_ATTEMPT_STOP_REQUESTED, /* the worker is to stop the attempt within `grace_s` */
  FT_ATTEMPT_STOP_SENT,      /* a direct request has carried the stop command to the worker */
} FtAttemptStop;

/* The progress of the direct requests that carried the attempt's start command. A direct request goes from the leader
 * to the worker, unlike commands in the answer to a heartbeat. A worker may execute a copy of such a request at any
 * later time, until its incarnation is over or it has seen a higher token than FtAttempt.direct_token. */
typedef enum {
  FT_DIRECT_START_NONE,       /* no direct request carried the start */
  FT_DIRECT_START_IN_FLIGHT,  /* a direct request with the start is in flight */
  FT_DIRECT_START_ANSWERED,   /* all direct requests with the start were answered; copies may still arrive */
  FT_DIRECT_START_UNANSWERED, /* a direct request with the start got no answer: the worker may execute it as long as its
                                 incarnation lasts; final */
} FtDirectStart;

struct _FtAttempt {
  guint64 id;          /* attempt number */
  FtJob *job;          /* the job, borrowed; NULL if it is not open */
  char *job_ref;       /* ref of the job, also when `job` is NULL */
  guint index;         /* index of the task within its job */
  FtMachine *machine;  /* the machine that owns the attempt */
  guint64 incarnation; /* the machine's incarnation when the attempt was created */
  FtTeam *team;        /* the job's team; NULL if the job was not open when the attempt was created */
  double cpus;         /* CPUs that the task takes */
  double gpus;         /* GPUs that the task takes */
  double memory_gb;    /* memory that the task takes, in GB */

  FtAttemptState state; /* changed by ft_attempt_set_state() only */
  gboolean bound;       /* the task is bound to this attempt: its `attempt` points here */
  gboolean reserved;    /* the attempt's resources count in the use of its machine and its team */
  gboolean listed;      /* the newest status of the worker lists the attempt */
  gboolean has_image;   /* the worker has fetched the image for the attempt */
  gboolean running;     /* the task has begun to run; stays TRUE after the exit */

  FtAttemptStop stop;         /* progress of a request to stop the attempt */
  double grace_s;             /* seconds that the worker gives the attempt to stop; set together with `stop` */
  guint64 sent_sequence;      /* sequence of the heartbeat whose answer carried the start command; 0: none */
  FtDirectStart direct_start; /* changed by the ft_attempt_direct_start_*() functions only */
  guint64 direct_token;       /* the highest worker token that a direct request with the start has carried, as far as
                                 such a request may still be executed under this leadership; 0: there is none */

  gint64 placed_at;   /* when the attempt was created, in microseconds */
  gint64 running_at;  /* when the task was first seen running, in microseconds; 0: not yet */
  gint64 exited_at;   /* when the exit was reported, in microseconds; 0: not yet; set by ft_attempt_set_exited() */
  gint64 placed_pass; /* number of the placement pass that created the attempt */
};

/* Returns whether the attempt has exited. */
static inline gboolean
ft_attempt_has_exited (const FtAttempt *attempt)
{
  return attempt->state >= FT_ATTEMPT_EXITED;
}

/* Returns whether the attempt is to stop. */
static inline gboolean
ft_attempt_stop_requested (const FtAttempt *attempt)
{
  return attempt->stop != FT_ATTEMPT_STOP_NONE;
}

/* Returns whether the attempt is to stop while its worker may still execute its start: a direct request with the start
 * got no answer, and no status shows the attempt. */
static inline gboolean
ft_attempt_start_in_doubt (const FtAttempt *attempt)
{
  return attempt->state == FT_ATTEMPT_PLACED && attempt->direct_start == FT_DIRECT_START_UNANSWERED
         && ft_attempt_stop_requested (attempt);
}

/* Changes the state of the attempt; no other function does. Returns FALSE and changes nothing if the transition is not
 * allowed. */
gboolean ft_attempt_set_state (FtAttempt *attempt, FtAttemptState to);

/* Moves the attempt to FT_ATTEMPT_EXITED, since its worker has reported its exit. `now` is in microseconds. */
void ft_attempt_set_exited (FtAttempt *attempt, gint64 now);

/* Frees the attempt. Only the machine's table of attempts calls this; other modules use ft_attempt_end(). */
void ft_attempt_free (FtAttempt *attempt);

/* Hashes the identity of an attempt, for GHashTable. The identity consists of the attempt number, the job's ref and the
 * task's index: all tasks of a gang start under one attempt number, and several of them may be on one machine. */
guint ft_attempt_hash (gconstpointer key);

/* Returns whether two attempts have the same identity, for GHashTable. */
gboolean ft_attempt_equal (gconstpointer first, gconstpointer second);

/* Cancels the request to stop the attempt. */
void ft_attempt_clear_stop (FtAttempt *attempt);

/* Records that a direct request with the attempt's start is being sent under that worker token. */
void ft_attempt_direct_start_sent (FtAttempt *attempt, guint64 token);

/* Records the answer to the direct request with the attempt's start: the worker has executed or refused it. */
void ft_attempt_direct_start_answered (FtAttempt *attempt);

/* Records that this leader does not know which direct requests have carried the start of an attempt that a status has
 * shown. `token`: the highest worker token of this leadership that they may have carried; 0: an earlier leadership has
 * sent them, so that the worker refuses all copies of them. */
void ft_attempt_direct_start_unknown (FtAttempt *attempt, guint64 token);

/* Returns the fencing token of the leadership that has created the attempt with that number. */
guint64 ft_attempt_number_token (guint64 id);
