/* One attempt to run a task on a machine, from its start until its worker has forgotten it.
 *
 * The record, its identity and its state. What also changes its machine, its team or its task (making, reserving,
 * binding, stopping and ending it) is in attempt_lifecycle.h, which lies above jobs and machines.
 *
 * An attempt is owned by its machine (FtMachine.attempts) and borrowed by its job (FtJob.attempts). */
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
  FT_ATTEMPT_STOP_REQUESTED, /* its worker is to stop it within `grace_s` */
  FT_ATTEMPT_STOP_SENT,      /* the same, and a direct request has carried the stop */
} FtAttemptStop;

/* What became of direct requests that carried the start: a copy of one may be executed late. */
typedef enum {
  FT_DIRECT_START_NONE,       /* none was sent */
  FT_DIRECT_START_IN_FLIGHT,  /* one is on its way */
  FT_DIRECT_START_ANSWERED,   /* all were answered */
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

  gint64 placed_at, running_at; /* microseconds; 0: not yet */
  gint64 exited_at;             /* the same; set by ft_attempt_set_exited() */
  gint64 placed_pass;           /* placement pass that made it */
};

static inline gboolean
ft_attempt_has_exited (const FtAttempt *attempt)
{
  return attempt->state >= FT_ATTEMPT_EXITED;
}

static inline gboolean
ft_attempt_stop_requested (const FtAttempt *attempt)
{
  return attempt->stop != FT_ATTEMPT_STOP_NONE;
}

/* The one place where an attempt's state changes. FALSE: a transition that attempts do not have; refused. */
gboolean ft_attempt_set_state (FtAttempt *attempt, FtAttemptState to);

/* Its worker has reported its exit: moves it to FT_ATTEMPT_EXITED. `now` in microseconds. */
void ft_attempt_set_exited (FtAttempt *attempt, gint64 now);

/* Called by the machine's table of attempts; others end an attempt by ft_attempt_end(). */
void ft_attempt_free (FtAttempt *attempt);

/* The tasks of a gang start under one attempt number, several of them perhaps on one machine: an
 * attempt is identified by its number, its job's ref and its task's index. For GHashTable. */
guint ft_attempt_hash (gconstpointer key);

/* The same, whether two attempts have one identity. */
gboolean ft_attempt_equal (gconstpointer first, gconstpointer second);

/* Cancels the request to stop it. */
void ft_attempt_clear_stop (FtAttempt *attempt);

/* A direct request carries its start. */
void ft_attempt_direct_start_sent (FtAttempt *attempt);

/* That request was answered: no copy of it will be executed beyond what the worker has shown. */
void ft_attempt_direct_start_answered (FtAttempt *attempt);

/* An attempt of an earlier leadership, whose direct starts, if any, this process has not seen. */
void ft_attempt_direct_start_unknown (FtAttempt *attempt);
