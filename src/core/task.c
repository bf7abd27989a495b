#include "core/task.h"

#define BIT(state) (1u << (state))
#define ON_MACHINE                                                                                                     \
  (BIT (FT_TASK_STARTING) | BIT (FT_TASK_FETCHING) | BIT (FT_TASK_RUNNING) | BIT (FT_TASK_CHECKPOINTING))

/* For each state, the states from which a task may change to it. The states on a machine can be skipped: a task may
 * pass through several of them between two heartbeats. */
static const guint allowed_from[] = {
  [FT_TASK_UNKNOWN] = 0,
  [FT_TASK_QUEUED] = BIT (FT_TASK_UNKNOWN) | ON_MACHINE,
  [FT_TASK_STARTING] = BIT (FT_TASK_QUEUED) | BIT (FT_TASK_FETCHING),
  [FT_TASK_FETCHING] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | BIT (FT_TASK_STARTING),
  [FT_TASK_RUNNING] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | BIT (FT_TASK_STARTING) | BIT (FT_TASK_FETCHING),
  [FT_TASK_CHECKPOINTING] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | BIT (FT_TASK_STARTING)
                            | BIT (FT_TASK_FETCHING) | BIT (FT_TASK_RUNNING),
  [FT_TASK_FINISHED] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | ON_MACHINE,
  [FT_TASK_DONE] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_FINISHED),
  [FT_TASK_CANCELLED] = BIT (FT_TASK_UNKNOWN) | BIT (FT_TASK_QUEUED) | ON_MACHINE | BIT (FT_TASK_FINISHED),
};

const char *
ft_task_state_name (FtTaskState state)
{
  static const char *const names[]
      = { "unknown", "queued", "starting", "fetching", "running", "checkpointing", "finished", "done", "cancelled" };
  return names[state];
}

gboolean
ft_task_move_allowed (FtTaskState from, FtTaskState to)
{
  return (allowed_from[to] & BIT (from)) != 0;
}
