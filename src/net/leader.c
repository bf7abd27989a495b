#include "net/leader.h"

#include "core/constants.h"
#include "net/leader_commands.h"
#include "net/leader_dependencies.h"
#include "net/leader_recovery.h"
#include "net/node.h"

static FtScheduler *
scheduler_new (FtNode *node, gint64 now)
{
  FtCatalog *known = ft_catalog_cache_get (node->catalog_cache);
  g_autoptr (FtCatalog) catalog = known != NULL ? ft_catalog_ref (known) : ft_catalog_new ();
  FtScheduler *scheduler = ft_scheduler_new (&node->config->core, catalog, ft_lease_token (node->lease),
                                             node->answer_grace_us, now, g_rand_int (node->random));
  ft_scheduler_set_tuning (scheduler, &node->settings.tuning);
  return scheduler;
}

void
ft_leader_begin (FtNode *node, guint64 revision)
{
  gint64 now = g_get_monotonic_time ();
  ft_leader_end (node);
  node->leader.scheduler = scheduler_new (node, now);
  ft_metrics_count (node->metrics, FT_COUNT_TAKEOVERS);
  ft_leader_batches_begin (node, revision);
  ft_leader_cloud_begin (node, now);
  node->leader.led_since = now;
  node->leader.next_scheduler_tick = now;
  ft_store_client_set_leading (node->store, TRUE);
  ft_leader_recovery_start (node, ft_leader_watch_resume);
}

void
ft_leader_end (FtNode *node)
{
  node->leader.term++;
  node->leader.watch = (FtLeaderWatch){ 0 };
  node->leader.commands_in_flight = 0;
  node->leader.dependency_reads_in_flight = 0;
  ft_leader_cloud_end (node);
  g_clear_pointer (&node->leader.scheduler, ft_scheduler_free);
  ft_store_client_set_leading (node->store, FALSE);
}

void
ft_leader_pump (FtNode *node, gint64 now)
{
  if (node->leader.scheduler == NULL || !ft_scheduler_is_loaded (node->leader.scheduler))
    return;
  ft_scheduler_place (node->leader.scheduler, now, ft_lease_may_start (node->lease, now));
  ft_leader_batches_commit (node, now);
  ft_leader_dependencies_read (node, now);
  ft_leader_commands_send (node, now);
  ft_leader_cloud_scale (node, now);
}

void
ft_leader_tick (FtNode *node, gint64 now)
{
  ft_leader_watch_tick (node, now);
  ft_leader_cloud_tick (node, now);
  if (now < node->leader.next_scheduler_tick)
    return;
  node->leader.next_scheduler_tick = now + (gint64) (FT_SCHEDULER_TICK_S * FT_SECOND);
  ft_scheduler_tick (node->leader.scheduler, now, ft_lease_may_start (node->lease, now));
  ft_leader_pump (node, now);
}
