/* A task of a job: its state, and the transitions between states that are allowed.
 *
 * A job owns its tasks. Only ft_task_set_state() in job.h changes the state of a task. */
#pragma once
#include <glib.h>

typedef struct _FtJob FtJob;
typedef struct _FtMachine FtMachine;
typedef struct _FtAttempt FtAttempt;

typedef enum {
  FT_TASK_UNKNOWN,       /* after a failover: the task may run on a machine that is not reconciled */
  FT_TASK_QUEUED,        /* the task is on no machine and waits for a placement */
  FT_TASK_STARTING,      /* the task is bound to an attempt that no status of its worker shows yet */
  FT_TASK_FETCHING,      /* the worker fetches the image, or the task waits for its gang */
  FT_TASK_RUNNING,       /* the task runs */
  FT_TASK_CHECKPOINTING, /* the task writes a checkpoint */
  FT_TASK_FINISHED,      /* a worker has reported the task as done; its result is not committed yet */
  FT_TASK_DONE,          /* the result of the task is committed */
  FT_TASK_CANCELLED,     /* its job was cancelled, and the task is on no machine */
} FtTaskState;

typedef struct {
  guint8 state;               /* FtTaskState; changed by ft_task_set_state() only */
  guint8 failures;            /* failed attempts, FT_TASK_FAILURES_MAX at most; the retry backoff grows with them */
  gint64 not_before;          /* the task is not placed before this time, in microseconds */
  FtAttempt *attempt;         /* the attempt that the task is bound to, owned by its machine; NULL: unbound */
  FtMachine *avoided_machine; /* where the task failed last; the pointer is only compared, never followed */
} FtTask;

/* Returns the name of a state as log lines show it. */
const char *ft_task_state_name (FtTaskState state);

/* Returns whether a task in state `from` may change to state `to`. */
gboolean ft_task_move_allowed (FtTaskState from, FtTaskState to);
