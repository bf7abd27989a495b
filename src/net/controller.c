#include "net/controller.h"

#include <string.h>

#include "core/constants.h"
#include "core/duration.h"
#include "core/lease.h"
#include "net/admin.h"
#include "net/catalog_cache.h"
#include "net/front.h"
#include "net/heartbeat_queue.h"
#include "net/http.h"
#include "net/job_cache.h"
#include "net/leader.h"
#include "net/leadership.h"
#include "net/malformed.h"
#include "net/metrics.h"
#include "net/node_peers.h"
#include "net/peers.h"
#include "net/polls.h"
#include "net/settings_reader.h"
#include "net/store_client.h"
#include "net/worker_endpoint.h"

/* Maximum number of connections to one worker; it is small because there are thousands of workers. */
#define CONNECTIONS_PER_WORKER 2
/* FtConfig's `max_file_descriptors` divided by this is the maximum number of connections to all workers. */
#define WORKER_CONNECTIONS_DIVISOR 4
/* Maximum number of connections to the cloud; it is small because cloud calls are rare. */
#define CLOUD_CONNECTIONS 4

struct _FtController {
  FtNode node;      /* the modules, all owned by the controller except for the configuration */
  guint timer;      /* main loop source of on_tick(); 0: none */
  gint64 last_tick; /* time of the last on_tick(); monotonic, microseconds, 0: none yet */
};

/* ---- callbacks and routes ---- */

static void
on_catalog_read (FtCatalog *catalog, gpointer data)
{
  const FtNode *node = data;
  FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  if (scheduler != NULL)
    ft_scheduler_set_catalog (scheduler, catalog);
}

static void
on_settings_changed (const FtTuning *tuning, gpointer data)
{
  const FtNode *node = data;
  FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  ft_lease_set_times (node->lease, ft_seconds (tuning->lease_s), ft_seconds (tuning->sweep_s), tuning->sweep_jitter,
                      tuning->renewals_per_lease);
  if (scheduler != NULL)
    ft_scheduler_set_tuning (scheduler, tuning);
}

/* Routes the requests to the listener for peers and operators. */
static void
on_peer_request (FtHttpRequest *request, gpointer data)
{
  FtNode *node = data;
  const char *path = ft_http_path (request);
  if (strcmp (path, "/mesh/beat") == 0 && strcmp (ft_http_method (request), "POST") == 0)
    ft_peers_handle_heartbeat (node->peers, request);
  else if (g_str_has_prefix (path, "/admin/"))
    ft_admin_handle (node, request);
  else
    ft_http_respond (request, FT_HTTP_NOT_FOUND, NULL);
}

/* ---- the timer ---- */

/* Reports a late timer to the leadership module: while the process was not running, it could receive nothing. */
static void
check_lateness (FtController *controller, gint64 now)
{
  const FtNode *node = &controller->node;
  gint64 late_us = controller->last_tick > 0 ? now - controller->last_tick - FT_TICK_MS * FT_MILLISECOND : 0;
  controller->last_tick = now;
  if (late_us <= ft_seconds (FT_LATE_TICK_S))
    return;
  ft_leadership_note_stall (node->leadership, now);
  g_warning ("node %s: its timers were late by %.1f s", node->config->member, (double) late_us / FT_SECOND);
}

static gboolean
on_tick (gpointer data)
{
  FtController *controller = data;
  const FtNode *node = &controller->node;
  gint64 now = g_get_monotonic_time ();
  check_lateness (controller, now);
  ft_leadership_tick (node->leadership, now);
  ft_catalog_cache_tick (node->catalog_cache, now);
  ft_peers_tick (node->peers, now);
  ft_settings_reader_tick (node->settings, now);
  ft_leader_tick (node->leader, now);
  return G_SOURCE_CONTINUE;
}

/* ---- creation and destruction ---- */

static void
make_lease (FtNode *node)
{
  node->incarnation = ((guint64) g_rand_int (node->random) << 30) ^ g_rand_int (node->random);
  node->answer_grace_us = ft_tuning_answer_grace (&node->config->core);
  node->lease = ft_lease_new (node->config->member, node->incarnation, ft_seconds (FT_LEASE_S), ft_seconds (FT_SWEEP_S),
                              node->answer_grace_us, g_rand_int (node->random));
}

static void
make_clients (FtNode *node)
{
  node->store = ft_store_client_new (node->config);
  node->worker_client
      = ft_http_client_new (CONNECTIONS_PER_WORKER, node->config->max_file_descriptors / WORKER_CONNECTIONS_DIVISOR);
  node->cloud_client = ft_http_client_new (CLOUD_CONNECTIONS, CLOUD_CONNECTIONS);
}

static void
make_modules (FtNode *node)
{
  node->settings = ft_settings_reader_new (node->config, node->store, on_settings_changed, node);
  node->catalog_cache = ft_catalog_cache_new (node->config, node->cloud_client, node->malformed, on_catalog_read, node);
  node->peers = ft_peers_new (node->config, node->malformed, &ft_node_peers_hooks, node);
  node->polls = ft_polls_new (node);
  node->job_cache = ft_job_cache_new ();
  node->heartbeat_queue = ft_heartbeat_queue_new (&ft_worker_queue_hooks, node);
  node->leader = ft_leader_new (node, g_get_monotonic_time ());
  node->leadership = ft_leadership_new (node);
}

static gboolean
start_listening (FtNode *node, GError **error)
{
  const FtConfig *config = node->config;
  guint max_file_descriptors = (guint) (config->max_file_descriptors * FT_SOCKET_SHARE) - FT_CONNECTIONS_PER_HOST;
  node->front = ft_http_server_new (config->listen, FT_BODY_CBOR, max_file_descriptors, ft_front_handle, node, error);
  if (node->front == NULL)
    return FALSE;
  node->peer_server
      = ft_http_server_new (config->peer_listen, FT_BODY_JSON, max_file_descriptors, on_peer_request, node, error);
  return node->peer_server != NULL;
}

FtController *
ft_controller_new (const FtConfig *config, GError **error)
{
  g_autoptr (FtController) controller = g_new0 (FtController, 1);
  FtNode *node = &controller->node;
  node->config = config;
  node->random = g_rand_new ();
  make_lease (node);
  node->metrics = ft_metrics_new ();
  node->malformed = ft_malformed_log_new (config->member, node->metrics);
  make_clients (node);
  make_modules (node);
  if (!start_listening (node, error))
    return NULL;
  controller->timer = g_timeout_add (FT_TICK_MS, on_tick, controller);
  on_tick (controller);
  g_message ("node %s: started, users and workers on %s, peers and operators on %s", config->member, config->listen,
             config->peer_listen);
  return g_steal_pointer (&controller);
}

/* Frees the modules to which requests and answers refer. Must be called after the listeners and the clients
 * were freed, so that no request or answer can arrive any more. */
static void
free_modules (FtNode *node)
{
  ft_leader_free (node->leader);
  ft_heartbeat_queue_free (node->heartbeat_queue);
  ft_peers_free (node->peers);
  ft_settings_reader_free (node->settings);
  ft_catalog_cache_free (node->catalog_cache);
  ft_job_cache_free (node->job_cache);
  ft_lease_free (node->lease);
  ft_malformed_log_free (node->malformed);
  ft_metrics_free (node->metrics);
  g_rand_free (node->random);
}

/* The listeners are freed first, so that no more requests arrive. The leader's term and the clients follow, so
 * that no more answers arrive. The modules to which requests and answers refer are freed last. */
void
ft_controller_free (FtController *controller)
{
  if (controller == NULL)
    return;
  FtNode *node = &controller->node;
  if (controller->timer != 0)
    g_source_remove (controller->timer);
  ft_http_server_free (node->front);
  ft_heartbeat_queue_refuse_all (node->heartbeat_queue);
  ft_http_server_free (node->peer_server);
  ft_leadership_free (node->leadership);
  ft_store_client_free (node->store);
  ft_polls_free (node->polls);
  ft_http_client_free (node->worker_client);
  ft_http_client_free (node->cloud_client);
  free_modules (node);
  g_free (controller);
}

const FtNode *
ft_controller_node (const FtController *controller)
{
  return &controller->node;
}
