/* One attempt to run a task on a machine, from its start until its worker has forgotten it.
 *
 * The type lies below jobs and machines; attempt.c is implemented on both, since an attempt takes resources of a
 * machine and holds a task.
 *
 * An attempt is owned by its machine (FtMachine.attempts) and known to its job (FtJob.attempts). It
 * is made by the placement, or when a heartbeat shows an attempt of an earlier leadership; it
 * ends when its worker reports the exit or when its machine's incarnation is over. */
#pragma once
#include "core/task.h"
#include "core/types.h"

typedef struct _FtTeam FtTeam;

/* The reason's word, for log lines. */
const char *ft_exit_reason_name (FtExitReason reason);

/* Where the attempt is, as far as its worker's statuses show:
 *
 *     PLACED <----> ON_WORKER ----> EXITED ----> FORGETTABLE
 *
 * An attempt of an earlier leadership begins as ON_WORKER or EXITED. It returns from ON_WORKER to PLACED if a newer
 * status does not show it, so that its start is repeated. */
typedef enum {
  FT_ATTEMPT_PLACED,      /* decided on; no status shows it */
  FT_ATTEMPT_ON_WORKER,   /* shown, and not exited */
  FT_ATTEMPT_EXITED,      /* its worker has to keep its result, which is not committed */
  FT_ATTEMPT_FORGETTABLE, /* exited, and its worker may forget it */
} FtAttemptState;

typedef enum {
  FT_ATTEMPT_STOP_NONE,
  FT_ATTEMPT_STOP_WANTED, /* its worker is to stop it within `grace_s` */
  FT_ATTEMPT_STOP_SENT,   /* the same, and a direct request has carried the stop */
} FtAttemptStop;

/* What became of direct requests that carried the start: a copy of one may be executed late. */
typedef enum {
  FT_DIRECT_START_NONE,       /* none was sent */
  FT_DIRECT_START_IN_FLIGHT,  /* one is on its way */
  FT_DIRECT_START_SETTLED,    /* all were answered */
  FT_DIRECT_START_UNANSWERED, /* one got no answer: it may still be executed while the incarnation lasts; final */
} FtDirectStart;

struct _FtAttempt {
  guint64 id;
  FtJob *job; /* NULL: the job is not open (any more) */
  char *job_ref;
  guint index;
  FtMachine *machine;
  guint64 incarnation; /* of the machine, when the attempt was made */
  FtTeam *team;
  double cpus, gpus, memory_gb;

  FtAttemptState state; /* changed by ft_attempt_set_state() only */
  gboolean bound;       /* task->attempt is this */
  gboolean reserved;    /* counted in the machine's and the team's use */
  gboolean listed;      /* in the task list of its worker's newest status */
  gboolean has_image;   /* its worker has fetched the image for it */
  gboolean running;     /* it has begun to run; stays after its exit */

  FtAttemptStop stop;
  double grace_s;             /* with `stop`: seconds that it is given */
  guint64 sent_sequence;      /* heartbeat whose answer carried the start; 0: none */
  FtDirectStart direct_start; /* changed by ft_attempt_direct_start_*() only */

  gint64 placed_at, running_at, exited_at;
  gint64 placed_pass; /* placement pass that made it */
};

static inline gboolean
ft_attempt_has_exited (const FtAttempt *attempt)
{
  return attempt->state >= FT_ATTEMPT_EXITED;
}

static inline gboolean
ft_attempt_stop_wanted (const FtAttempt *attempt)
{
  return attempt->stop != FT_ATTEMPT_STOP_NONE;
}

/* The one place where an attempt's state changes. FALSE: a move that attempts do not have; refused. */
gboolean ft_attempt_set_state (FtAttempt *attempt, FtAttemptState to);

/* A new attempt on the machine, owned by it. `job` is NULL if the job is not open. */
FtAttempt *ft_attempt_new (FtMachine *machine, FtJob *job, const char *ref, guint index, guint64 id);

/* Called by the machine's table of attempts; others end an attempt by ft_attempt_end(). */
void ft_attempt_free (FtAttempt *attempt);

/* The tasks of a gang start under one attempt number, several of them perhaps on one machine: an
 * attempt is identified by its number, its job's ref and its task's index. For GHashTable. */
guint ft_attempt_hash (gconstpointer key);

/* The same, whether two attempts have one identity. */
gboolean ft_attempt_equal (gconstpointer first, gconstpointer second);

/* Counts the attempt in what its machine and its team use; may be repeated. */
void ft_attempt_reserve (FtAttempt *attempt);

/* Counts it there no longer; may be repeated. */
void ft_attempt_release (FtAttempt *attempt);

/* Makes it the attempt of its task, which has none, and moves the task to `state`. */
void ft_attempt_bind (FtAttempt *attempt, FtTaskState state);

/* The worker is to stop the attempt within `grace_s` seconds. A longer grace than that of an
 * earlier call is ignored. */
void ft_attempt_want_stop (FtAttempt *attempt, double grace_s);

/* It is not to be stopped after all. */
void ft_attempt_clear_stop (FtAttempt *attempt);

/* A direct request carries its start. */
void ft_attempt_direct_start_sent (FtAttempt *attempt);

/* That request was answered: no copy of it is executed any more but what the worker has shown. */
void ft_attempt_direct_start_answered (FtAttempt *attempt);

/* That request got no answer: it may still be executed, late. */
void ft_attempt_direct_start_unanswered (FtAttempt *attempt);

/* An attempt of an earlier leadership: a direct start may have been sent, for all we know. */
void ft_attempt_direct_start_unknown (FtAttempt *attempt);

/* Its job is being cancelled: stops it, or ends it if its start never left this process. */
void ft_attempt_job_cancelled (FtAttempt *attempt);

/* Its job has ended and is about to be freed: nothing of the attempt is needed any more. */
void ft_attempt_job_ended (FtAttempt *attempt);

/* Its result is committed: ends it. */
void ft_attempt_result_committed (FtAttempt *attempt);

/* The attempt is known to be over, without a result that is still needed: gives its resources and its task
 * back. Frees it unless its worker still lists its exit. */
void ft_attempt_end (FtAttempt *attempt);
