/* The parts of a controller, borrowed by its modules.
 *
 * A plain list: controller.c makes and owns the parts and alone changes it. A module that uses a
 * part includes that part's header, so that the order of the modules, .ci/layers.txt, shows in
 * their includes. Private to src/net. */
#pragma once
#include <glib.h>

#include "config.h"

typedef struct _FtCatalogCache FtCatalogCache;
typedef struct _FtHeartbeatQueue FtHeartbeatQueue;
typedef struct _FtHttpClient FtHttpClient;
typedef struct _FtHttpServer FtHttpServer;
typedef struct _FtJobCache FtJobCache;
typedef struct _FtLeader FtLeader;
typedef struct _FtLeadership FtLeadership;
typedef struct _FtLease FtLease;
typedef struct _FtMalformedLog FtMalformedLog;
typedef struct _FtMetrics FtMetrics;
typedef struct _FtPeers FtPeers;
typedef struct _FtPolls FtPolls;
typedef struct _FtSettingsReader FtSettingsReader;
typedef struct _FtStoreClient FtStoreClient;

/**
 * FtNode:
 * @config: what the controller was started with
 * @incarnation: drawn anew by every process
 * @answer_grace_us: answer grace period, in microseconds
 * @random: the process's random numbers
 * @lease: whether this controller may lead
 * @store: to the key-value store
 * @worker_client: to the workers, for direct commands
 * @cloud_client: to the cloud
 * @front: listens for users, workers and the balancer
 * @peer_server: listens for peers and operators
 * @metrics: counters and times
 * @malformed: messages that were refused as a whole
 * @leadership: claims, renews and gives up the lease
 * @leader: what is done while leading
 * @heartbeat_queue: worker heartbeats that wait
 * @peers: the other controllers
 * @settings: the operators' settings in force
 * @catalog_cache: the cloud's machine types
 * @polls: users' polls of open jobs
 * @job_cache: jobs that were read from the key-value store
 *
 * All are borrowed and live as long as the controller.
 */
typedef struct _FtNode {
  const FtConfig *config;
  guint64 incarnation;
  gint64 answer_grace_us;
  GRand *random;
  FtLease *lease;
  FtStoreClient *store;
  FtHttpClient *worker_client;
  FtHttpClient *cloud_client;
  FtHttpServer *front;
  FtHttpServer *peer_server;
  FtMetrics *metrics;
  FtMalformedLog *malformed;
  FtLeadership *leadership;
  FtLeader *leader;
  FtHeartbeatQueue *heartbeat_queue;
  FtPeers *peers;
  FtSettingsReader *settings;
  FtCatalogCache *catalog_cache;
  FtPolls *polls;
  FtJobCache *job_cache;
} FtNode;
