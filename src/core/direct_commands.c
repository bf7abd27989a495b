#include "core/direct_commands.h"

#include "core/attempt_lifecycle.h"
#include "core/machine_log.h"
#include "core/start_copies.h"
#include "core/worker_commands.h"

FtCommandsAllowed
ft_direct_commands_allowed (const FtMachine *machine)
{
  if (machine->addr == NULL)
    return FT_COMMANDS_NO_ADDRESS;
  if (machine->state != FT_MACHINE_UP)
    return FT_COMMANDS_NOT_UP;
  if (!machine->reconciled)
    return FT_COMMANDS_UNRECONCILED;
  return machine->incarnation > machine->expired_incarnation ? FT_COMMANDS_ALLOWED : FT_COMMANDS_EXPIRED;
}

/* Whether a start of the attempt may be sent in a direct request. A start that was sent in the answer to a heartbeat,
 * or in a direct request that got no answer, is not sent directly again, since the first copy may still be executed. */
static gboolean
may_start_directly (const FtAttempt *attempt)
{
  return ft_machine_usable (attempt->machine) && ft_worker_command_wants_start (attempt) && attempt->sent_sequence == 0
         && attempt->direct_start != FT_DIRECT_START_UNANSWERED;
}

static FtDirectRequest *
request_to (FtMachine *machine)
{
  if (machine->requests.command_in_flight || ft_direct_commands_allowed (machine) != FT_COMMANDS_ALLOWED)
    return NULL;
  guint starts_allowed = ft_start_copies_direct_starts_allowed (machine);
  g_autoptr (GArray) commands = ft_commands_new ();
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtAttempt *attempt = value;
    if (attempt->stop == FT_ATTEMPT_STOP_REQUESTED && attempt->state == FT_ATTEMPT_ON_WORKER) {
      attempt->stop = FT_ATTEMPT_STOP_SENT;
      ft_worker_command_add (commands, FT_COMMAND_STOP, attempt);
    } else if (starts_allowed > 0 && may_start_directly (attempt)) {
      starts_allowed--;
      ft_attempt_direct_start_sent (attempt, machine->worker_token.current);
      ft_worker_command_add (commands, FT_COMMAND_START, attempt);
    }
  }
  ft_machine_log_stops (machine, commands, "a direct request");
  return commands->len > 0 ? ft_worker_command_request_new (machine, g_steal_pointer (&commands)) : NULL;
}

FtDirectRequest *
ft_direct_commands_next (FtMachineQueues *queues)
{
  FtMachine *machine;
  while ((machine = g_queue_pop_head (&queues->direct_requests)) != NULL) {
    machine->requests.direct_request_queued = FALSE;
    machine->context->examined_count++;
    FtDirectRequest *direct = request_to (machine);
    if (direct != NULL)
      return direct;
  }
  return NULL;
}

gboolean
ft_direct_commands_wanted (const FtMachine *machine)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    gboolean wants_start = attempt->state == FT_ATTEMPT_PLACED && attempt->stop == FT_ATTEMPT_STOP_NONE;
    gboolean wants_stop = !ft_attempt_has_exited (attempt) && attempt->stop == FT_ATTEMPT_STOP_REQUESTED;
    if (wants_start || wants_stop)
      return TRUE;
  }
  return FALSE;
}

static void
record_start_result (FtAttempt *attempt, const FtDirectRequest *direct, FtDirectResult result)
{
  if (result == FT_DIRECT_UNANSWERED && attempt->incarnation == direct->incarnation)
    ft_attempt_direct_start_unanswered (attempt);
  else
    ft_attempt_direct_start_answered (attempt);
  /* The worker has refused all commands of the request, so this start will never be executed. */
  if (result == FT_DIRECT_CONFLICT && attempt->state == FT_ATTEMPT_PLACED && ft_attempt_stop_requested (attempt)
      && attempt->sent_sequence == 0)
    ft_attempt_end (attempt);
}

void
ft_direct_commands_apply_result (FtMachine *machine, const FtDirectRequest *direct, FtDirectResult result)
{
  for (guint i = 0; i < direct->commands->len; i++) {
    const FtCommand *command = &g_array_index (direct->commands, FtCommand, i);
    FtAttempt *attempt = ft_machine_attempt (machine, command->job, command->index, command->attempt);
    if (attempt != NULL && command->op == FT_COMMAND_START)
      record_start_result (attempt, direct, result);
  }
}
