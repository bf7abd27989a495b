#include "core/worker_commands.h"

#include "core/job.h"
#include "core/start_copies.h"

gboolean
ft_worker_command_wants_start (const FtAttempt *attempt)
{
  const FtMachine *machine = attempt->machine;
  return machine->context->may_start && machine->registered && attempt->bound
         && attempt->index < attempt->job->spec->dispatch_watermark && attempt->state == FT_ATTEMPT_PLACED
         && !ft_attempt_stop_requested (attempt) && machine->state != FT_MACHINE_TERMINATING
         && attempt->job->state == FT_JOB_OPEN;
}

/* A worker that still remembers the attempt ignores a copy of its start. A worker that has forgotten the attempt would
 * start the task again: the task would run twice, run after its cancellation, or, if it is done, exceed the team's
 * limit for a moment. */
gboolean
ft_worker_command_may_forget (const FtAttempt *attempt)
{
  return attempt->state == FT_ATTEMPT_FORGETTABLE && !ft_start_copies_possible (attempt);
}

void
ft_worker_command_add (GArray *commands, FtCommandOp op, const FtAttempt *attempt)
{
  FtCommand command = { .op = op,
                        .job = g_strdup (attempt->job_ref),
                        .index = attempt->index,
                        .attempt = attempt->id,
                        .grace_s = attempt->grace_s };
  g_array_append_val (commands, command);
}

void
ft_worker_command_add_stop (GArray *commands, const FtTaskStatus *status)
{
  FtCommand command
      = { .op = FT_COMMAND_STOP, .job = g_strdup (status->job), .index = status->index, .attempt = status->attempt };
  g_array_append_val (commands, command);
}

FtDirectRequest *
ft_worker_command_request_new (FtMachine *machine, GArray *commands)
{
  FtDirectRequest *direct = g_new0 (FtDirectRequest, 1);
  direct->machine = g_strdup (machine->name);
  direct->addr = g_strdup (machine->addr);
  direct->token = machine->worker_token.current;
  direct->incarnation = machine->incarnation;
  direct->commands = commands;
  machine->requests.command_in_flight = TRUE;
  return direct;
}

void
ft_direct_request_free (FtDirectRequest *direct)
{
  if (direct == NULL)
    return;
  g_free (direct->machine);
  g_free (direct->addr);
  if (direct->commands != NULL)
    g_array_unref (direct->commands);
  g_free (direct);
}
