#include "core/worker_heartbeats.h"

#include "core/attempt_lifecycle.h"
#include "core/attempt_reports.h"
#include "core/interruption_notice.h"
#include "core/machine_log.h"

/* ---- identity and incarnation ---- */

FtMachine *
ft_worker_heartbeats_machine (FtWorkerHeartbeats *heartbeats, const FtWorkerHeartbeat *heartbeat)
{
  FtMachine *machine = ft_machine_table_find (heartbeats->machine_table, heartbeat->machine);
  if (machine == NULL) {
    /* The machine was launched by a former leader, or by a request that was executed late. The registry does not name
     * it, so it has never been sent a command and holds no task. */
    machine = ft_machine_table_add (heartbeats->machine_table, heartbeat->machine, heartbeat->addr, heartbeat->type,
                                    heartbeat->zone, heartbeat->spot);
    ft_machine_set_reconciled (machine);
    g_message ("machine %s: added (first heartbeat)", machine->name);
  }
  return machine;
}

/* Returns FT_HEARTBEAT_APPLIED if the status is to be applied. Otherwise it is older than the machine's newest one, or
 * is a copy from before the worker saw the highest of our tokens that it has shown. A copy may arrive more than a lease
 * time after it was sent. */
static FtHeartbeatOutcome
examine (const FtMachine *machine, const FtWorkerHeartbeat *heartbeat)
{
  if (heartbeat->incarnation < machine->incarnation)
    return FT_HEARTBEAT_FORMER_INCARNATION;
  if (heartbeat->incarnation <= machine->expired_incarnation)
    return FT_HEARTBEAT_EXPIRED_INCARNATION;
  if (heartbeat->incarnation == machine->incarnation && heartbeat->sequence <= machine->sequence)
    return FT_HEARTBEAT_OLDER;
  return heartbeat->token < machine->worker_token.shown ? FT_HEARTBEAT_FORMER_TOKEN : FT_HEARTBEAT_APPLIED;
}

static void
begin_incarnation (FtMachine *machine, guint64 incarnation, gboolean is_heartbeat)
{
  FtReachability *reachability = &machine->reachability;
  gint64 now = machine->context->now;
  if (machine->incarnation != 0)
    ft_attempt_end_incarnation (machine);
  ft_reachability_new_incarnation (reachability, now);
  g_message ("machine %s: %s %" G_GUINT64_FORMAT " (first shown by %s; its lease is reckoned until %.1f s from now)",
             machine->name, machine->incarnation != 0 ? "new incarnation" : "incarnation", incarnation,
             is_heartbeat ? "a heartbeat" : "the answer to a command",
             (double) (reachability->lease_from + ft_reachability_lease_us (machine->context) - now) / FT_SECOND);
  machine->incarnation = incarnation;
  machine->fitness.start_unanswered = FALSE;
}

/* ---- reachability ---- */

/* Records that a status has arrived: the machine becomes UP if it was booting or silent. */
static void
record_contact (FtMachine *machine, gboolean is_heartbeat)
{
  FtCoreContext *context = machine->context;
  ft_reachability_status_received (&machine->reachability, is_heartbeat, context->now);
  ft_zone_reported (machine->zone_view, context->now);
  if (machine->state != FT_MACHINE_BOOTING && machine->state != FT_MACHINE_SILENT)
    return;
  if (machine->state == FT_MACHINE_BOOTING)
    machine->idle_since = context->now;
  ft_machine_set_state (machine, FT_MACHINE_UP, "heartbeat");
  context->placement_due = TRUE;
}

/* Determines whether our answers reach the machine. If an answer has arrived, the next heartbeat shows its effects: our
 * token, and the tasks that the answer started. A single lost packet has the same effect as an answer that does not
 * arrive, so only several heartbeats in a row count. */
static void
update_receiving (FtMachine *machine, const FtWorkerHeartbeat *heartbeat)
{
  const FtCoreContext *context = machine->context;
  gboolean missing = machine->reachability.answered > 0 && heartbeat->token < context->first_worker_token;
  gboolean expected = FALSE;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    gboolean sent = attempt->sent_sequence > 0 && attempt->sent_sequence < heartbeat->sequence;
    expected |= sent;
    missing |= sent && attempt->state == FT_ATTEMPT_PLACED;
  }
  if (ft_reachability_update_acknowledgements (&machine->reachability, missing, expected, context->now))
    g_message ("machine %s: not receiving our answers (%u heartbeats in a row acknowledge none)", machine->name,
               machine->reachability.unacknowledged);
}

/* ---- contents of a status ---- */

/* Applies the task list of a status that shows our token. Earlier task lists do not count, since the worker could still
 * execute a command of the former leader after it sent them. */
static void
apply_acknowledged_status (FtWorkerHeartbeats *heartbeats, FtMachine *machine, const FtWorkerHeartbeat *heartbeat,
                           gboolean is_heartbeat)
{
  FtCoreContext *context = heartbeats->context;
  if (ft_reachability_token_acknowledged (&machine->reachability))
    context->placement_due = TRUE;
  ft_worker_token_record (&machine->worker_token, heartbeat->token);
  context->last_acknowledged_at = context->now;
  if (!machine->reconciled) {
    ft_machine_set_reconciled (machine);
    g_message ("machine %s: reconciled (it has reported its tasks under our token)", machine->name);
  }
  ft_attempt_reports_apply (heartbeats->machine_table, heartbeats->job_table, machine, heartbeat, is_heartbeat);
}

FtHeartbeatOutcome
ft_worker_heartbeats_apply (FtWorkerHeartbeats *heartbeats, FtMachine *machine, const FtWorkerHeartbeat *heartbeat,
                            gboolean is_heartbeat)
{
  FtCoreContext *context = heartbeats->context;
  FtHeartbeatOutcome outcome = examine (machine, heartbeat);
  if (is_heartbeat)
    ft_machine_log_heartbeat (machine, outcome);
  if (outcome != FT_HEARTBEAT_APPLIED)
    return outcome;
  if (heartbeat->incarnation > machine->incarnation)
    begin_incarnation (machine, heartbeat->incarnation, is_heartbeat);
  machine->sequence = heartbeat->sequence;
  ft_machine_set_addr (machine, heartbeat->addr);
  record_contact (machine, is_heartbeat);
  if (heartbeat->token >= context->first_worker_token)
    apply_acknowledged_status (heartbeats, machine, heartbeat, is_heartbeat);
  if (is_heartbeat) {
    update_receiving (machine, heartbeat);
    ft_interruption_notice_apply (machine, heartbeat->notice_s, heartbeats->spot_risk);
  } else {
    ft_reachability_command_arrived (&machine->reachability);
  }
  return FT_HEARTBEAT_APPLIED;
}
