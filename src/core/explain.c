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
  if (machine->fitness.drained)
    return "drained by an operator";
  if (machine->fitness.quarantined)
    return "tasks failed on it that were not to blame";
  if (machine->notice_until > 0)
    return "the cloud takes it back";
  if (!machine->reconciled)
    return "not heard from since the takeover";
  if (machine->state == FT_MACHINE_UP && !machine->registered)
    return "not yet in the roster";
  return ft_machine_usable (machine) ? "" : "not up";
}
