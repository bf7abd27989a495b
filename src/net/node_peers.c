#include "net/node_peers.h"

#include "core/constants.h"
#include "core/lease.h"
#include "net/leader.h"
#include "net/leadership.h"
#include "net/store_client.h"

/* ---- composing this controller's heartbeat ---- */

static void
add_job (const FtJobInfo *job, gpointer data)
{
  FtPeerHeartbeat *heartbeat = data;
  /* The jobs are for display only: followers show the tasks of an omitted job as queued. Their number is
   * limited because a peer refuses the whole heartbeat if its body is too large. */
  if ((job->done > 0 || job->running > 0) && heartbeat->jobs->len < FT_PEER_JOBS_MAX)
    ft_peer_heartbeat_add_job (heartbeat, job->ref, job->done, job->running);
}

static void
compose_heartbeat (FtPeerHeartbeat *heartbeat, gint64 now, gpointer data)
{
  const FtNode *node = data;
  gint64 served_at = ft_store_client_last_served_at (node->store);
  heartbeat->supports_dependencies = TRUE;
  heartbeat->served = served_at > 0;
  heartbeat->served_ms_ago = heartbeat->served ? (guint64) (now - served_at) / FT_MILLISECOND : 0;
  heartbeat->yields = ft_leadership_advertises_yield (node->leadership, now);
  FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  if (scheduler == NULL)
    return;
  heartbeat->token = ft_lease_token (node->lease);
  ft_scheduler_each_job (scheduler, add_job, heartbeat);
}

/* ---- handling the peers' heartbeats ---- */

static void
apply_advisory_cancellation (FtNode *node, const char *ref)
{
  FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  if (scheduler != NULL)
    ft_scheduler_advisory_cancellation (scheduler, ref, g_get_monotonic_time ());
}

static void
apply_advisory_cancellations (FtNode *node, const GPtrArray *refs)
{
  for (guint i = 0; i < refs->len; i++)
    apply_advisory_cancellation (node, g_ptr_array_index (refs, i));
  if (refs->len > 0)
    ft_leader_run_actions (node->leader, g_get_monotonic_time ());
}

static void
on_heartbeat (const FtPeerHeartbeat *heartbeat, gint64 now, gpointer data)
{
  FtNode *node = data;
  /* A controller that leads under a higher token has changed the fence row, and so has replaced this controller
   * as the leader. */
  if (ft_leader_scheduler (node->leader) != NULL && heartbeat->token > ft_lease_token (node->lease))
    ft_leadership_step_down (node->leadership, "a peer leads under a higher fencing token");
  apply_advisory_cancellations (node, heartbeat->cancellations);
  if (heartbeat->yields)
    ft_lease_suspect (node->lease, heartbeat->member, TRUE, now);
}

static void
on_suspected (const char *member, gboolean confirmed, gint64 now, gpointer data)
{
  const FtNode *node = data;
  ft_lease_suspect (node->lease, member, confirmed, now);
}

const FtPeersHooks ft_node_peers_hooks = {
  .compose = compose_heartbeat,
  .received = on_heartbeat,
  .suspected = on_suspected,
};

void
ft_node_announce_cancellation (FtNode *node, const char *ref)
{
  ft_peers_add_cancellation (node->peers, ref);
  apply_advisory_cancellation (node, ref);
  ft_leader_run_actions (node->leader, g_get_monotonic_time ());
}
