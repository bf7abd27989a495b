/* A controller, one per process: it makes the modules of src/net and owns them, and its timer
 * drives them. What every endpoint shares is declared here too.
 *
 * The modules, from low to high; each calls only those before it, and reports to later ones by
 * result, callback or hook:
 *   budget, metrics, malformed, http
 *   store_client, catalog_cache
 *   job_cache, polls, peers, ancestors
 *   leader (leader_*.c)
 *   leadership, node_peers
 *   the endpoints (user_api, worker_endpoint, admin), front
 *   node
 * Private to src/net, but for ft_node_new() and ft_node_free(). */
#pragma once
#include "config.h"
#include "core/lease.h"
#include "core/scheduler.h"
#include "net/budget.h"
#include "net/catalog_cache.h"
#include "net/heartbeat_queue.h"
#include "net/http.h"
#include "net/job_cache.h"
#include "net/leader.h"
#include "net/leadership.h"
#include "net/malformed.h"
#include "net/metrics.h"
#include "net/node_peers.h"
#include "net/peers.h"
#include "net/settings_reader.h"
#include "net/store_client.h"

typedef struct _FtNode FtNode;
typedef struct _FtPolls FtPolls;

struct _FtNode {
  const FtConfig *config; /* borrowed */
  guint64 incarnation;    /* drawn anew by every process */
  gint64 answer_grace_us;
  GRand *random;
  FtLease *lease;
  FtStoreClient *store;
  FtHttpClient *worker_client, *cloud_client;
  FtHttpServer *front;       /* listens for users, workers and the balancer */
  FtHttpServer *peer_server; /* listens for peers and operators */
  FtMetrics *metrics;
  FtMalformedLog *malformed;
  FtLeadership *leadership;
  FtLeader leader;
  FtHeartbeatQueue heartbeat_queue;
  FtPeers *peers;
  FtSettingsReader settings;
  FtCatalogCache *catalog_cache;
  FtPolls *polls;
  FtJobCache *job_cache;
  guint timer;
  gint64 last_tick; /* of the timer; monotonic, microseconds, 0: none yet */
};

/**
 * ft_node_new:
 * @config: borrowed for the node's life
 * @error: that of ft_http_server_new(), if an address cannot be listened on
 *
 * Starts a controller in the default main context.
 *
 * Returns: (transfer full): the controller, or NULL with @error set
 */
FtNode *ft_node_new (const FtConfig *config, GError **error);

/**
 * ft_node_free:
 * @node: (nullable) (transfer full): the controller
 *
 * Stops it: requests that wait are refused, and the lease is left to expire. The main loop must
 * not run any more.
 */
void ft_node_free (FtNode *node);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtNode, ft_node_free)

/**
 * ft_node_pump:
 *
 * Carries out what the scheduler wants now, if this controller leads: placement, commands,
 * commits, cloud calls. To be called after the scheduler was given news.
 */
void ft_node_pump (FtNode *node);

/**
 * ft_node_malformed:
 * @source: one of FT_COUNT_MALFORMED_*
 * @what: the kind of message, for the log line
 *
 * A message was refused as a whole; see ft_malformed_log_add().
 */
void ft_node_malformed (FtNode *node, FtCounter source, const char *what);

/**
 * ft_node_leader:
 *
 * Returns: (transfer none) (nullable): the member that leads, as far as this controller knows
 */
const char *ft_node_leader (const FtNode *node);
