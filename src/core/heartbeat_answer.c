#include "core/heartbeat_answer.h"

#include "core/start_copies.h"
#include "core/worker_commands.h"

/* Records that the heartbeat is being answered. Returns FALSE if the answer may carry no commands: the heartbeat is not
 * the newest, or its worker has not seen a token of ours yet, or its incarnation has expired or ended. */
static gboolean
record_answer (FtMachine *machine, const FtWorkerHeartbeat *heartbeat)
{
  const FtCoreContext *context = machine->context;
  FtReachability *reachability = &machine->reachability;
  ft_reachability_answer_sent (reachability, machine->reconciled, context->now);
  if (heartbeat->incarnation != machine->incarnation)
    return FALSE;
  ft_reachability_sequence_answered (reachability, heartbeat->sequence);
  return heartbeat->sequence == machine->sequence && heartbeat->token >= context->first_worker_token
         && machine->incarnation > machine->expired_incarnation;
}

static void
add_stops_and_forgets (GArray *commands, const FtMachine *machine)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    if (ft_attempt_stop_requested (attempt) && attempt->state == FT_ATTEMPT_ON_WORKER)
      ft_worker_command_add (commands, FT_COMMAND_STOP, attempt);
    else if (machine->context->may_start && ft_worker_command_may_forget (attempt))
      ft_worker_command_add (commands, FT_COMMAND_FORGET, attempt);
  }
}

static void
add_starts (GArray *commands, const FtMachine *machine, guint64 sequence)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtAttempt *attempt = value;
    if (!ft_worker_command_wants_start (attempt))
      continue;
    attempt->sent_sequence = sequence;
    ft_worker_command_add (commands, FT_COMMAND_START, attempt);
  }
}

GArray *
ft_heartbeat_answer (FtMachineTable *table, FtPlacement *placement, const FtWorkerHeartbeat *heartbeat)
{
  GArray *commands = ft_commands_new ();
  FtMachine *machine = ft_machine_table_find (table, heartbeat->machine);
  if (machine == NULL || !record_answer (machine, heartbeat))
    return commands;
  /* The room that the heartbeat has freed is filled with starts in this same answer. */
  ft_placement_fill (placement, machine);
  /* Stop and forget commands come first, since they make room for the starts. */
  add_stops_and_forgets (commands, machine);
  add_starts (commands, machine, heartbeat->sequence);
  ft_start_copies_renew_token_if_due (machine);
  return commands;
}

guint64
ft_heartbeat_answer_token (const FtMachineTable *table, const FtWorkerHeartbeat *heartbeat)
{
  const FtMachine *machine = ft_machine_table_find (table, heartbeat->machine);
  guint64 token = machine != NULL ? machine->worker_token.current : table->context->first_worker_token;
  return MAX (token, heartbeat->token);
}
