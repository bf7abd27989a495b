/* A task of a job: its state, and the moves that a state machine allows between states.
 *
 * Tasks are owned by their job, which alone moves them, by ft_task_set_state() in job.h. */
#pragma once
#include <glib.h>

typedef struct _FtJob FtJob;
typedef struct _FtMachine FtMachine;
typedef struct _FtAttempt FtAttempt;

typedef enum {
  FT_TASK_UNKNOWN,  /* after a failover: may be on a machine that is not reconciled */
  FT_TASK_QUEUED,   /* on no machine */
  FT_TASK_STARTING, /* bound; the start is decided, no heartbeat shows it yet */
  FT_TASK_FETCHING,
  FT_TASK_RUNNING,
  FT_TASK_CHECKPOINTING,
  FT_TASK_FINISHED,  /* reported done, not committed yet */
  FT_TASK_DONE,      /* done and committed */
  FT_TASK_CANCELLED, /* its job was cancelled and it is on no machine */
} FtTaskState;

typedef struct {
  guint8 state; /* FtTaskState; changed by ft_task_set_state() only */
  guint8 failures;
  gint64 not_before;
  FtAttempt *attempt;         /* the binding, owned by its machine; NULL when unbound */
  FtMachine *avoided_machine; /* where it failed last; compared only */
} FtTask;

/* The state's name in log lines. */
const char *ft_task_state_name (FtTaskState state);

/* Whether a task may go from one state to the other. */
gboolean ft_task_move_allowed (FtTaskState from, FtTaskState to);
