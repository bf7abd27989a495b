#include "core/explain.h"

const char *
ft_explain_waiting (const FtPlacement *placement, const FtJob *job)
{
  if (job->dependency_cancelled)
    return "a job that it needs is cancelled: it is being cancelled";
  if (job->state == FT_JOB_WAITING)
    return "jobs that it needs are not done";
  if (job->counts[FT_TASK_UNKNOWN] > 0)
    return "machines are being accounted for after a takeover";
  if (job->counts[FT_TASK_QUEUED] == 0)
    return "";
  if (job->team != NULL && ft_placement_quota_left (placement, job->team, job->spec) == 0)
    return "the team's limit is reached";
  if (job->no_room_pass == placement->pass)
    return "no allowed machine has room";
  return "paused after failures, or waiting for the next pass";
}

const char *
ft_explain_unused (const FtMachine *machine)
{
  static const char *const texts[] = {
    [FT_UNUSED_NONE] = "",
    [FT_UNUSED_DRAINED] = "drained by an operator",
    [FT_UNUSED_FAULTY] = "tasks failed on it that were not to blame",
    [FT_UNUSED_START_IN_DOUBT] = "a cancelled start may still be executed on it",
    [FT_UNUSED_NOTICE] = "the cloud takes it back",
    [FT_UNUSED_UNRECONCILED] = "not heard from since the takeover",
    [FT_UNUSED_NOT_UP] = "not up",
    [FT_UNUSED_UNREGISTERED] = "not yet in the roster",
    [FT_UNUSED_TYPE_UNKNOWN] = "its type is not in the cloud's catalog",
    [FT_UNUSED_EXPIRED] = "its worker lease has run out",
    [FT_UNUSED_TOKEN_UNSEEN] = "it has not acknowledged the leader's token",
    [FT_UNUSED_NOT_RECEIVING] = "it does not receive our answers",
    [FT_UNUSED_NOT_REPORTING] = "its heartbeats reach no controller",
    [FT_UNUSED_OVERDUE] = "its heartbeat is overdue",
  };
  return texts[ft_machine_unused_reason (machine)];
}
