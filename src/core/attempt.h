/* One attempt to run a task on a machine, from its start until its worker has forgotten it.
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

struct _FtAttempt {
  guint64 id;
  FtJob *job; /* NULL: the job is not open (any more) */
  char *job_ref;
  guint index;
  FtMachine *machine;
  guint64 incarnation;
  gboolean bound;    /* task->attempt is this */
  gboolean reserved; /* counted in the machine's and the team's use */
  FtTeam *team;
  double cpus, gpus, memory_gb;
  gboolean shown, listed, exited, running, has_image;
  gboolean stop_wanted, stop_sent, forget_ok;
  double grace_s;
  guint64 sent_sequence; /* report whose answer carried the start; 0: none */
  gboolean by_direct;    /* a direct start was sent; a copy of it may come late */
  gint64 exited_at;
  gboolean direct_in_flight;  /* a direct start is on its way */
  gboolean direct_unanswered; /* a direct start may still be executed, late */
  gint64 placed_at, running_at, placed_pass;
};

/* A new attempt on the machine, owned by it. `job` is NULL if the job is not open. */
FtAttempt *ft_attempt_new (FtMachine *machine, FtJob *job, const char *ref, guint index, guint64 id);

/* Called by the machine's table of attempts; others end an attempt by ft_attempt_end(). */
void ft_attempt_free (FtAttempt *attempt);

/* The tasks of a gang start under one attempt number, several of them perhaps on one machine: an
 * attempt is identified by its number, its job's ref and its task's index. For GHashTable. */
guint ft_attempt_hash (gconstpointer key);
gboolean ft_attempt_equal (gconstpointer first, gconstpointer second);

/* Counts the attempt in what its machine and its team use, and no longer; both may be repeated. */
void ft_attempt_reserve (FtAttempt *attempt);
void ft_attempt_release (FtAttempt *attempt);

/* Makes it the attempt of its task, which has none, and moves the task to `state`. */
void ft_attempt_bind (FtAttempt *attempt, FtTaskState state);

/* The worker is to stop the attempt within `grace_s` seconds. A longer grace than that of an
 * earlier call is ignored. */
void ft_attempt_want_stop (FtAttempt *attempt, double grace_s);

/* The attempt is known to be over, without a result that is still needed: gives its resources and its task
 * back. Frees it unless its worker still lists its exit. */
void ft_attempt_end (FtAttempt *attempt);
