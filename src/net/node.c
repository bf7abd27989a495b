#include "net/node.h"

#include "core/constants.h"
#include "net/admin.h"
#include "net/front.h"
#include "net/polls.h"
#include "net/worker_endpoint.h"
#include "wire/cloud.h"
#include "wire/store.h"

const char *
ft_node_leader (const FtNode *node)
{
  if (node->leader.scheduler != NULL)
    return node->config->member;
  return node->peer_group.peer_leader != NULL ? node->peer_group.peer_leader : ft_lease_holder (node->lease);
}

void
ft_node_step_down (FtNode *node, const char *why)
{
  g_message ("node %s: steps down: %s", node->config->member, why);
  ft_metrics_count (node->metrics, FT_COUNT_STEP_DOWNS);
  ft_lease_lost (node->lease, g_get_monotonic_time ());
  ft_leader_end (node);
}

void
ft_node_pump (FtNode *node)
{
  if (node->leader.scheduler != NULL)
    ft_leader_pump (node, g_get_monotonic_time ());
}

/* ---- the lease ---- */

typedef struct {
  FtNode *node;
  gint64 sent_at;
  guint term;
} LeaseRequest;

static LeaseRequest *
lease_request_new (FtNode *node)
{
  LeaseRequest *call = g_new0 (LeaseRequest, 1);
  call->node = node;
  call->sent_at = g_get_monotonic_time ();
  call->term = node->leader.term;
  return call;
}

void
ft_node_malformed (FtNode *node, FtCounter source, const char *what)
{
  gint64 now = g_get_monotonic_time ();
  ft_metrics_count (node->metrics, source);
  gint64 last = node->malformed_logged[source];
  if (last > 0 && now - last < (gint64) (FT_MALFORMED_LOG_S * FT_SECOND))
    return;
  node->malformed_logged[source] = now;
  g_warning ("node %s: a malformed %s was refused (%s: %" G_GUINT64_FORMAT ")", node->config->member, what,
             ft_metrics_name (source), ft_metrics_value (node->metrics, source));
}

static void
on_sweep (guint status, const json_t *body, gpointer data)
{
  g_autofree LeaseRequest *call = data;
  FtNode *node = call->node;
  gint64 now = g_get_monotonic_time ();
  node->leadership.sweep_in_flight = FALSE;
  gboolean more;
  g_autoptr (GArray) rows = status == 200 ? ft_store_rows (body, &more) : NULL;
  FtLeaseRows seen = { 0 };
  if (rows != NULL && ft_row_lease_parse (rows, &seen))
    ft_lease_observe (node->lease, now, &seen);
  else
    ft_lease_sweep_failed (node->lease, now);
  if (status == 200 && rows == NULL)
    ft_node_malformed (node, FT_COUNT_MALFORMED_STORE, "list of rows");
  ft_lease_rows_clear (&seen);
}

static void
on_claimed (guint status, const json_t *body, gpointer data)
{
  g_autofree LeaseRequest *call = data;
  FtNode *node = call->node;
  guint64 revision;
  if (ft_lease_state (node->lease) != FT_LEASE_ACQUIRING)
    return;
  if (status != 200 || !ft_store_revision (body, &revision)) {
    ft_lease_claim_failed (node->lease, g_get_monotonic_time ());
    return;
  }
  ft_lease_acquired (node->lease, call->sent_at, revision);
  ft_leader_begin (node, revision);
}

static void
claim (FtNode *node, gint64 now)
{
  FtLeaseClaim c = ft_lease_claim (node->lease, now);
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_FENCE, c.fence_revision);
  if (c.check_renewal)
    ft_txn_if (txn, FT_KEY_RENEWAL, c.renewal_revision);
  ft_txn_put (txn, FT_KEY_FENCE, ft_row_fence (c.token, node->config->member, node->incarnation));
  ft_txn_put (txn, FT_KEY_RENEWAL, ft_row_renewal (c.token, ft_lease_time (node->lease), FALSE));
  ft_txn_put (txn, FT_KEY_JOURNAL, ft_row_journal (c.token, 0));
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_LEASE, on_claimed, lease_request_new (node));
  json_decref (txn);
}

static void
on_renewed (guint status, const json_t *body, gpointer data)
{
  g_autofree LeaseRequest *call = data;
  FtNode *node = call->node;
  (void) body;
  if (call->term != node->leader.term)
    return;
  node->leadership.renew_in_flight = FALSE;
  if (status == 200)
    ft_lease_renewed (node->lease, call->sent_at);
  else if (status == 409)
    ft_node_step_down (node, "the fence has moved on");
  else
    ft_lease_renew_failed (node->lease, g_get_monotonic_time ());
}

static void
renew (FtNode *node, gboolean release, FtHttpDone done)
{
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_FENCE, ft_lease_fence_revision (node->lease));
  ft_txn_put (txn, FT_KEY_RENEWAL, ft_row_renewal (ft_lease_token (node->lease), ft_lease_time (node->lease), release));
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_LEASE, done, lease_request_new (node));
  json_decref (txn);
}

static void
on_released (guint status, const json_t *body, gpointer data)
{
  (void) status;
  (void) body;
  g_free (data);
}

/* Cut off from the workers while the store answers: somebody else may reach them. */
static gboolean
cut_off (const FtNode *node, gint64 now)
{
  const FtSettings *settings = &node->config->core;
  gint64 gap = (gint64) ((settings->heartbeat_s * FT_HEARTBEAT_GAP + FT_CUT_OFF_MARGIN_S) * FT_SECOND);
  /* While it answers nobody the workers ask elsewhere: after an outage a leader gave up
   * the lease that it had just renewed, and nobody led for another takeover. */
  gint64 answering = MAX (node->leader.led_since, node->leadership.answering_since);
  if (now - answering < (gint64) (FT_CUT_OFF_GRACE_S * FT_SECOND))
    return FALSE;
  /* What we did not take in while we stood still proves nothing. */
  gint64 since = MAX (answering, node->leadership.on_time_since);
  gint64 heard = MAX (since, ft_scheduler_last_heard (node->leader.scheduler));
  return node->config->peers->len > 0 && now - heard > gap
         && ft_scheduler_up (node->leader.scheduler) >= FT_CUT_OFF_MACHINES;
}

/* A controller that computes slower than before loses the race with its workers, and
 * another may not: but one that leads where none could keep up must not be followed by
 * the next for that alone, hence the time it must have led; and nobody is left to lead
 * where the others are cut off. */
static gboolean
overrun (const FtNode *node, gint64 now)
{
  return node->heartbeat_queue.overrun_since > 0
         && ft_node_peer_served (node, now - (gint64) (FT_PEER_FRESH_S * FT_SECOND), now)
         && now - node->heartbeat_queue.overrun_since > (gint64) (FT_OVERRUN_S * FT_SECOND)
         && now - node->leader.led_since > (gint64) (FT_OVERRUN_LED_S * FT_SECOND);
}

/* Why somebody else should lead; NULL: no reason known. */
static const char *
resign_reason (const FtNode *node, gint64 now)
{
  if (ft_lease_may_start (node->lease, now) && cut_off (node, now))
    return "hears from no worker";
  if (ft_lease_may_start (node->lease, now) && overrun (node, now))
    return "cannot keep up with its workers";
  return NULL;
}

/* The state service answers a peer, and not us. */
static gboolean
should_yield (const FtNode *node, gint64 now)
{
  /* Answers that were waited for while we were busy ourselves are no sign of a cut. */
  gint64 steady
      = MAX (node->leader.led_since, node->leadership.on_time_since) + (gint64) (FT_CUT_OFF_GRACE_S * FT_SECOND);
  return ft_lease_state (node->lease) == FT_LEASE_HOLDING && now > steady && ft_node_alone_unserved (node, now);
}

/* It keeps what it knows, and the workers' leases alive within its hold: the state
 * service may be out for all a second later, and then nobody would succeed it, nobody
 * stop what users have cancelled, and nobody give back machines that hang with it. */
static void
yield_leadership (FtNode *node, gint64 now)
{
  g_warning ("node %s: cannot reach the state service, which others reach: starts nothing more", node->config->member);
  ft_lease_yield (node->lease, now);
  node->leadership.yielded_at = node->peer_group.next_peer_heartbeat = now;
}

/* The peers are told as well, and look at once: a hint like any other. */
static void
resign (FtNode *node, gint64 now, const char *why)
{
  g_warning ("node %s: %s, gives the lease up", node->config->member, why);
  if (ft_lease_may_start (node->lease, now))
    renew (node, TRUE, on_released);
  ft_lease_released (node->lease, now);
  ft_leader_end (node);
  node->leadership.yielded_at = node->peer_group.next_peer_heartbeat = now;
}

static void
lease_tick (FtNode *node, gint64 now)
{
  ft_lease_tick (node->lease, now);
  if (!ft_lease_may_answer (node->lease, now)) {
    node->leadership.answering_since = now;
    if (node->leader.scheduler != NULL)
      ft_scheduler_unanswering (node->leader.scheduler, now);
  }
  if (ft_lease_sweep_due (node->lease, now) && !node->leadership.sweep_in_flight) {
    node->leadership.sweep_in_flight = TRUE;
    ft_store_client_list (node->store, FT_PREFIX_LEASE, NULL, FT_STORE_PRIORITY_LEASE, on_sweep,
                          lease_request_new (node));
  }
  if (ft_lease_acquire_due (node->lease, now) && ft_store_client_contact (node->store, now)) {
    claim (node, now);
  } else if (ft_lease_renew_due (node->lease, now) && !node->leadership.renew_in_flight) {
    node->leadership.renew_in_flight = TRUE;
    ft_lease_renew_sent (node->lease, now);
    renew (node, FALSE, on_renewed);
  }
  const char *why = node->leader.scheduler != NULL ? resign_reason (node, now) : NULL;
  if (why != NULL)
    resign (node, now, why);
  else if (node->leader.scheduler != NULL && should_yield (node, now))
    yield_leadership (node, now);
}

/* ---- the catalog ---- */

static void
on_catalog (guint status, const json_t *body, gpointer data)
{
  FtNode *node = data;
  FtCatalog *catalog = status == 200 ? ft_cloud_catalog (body) : NULL;
  node->catalog_cache.catalog_in_flight = FALSE;
  node->catalog_cache.next_catalog
      = g_get_monotonic_time () + (gint64) ((catalog != NULL ? FT_CATALOG_EVERY_S : 1) * FT_SECOND);
  if (status == 200 && catalog == NULL)
    ft_node_malformed (node, FT_COUNT_MALFORMED_CLOUD, "catalog");
  if (catalog == NULL)
    return;
  ft_catalog_unref (node->catalog_cache.catalog);
  node->catalog_cache.catalog = catalog;
  if (node->leader.scheduler != NULL)
    ft_scheduler_set_catalog (node->leader.scheduler, catalog);
}

static void
catalog_tick (FtNode *node, gint64 now)
{
  if (node->catalog_cache.catalog_in_flight || now < node->catalog_cache.next_catalog)
    return;
  node->catalog_cache.catalog_in_flight = TRUE;
  ft_http_send (node->cloud_client, "GET", node->config->cloud_addr, "/catalog", FT_BODY_CBOR, NULL, FT_CLOUD_TIMEOUT_S,
                FALSE, on_catalog, node);
}

static gboolean
on_tick (gpointer data)
{
  FtNode *node = data;
  gint64 now = g_get_monotonic_time ();
  gint64 late = node->leadership.last_tick > 0 ? now - node->leadership.last_tick - FT_TICK_MS * 1000LL : 0;
  node->leadership.last_tick = now;
  if (late > (gint64) (FT_LATE_TICK_S * FT_SECOND)) {
    node->leadership.on_time_since = now;
    g_warning ("node %s: its timers were late by %.1f s", node->config->member, (double) late / FT_SECOND);
  }
  lease_tick (node, now);
  catalog_tick (node, now);
  ft_peers_tick (node, now);
  ft_admin_tick (node, now);
  if (node->leader.scheduler != NULL)
    ft_leader_tick (node, now);
  return G_SOURCE_CONTINUE;
}

/* ---- life ---- */

FtNode *
ft_node_new (const FtConfig *config, GError **error)
{
  FtNode *node = g_new0 (FtNode, 1);
  gint64 now = g_get_monotonic_time ();
  node->config = config;
  node->random = g_rand_new ();
  node->incarnation = ((guint64) g_rand_int (node->random) << 30) ^ g_rand_int (node->random);
  node->answer_grace_us = ft_tuning_answer_grace (&config->core);
  node->lease = ft_lease_new (config->member, node->incarnation, (gint64) (FT_LEASE_S * FT_SECOND),
                              (gint64) (FT_SWEEP_S * FT_SECOND), node->answer_grace_us, g_rand_int (node->random));
  node->metrics = ft_metrics_new ();
  ft_tuning_defaults (&node->settings.tuning);
  node->store = ft_store_client_new (config);
  node->worker_client = ft_http_client_new (2, config->max_connections / 4);
  node->peer_group.peer_client = ft_http_client_new (2, 16);
  node->cloud_client = ft_http_client_new (4, 4);
  ft_budget_init (&node->leader.cloud_budget, config->core.cloud_rps * FT_CLOUD_SHARE, config->core.cloud_rps, now);
  node->peer_group.peers = g_array_new (FALSE, TRUE, sizeof (FtPeerState));
  for (guint i = 0; i < config->peers->len; i++) {
    FtPeerState view = { .peer = &g_array_index (config->peers, FtPeer, i) };
    g_array_append_val (node->peer_group.peers, view);
  }
  node->peer_group.peer_job_progress = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&node->peer_group.recent_cancellations);
  node->polls = ft_polls_new (node);
  node->job_cache = ft_job_cache_new ();
  g_queue_init (&node->heartbeat_queue.waiting_heartbeats);
  guint most = (guint) (config->max_connections * FT_SOCKET_SHARE) - FT_CONNECTIONS_PER_HOST;
  node->front = ft_http_server_new (config->listen, FT_BODY_CBOR, most, ft_front_handle, node, error);
  if (node->front != NULL)
    node->peer_server = ft_http_server_new (config->peer_listen, FT_BODY_JSON, most, ft_peers_handle, node, error);
  if (node->peer_server == NULL) {
    ft_node_free (node);
    return NULL;
  }
  node->timer = g_timeout_add (FT_TICK_MS, on_tick, node);
  on_tick (node);
  g_message ("node %s: started, users and workers on %s, mesh on %s", config->member, config->listen,
             config->peer_listen);
  return node;
}

void
ft_node_free (FtNode *node)
{
  if (node == NULL)
    return;
  if (node->timer != 0)
    g_source_remove (node->timer);
  ft_http_server_free (node->front);
  ft_worker_refuse_all (node);
  ft_http_server_free (node->peer_server);
  ft_leader_end (node);
  ft_store_client_free (node->store);
  ft_polls_free (node->polls);
  ft_http_client_free (node->worker_client);
  ft_http_client_free (node->peer_group.peer_client);
  ft_http_client_free (node->cloud_client);
  ft_lease_free (node->lease);
  ft_metrics_free (node->metrics);
  ft_catalog_unref (node->catalog_cache.catalog);
  g_array_unref (node->peer_group.peers);
  g_hash_table_unref (node->peer_group.peer_job_progress);
  ft_job_cache_free (node->job_cache);
  ft_peers_forget_cancellations (node, G_MAXINT64);
  g_free (node->peer_group.peer_leader);
  g_rand_free (node->random);
  g_free (node);
}
