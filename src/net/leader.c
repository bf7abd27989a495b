#include "net/leader.h"

#include "core/constants.h"
#include "core/duration.h"
#include "core/lease.h"
#include "net/catalog_cache.h"
#include "net/leader_batches.h"
#include "net/leader_cloud.h"
#include "net/leader_commands.h"
#include "net/leader_dependencies.h"
#include "net/leader_recovery.h"
#include "net/leader_request.h"
#include "net/leader_rows.h"
#include "net/leader_watch.h"
#include "net/metrics.h"
#include "net/settings_reader.h"
#include "net/store_client.h"

struct _FtLeader {
  FtLeaderTerm term;
  gint64 next_scheduler_tick; /* monotonic, microseconds */
  FtLeaderRows *rows;
  FtLeaderWatch *watch;
  FtLeaderBatches *batches;
  FtLeaderCloud *cloud;
  FtLeaderCommands *commands;
  FtLeaderDependencies *dependencies;
};

/* ---- construction ---- */

static void
on_progress (gpointer data)
{
  ft_leader_run_actions (data, g_get_monotonic_time ());
}

FtLeader *
ft_leader_new (FtNode *node, gint64 now)
{
  FtLeader *leader = g_new0 (FtLeader, 1);
  FtLeaderTerm *term = &leader->term;
  term->node = node;
  term->progress = on_progress;
  term->progress_data = leader;
  leader->rows = ft_leader_rows_new (term);
  leader->watch = ft_leader_watch_new (term, leader->rows);
  leader->batches = ft_leader_batches_new (term);
  leader->cloud = ft_leader_cloud_new (term, now);
  leader->commands = ft_leader_commands_new (term);
  leader->dependencies = ft_leader_dependencies_new (term);
  return leader;
}

void
ft_leader_free (FtLeader *leader)
{
  if (leader == NULL)
    return;
  ft_leader_request_drop_retries (&leader->term);
  ft_leader_dependencies_free (leader->dependencies);
  ft_leader_commands_free (leader->commands);
  ft_leader_cloud_free (leader->cloud);
  ft_leader_batches_free (leader->batches);
  ft_leader_watch_free (leader->watch);
  ft_leader_rows_free (leader->rows);
  g_free (leader);
}

void
ft_leader_set_superseded (FtLeader *leader, FtLeaderSuperseded superseded, gpointer data)
{
  leader->term.superseded = superseded;
  leader->term.superseded_data = data;
}

/* ---- terms ---- */

static FtScheduler *
scheduler_new (const FtNode *node, gint64 now)
{
  FtCatalog *cached = ft_catalog_cache_get (node->catalog_cache);
  g_autoptr (FtCatalog) catalog = cached != NULL ? ft_catalog_ref (cached) : ft_catalog_new ();
  FtScheduler *scheduler = ft_scheduler_new (&node->config->core, catalog, ft_lease_worker_tokens (node->lease),
                                             node->answer_grace_us, now, g_rand_int (node->random));
  ft_scheduler_set_tuning (scheduler, ft_settings_reader_tuning (node->settings));
  return scheduler;
}

void
ft_leader_begin (FtLeader *leader, guint64 revision)
{
  const FtNode *node = leader->term.node;
  gint64 now = g_get_monotonic_time ();
  ft_leader_end (leader);
  leader->term.scheduler = scheduler_new (node, now);
  ft_metrics_count (node->metrics, FT_COUNT_TAKEOVERS);
  ft_leader_batches_begin (leader->batches, revision);
  ft_leader_cloud_begin (leader->cloud, now);
  leader->term.began_at = now;
  leader->next_scheduler_tick = now;
  ft_store_client_set_leading (node->store, TRUE);
  ft_leader_recovery_start (leader->rows, ft_leader_watch_resume, leader->watch);
}

void
ft_leader_end (FtLeader *leader)
{
  leader->term.number++;
  ft_leader_watch_end (leader->watch);
  ft_leader_commands_end (leader->commands);
  ft_leader_dependencies_end (leader->dependencies);
  ft_leader_cloud_end (leader->cloud);
  g_clear_pointer (&leader->term.scheduler, ft_scheduler_free);
  ft_store_client_set_leading (leader->term.node->store, FALSE);
}

FtScheduler *
ft_leader_scheduler (const FtLeader *leader)
{
  return leader->term.scheduler;
}

gint64
ft_leader_term_began_at (const FtLeader *leader)
{
  return leader->term.began_at;
}

guint
ft_leader_term_number (const FtLeader *leader)
{
  return leader->term.number;
}

/* ---- actions and timers ---- */

void
ft_leader_run_actions (FtLeader *leader, gint64 now)
{
  FtScheduler *scheduler = leader->term.scheduler;
  if (scheduler == NULL || !ft_scheduler_is_loaded (scheduler))
    return;
  ft_scheduler_place (scheduler, now, ft_lease_may_start (leader->term.node->lease, now));
  ft_leader_batches_commit (leader->batches, now);
  ft_leader_dependencies_read (leader->dependencies, now);
  ft_leader_commands_send (leader->commands, now);
  ft_leader_cloud_scale (leader->cloud, now);
}

void
ft_leader_tick (FtLeader *leader, gint64 now)
{
  if (leader->term.scheduler == NULL)
    return;
  ft_leader_watch_tick (leader->watch, now);
  ft_leader_cloud_tick (leader->cloud, now);
  if (now < leader->next_scheduler_tick)
    return;
  leader->next_scheduler_tick = now + ft_seconds (FT_SCHEDULER_TICK_S);
  ft_scheduler_tick (leader->term.scheduler, now, ft_lease_may_start (leader->term.node->lease, now));
  ft_leader_run_actions (leader, now);
}
