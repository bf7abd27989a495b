/* The modules of a controller, which use each other through this list.
 *
 * controller.c makes and owns the modules, and is the only module that changes the list. A module that
 * uses another one includes that one's header, so that the includes show the order of the modules
 * (.ci/layers.txt). Private to src/net. */
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
 * @config: the settings file's contents
 * @incarnation: random number of this process
 * @answer_grace_us: answer grace period, in microseconds
 * @random: generator of this process's random numbers
 * @lease: state machine that decides whether this controller may lead
 * @store: client of the key-value store
 * @worker_client: HTTP client for direct commands to workers
 * @cloud_client: HTTP client for requests to the cloud
 * @front: HTTP server for users, workers and the load balancer
 * @peer_server: HTTP server for peers and operators
 * @metrics: counters and latencies
 * @malformed: log of messages that were refused as a whole
 * @leadership: claims, renews and releases the lease
 * @leader: the work of this controller while it leads
 * @heartbeat_queue: worker heartbeats that wait to be answered
 * @peers: the other controllers
 * @settings: the operators' settings in force
 * @catalog_cache: the cloud's machine types
 * @polls: users' polls of open jobs
 * @job_cache: jobs that were read from the key-value store
 *
 * All pointers are borrowed; their targets live as long as the controller.
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
