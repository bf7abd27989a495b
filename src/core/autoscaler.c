#include "core/autoscaler.h"

#include "core/cloud_calls.h"
#include "core/cloud_inventory.h"
#include "core/scale_in.h"
#include "core/scale_out.h"

void
ft_autoscaler_init (FtAutoscaler *autoscaler)
{
  ft_cloud_pools_init (&autoscaler->pools);
  autoscaler->eviction.context = autoscaler->context;
  autoscaler->eviction.machine_table = autoscaler->machine_table;
  autoscaler->eviction.job_table = autoscaler->job_table;
  autoscaler->eviction.recovery = autoscaler->recovery;
}

void
ft_autoscaler_clear (FtAutoscaler *autoscaler)
{
  ft_cloud_pools_clear (&autoscaler->pools);
}

/* Whether the autoscaler may judge the size of the fleet. After a failover it waits until every machine has had time to
 * send a heartbeat. It does not wait longer for machines that are not reconciled, so that a few of them do not prevent
 * launches. */
static gboolean
fleet_is_known (const FtAutoscaler *autoscaler)
{
  const FtCoreContext *context = autoscaler->context;
  double heartbeats_s = context->settings->heartbeat_s * FT_HEARTBEAT_GAP_INTERVALS + FT_WORKER_TIMEOUT_S;
  return ft_recovery_is_done (autoscaler->recovery)
         || context->now - context->term_began_at > ft_seconds (heartbeats_s);
}

/* Adds the time since the last call to the machine-hours of the spot machines that are up. */
static void
observe_spot_machines (FtAutoscaler *autoscaler)
{
  gint64 now = autoscaler->context->now;
  guint up = 0;
  GHashTableIter it;
  gpointer value;
  if (autoscaler->spot_observed_at > 0) {
    g_hash_table_iter_init (&it, autoscaler->machine_table->machines);
    while (g_hash_table_iter_next (&it, NULL, &value)) {
      const FtMachine *machine = value;
      up += machine->spot && machine->state == FT_MACHINE_UP;
    }
    ft_spot_risk_observe (autoscaler->spot_risk, up, (double) (now - autoscaler->spot_observed_at) / FT_SECOND);
  }
  autoscaler->spot_observed_at = now;
}

void
ft_autoscaler_tick (FtAutoscaler *autoscaler)
{
  const FtCoreContext *context = autoscaler->context;
  ft_machine_eviction_tick (&autoscaler->eviction);
  if (!context->may_start || context->now < autoscaler->next_autoscale || !fleet_is_known (autoscaler))
    return;
  autoscaler->next_autoscale = context->now + ft_seconds (FT_AUTOSCALE_EVERY_S);
  observe_spot_machines (autoscaler);
  ft_scale_out_plan (autoscaler->placement, autoscaler->machine_table, &autoscaler->pools);
  gboolean has_open_jobs = g_hash_table_size (autoscaler->job_table->jobs) > 0;
  ft_scale_in_idle (autoscaler->machine_table, &autoscaler->pools, has_open_jobs);
}

FtCloudCall *
ft_autoscaler_next_call (FtAutoscaler *autoscaler)
{
  return ft_cloud_calls_next (&autoscaler->eviction, &autoscaler->pools);
}

void
ft_autoscaler_call_done (FtAutoscaler *autoscaler, const FtCloudCall *call, FtCloudResult result)
{
  FtCoreContext *context = autoscaler->context;
  if (result != FT_CLOUD_UNANSWERED)
    context->cloud_answered_at = context->now;
  if (call->op == FT_CLOUD_SCALE_IN)
    ft_cloud_calls_return_done (autoscaler->machine_table, call, result);
  else if (ft_cloud_calls_launch_done (autoscaler->machine_table, &autoscaler->pools, call, result))
    autoscaler->next_autoscale = context->now;
}

void
ft_autoscaler_listed (FtAutoscaler *autoscaler, const GArray *list)
{
  FtCoreContext *context = autoscaler->context;
  context->cloud_answered_at = context->now;
  if (!ft_recovery_is_loaded (autoscaler->recovery))
    return; /* the registry has not been read: a listed machine may run tasks */
  ft_cloud_inventory_apply (autoscaler->machine_table, autoscaler->recovery, list);
}
