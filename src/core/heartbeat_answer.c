#include "core/heartbeat_answer.h"

#include "core/machine_log.h"
#include "core/start_copies.h"
#include "core/start_in_doubt.h"
#include "core/worker_commands.h"

/* Whether the heartbeat may be answered, which renews the worker's lease: it has been applied, or a newer status of the
 * same incarnation has, so that the answer stops each of its tasks that may not run. Other heartbeats are late copies,
 * or contradict what this leader holds; the lease of their worker runs out. */
static gboolean
may_answer (const FtMachine *machine, const FtWorkerHeartbeat *heartbeat)
{
  return heartbeat->incarnation == machine->incarnation && machine->incarnation > machine->expired_incarnation
         && heartbeat->sequence <= machine->sequence;
}

/* Whether the answer may carry starts: the heartbeat is the newest, and its worker has seen a token of ours. */
static gboolean
may_carry_starts (const FtMachine *machine, const FtWorkerHeartbeat *heartbeat)
{
  return heartbeat->sequence == machine->sequence && heartbeat->token >= machine->context->first_worker_token;
}

static gboolean
wants_stop (const FtAttempt *attempt)
{
  return ft_attempt_stop_requested (attempt) && attempt->state == FT_ATTEMPT_ON_WORKER;
}

/* `may_forget`: the answer may carry forgets too. */
static void
add_stops_and_forgets (GArray *commands, const FtMachine *machine, gboolean may_forget)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    if (wants_stop (attempt))
      ft_worker_command_add (commands, FT_COMMAND_STOP, attempt);
    else if (may_forget && ft_worker_command_may_forget (attempt))
      ft_worker_command_add (commands, FT_COMMAND_FORGET, attempt);
  }
}

/* Stops the tasks that the heartbeat shows alive and whose job is cancelled or over, whatever the record of the machine
 * says about them. */
static void
add_stops_of_listed_tasks (GArray *commands, const FtMachine *machine, const FtJobTable *job_table,
                           const FtWorkerHeartbeat *heartbeat)
{
  for (guint i = 0; i < heartbeat->tasks->len; i++) {
    const FtTaskStatus *status = &g_array_index (heartbeat->tasks, FtTaskStatus, i);
    if (status->state == FT_TASK_PHASE_EXITED)
      continue;
    const FtJob *job = ft_job_table_find (job_table, status->job);
    if (job != NULL && job->state < FT_JOB_CANCELLING)
      continue;
    const FtAttempt *attempt = ft_machine_attempt (machine, status->job, status->index, status->attempt);
    if (attempt == NULL || !wants_stop (attempt))
      ft_worker_command_add_stop (commands, status);
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
  FtMachine *machine = ft_machine_table_find (table, heartbeat->machine);
  if (machine == NULL || !may_answer (machine, heartbeat))
    return NULL;
  if (ft_start_in_doubt_forbids_answer (machine)) {
    ft_machine_log_refused (machine, "a cancelled start may still be executed");
    return NULL;
  }
  ft_reachability_answer_sent (&machine->reachability, machine->reconciled, table->context->now);
  ft_reachability_sequence_answered (&machine->reachability, heartbeat->sequence);
  GArray *commands = ft_commands_new ();
  gboolean with_starts = may_carry_starts (machine, heartbeat);
  /* The room that the heartbeat has freed is filled with starts in this same answer. */
  if (with_starts)
    ft_placement_fill (placement, machine);
  /* Stop and forget commands come first, since they make room for the starts. */
  add_stops_and_forgets (commands, machine, with_starts && table->context->may_start);
  add_stops_of_listed_tasks (commands, machine, placement->job_table, heartbeat);
  ft_machine_log_stops (machine, commands, "an answer to a heartbeat");
  if (!with_starts)
    return commands;
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
