/* The scheduler's events from workers and from the cloud, and its requests to them. Each function passes the event to
 * the modules that it concerns; the order in which it calls them matters. */
#include "core/direct_commands.h"
#include "core/heartbeat_answer.h"
#include "core/scheduler_private.h"

/* ---- workers ---- */

static FtHeartbeatOutcome
apply_status (FtScheduler *scheduler, FtMachine *machine, const FtWorkerHeartbeat *heartbeat, gboolean is_heartbeat)
{
  FtHeartbeatOutcome outcome
      = ft_worker_heartbeats_apply (&scheduler->worker_heartbeats, machine, heartbeat, is_heartbeat);
  if (outcome != FT_HEARTBEAT_APPLIED)
    return outcome;
  ft_registry_add (&scheduler->registry, machine);
  if (machine->reconciled)
    ft_recovery_machine_reconciled (&scheduler->recovery, machine);
  return outcome;
}

FtHeartbeatOutcome
ft_scheduler_heartbeat (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now)
{
  scheduler->context.now = now;
  if (heartbeat->token > scheduler->context.token)
    return FT_HEARTBEAT_SUPERSEDED;
  /* Until the registry has been read, the tasks that a machine may hold are unknown. */
  if (!ft_recovery_is_loaded (&scheduler->recovery))
    return FT_HEARTBEAT_NOT_LOADED;
  if (ft_machine_table_is_gone (&scheduler->machine_table, heartbeat->machine)
      && !ft_machine_table_readmit (&scheduler->machine_table, heartbeat->machine, heartbeat->incarnation))
    return FT_HEARTBEAT_MACHINE_GONE;
  FtMachine *machine = ft_worker_heartbeats_machine (&scheduler->worker_heartbeats, heartbeat);
  FtHeartbeatOutcome outcome = apply_status (scheduler, machine, heartbeat, TRUE);
  ft_recovery_tick (&scheduler->recovery);
  return outcome;
}

void
ft_scheduler_set_may_start (FtScheduler *scheduler, gboolean may_start)
{
  scheduler->context.may_start = may_start;
}

GArray *
ft_scheduler_answer (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now, guint64 *token)
{
  scheduler->context.now = now;
  GArray *commands = ft_heartbeat_answer (&scheduler->machine_table, &scheduler->placement, heartbeat);
  if (token != NULL)
    *token = ft_heartbeat_answer_token (&scheduler->machine_table, heartbeat);
  return commands;
}

FtDirectRequest *
ft_scheduler_next_direct_request (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.now = now;
  /* A probe that gets no answer stays in flight for a long time, so commands are sent first. */
  FtDirectRequest *direct = ft_direct_commands_next (&scheduler->machine_queues);
  return direct != NULL ? direct : ft_probes_next (&scheduler->probes, &scheduler->machine_queues);
}

/* Applies the result of a direct request. The worker's status, if there is one, is applied afterwards. */
static void
apply_direct_result (FtMachine *machine, const FtDirectRequest *direct, FtDirectResult result)
{
  machine->requests.command_in_flight = FALSE;
  ft_machine_queue_direct_request (machine); /* commands may have become due while the request was in flight */
  if (result == FT_DIRECT_UNANSWERED)
    ft_probes_unanswered (machine);
  ft_direct_commands_apply_result (machine, direct, result);
}

/* Another machine has got the request, at an address that the machine had before: the request is as good as unanswered,
 * and what the other machine has executed is known from its status. */
static void
request_went_astray (FtScheduler *scheduler, FtMachine *machine, const FtDirectRequest *direct,
                     const FtWorkerHeartbeat *heartbeat)
{
  FtMachine *other = ft_machine_table_find (&scheduler->machine_table, heartbeat->machine);
  g_message ("machine %s: machine %s answers at its address (%s)", machine->name, heartbeat->machine, direct->addr);
  if (g_strcmp0 (machine->addr, direct->addr) == 0)
    ft_machine_set_addr (machine, NULL);
  apply_direct_result (machine, direct, FT_DIRECT_UNANSWERED);
  if (other != NULL && other->state != FT_MACHINE_GONE)
    apply_status (scheduler, other, heartbeat, FALSE);
}

gboolean
ft_scheduler_direct_request_done (FtScheduler *scheduler, const FtDirectRequest *direct, FtDirectResult result,
                                  const FtWorkerHeartbeat *heartbeat, gint64 now)
{
  scheduler->context.now = now;
  FtMachine *machine = ft_machine_table_find (&scheduler->machine_table, direct->machine);
  if (direct->commands->len == 0)
    scheduler->probes.in_flight--;
  if (heartbeat != NULL && heartbeat->token > scheduler->context.token)
    return FALSE;
  if (machine == NULL)
    return TRUE;
  if (heartbeat != NULL && g_strcmp0 (heartbeat->machine, machine->name) != 0) {
    request_went_astray (scheduler, machine, direct, heartbeat);
    return TRUE;
  }
  apply_direct_result (machine, direct, result);
  if (heartbeat == NULL)
    return TRUE;
  apply_status (scheduler, machine, heartbeat, FALSE);
  if (result == FT_DIRECT_CONFLICT && !machine->reconciled)
    ft_probes_retry_now (machine);
  ft_recovery_tick (&scheduler->recovery);
  return TRUE;
}

/* ---- cloud ---- */

void
ft_scheduler_machine_gone (FtScheduler *scheduler, FtMachine *machine, const char *reason)
{
  ft_machine_table_set_gone (&scheduler->machine_table, machine, reason);
  ft_recovery_machine_reconciled (&scheduler->recovery, machine);
  ft_registry_remove (&scheduler->registry, machine);
}

static void
on_machines_returned (FtScheduler *scheduler, const GPtrArray *names)
{
  for (guint i = 0; i < names->len; i++) {
    FtMachine *machine = ft_machine_table_find (&scheduler->machine_table, g_ptr_array_index (names, i));
    if (machine != NULL && machine->state != FT_MACHINE_GONE)
      ft_scheduler_machine_gone (scheduler, machine, "returned");
  }
}

FtCloudCall *
ft_scheduler_next_cloud (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.now = now;
  return ft_autoscaler_next_call (&scheduler->autoscaler);
}

void
ft_scheduler_cloud_done (FtScheduler *scheduler, const FtCloudCall *call, FtCloudResult result, gint64 now)
{
  scheduler->context.now = now;
  ft_autoscaler_call_done (&scheduler->autoscaler, call, result);
  if (call->op != FT_CLOUD_SCALE_IN)
    return;
  if (result == FT_CLOUD_OK)
    on_machines_returned (scheduler, call->names);
  ft_recovery_tick (&scheduler->recovery);
}

void
ft_scheduler_machines_listed (FtScheduler *scheduler, GArray *list, gint64 now)
{
  scheduler->context.now = now;
  ft_autoscaler_listed (&scheduler->autoscaler, list);
  if (ft_recovery_is_loaded (&scheduler->recovery))
    ft_recovery_tick (&scheduler->recovery);
}
