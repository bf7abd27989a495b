/* One attempt to run a task on a machine, from its start to the end of what its worker keeps of it. */
#pragma once
#include "core/task.h"
#include "core/types.h"

typedef struct _FtScheduler FtScheduler;
typedef struct _FtTeam FtTeam;

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
  gboolean done;              /* exited with a result, which its worker keeps */
  gboolean direct_in_flight;  /* a direct start is on its way */
  gboolean direct_unanswered; /* a direct start may still be executed, late */
  gint64 placed_at, running_at, placed_pass;
};

FtAttempt *ft_attempt_new (FtMachine *machine, FtJob *job, const char *ref, guint index, guint64 id);
void ft_attempt_reserve (FtAttempt *attempt);
void ft_attempt_release (FtAttempt *attempt);
void ft_attempt_bind (FtAttempt *attempt, FtTaskState state);
void ft_attempt_want_stop (FtAttempt *attempt, double grace_s);
/* The attempt is known to be over, without a result; frees it unless its exit is still listed. */
void ft_attempt_end (FtScheduler *scheduler, FtAttempt *attempt);
