/* A controller: its timers, leadership and clients, and the endpoints' common
 * ground. One node per process. Private to src/net. */
#pragma once
#include "config.h"
#include "core/lease.h"
#include "core/scheduler.h"
#include "net/budget.h"
#include "net/http.h"
#include "net/job_cache.h"
#include "net/metrics.h"
#include "net/store_client.h"

typedef struct _FtNode FtNode;
typedef struct _FtPolls FtPolls;

/* What a peer said last. */
typedef struct {
  const FtPeer *peer; /* borrowed */
  gint64 heard_at;
  gboolean supports_dependencies; /* its version knows of jobs that wait for others */
  gint64 served_at;               /* when the state service last answered it, on our clock */
  gboolean in_flight;
  gint64 sent_at;
  gint64 answered_at; /* its last answer to a heartbeat of ours */
  guint refused;      /* heartbeats in a row that were refused at once */
} FtPeerState;

/* What this controller does while it leads. `term` changes whenever leading begins or ends, so
 * that answers to requests of an earlier one are told apart. */
typedef struct {
  FtScheduler *scheduler; /* NULL: this controller does not lead */
  guint term;
  gint64 led_since;
  gint64 next_scheduler_tick;
  guint64 journal_revision, journal_batch;
  guint batch_ops_most; /* changes in a batch, the journal's row included */
  gboolean batch_in_flight, list_in_flight, watch_in_flight;
  guint directs, cloud_calls, dependency_reads; /* under way */
  guint64 watch_since;                          /* revision from which changes are watched */
  gint64 cancellations_read_at;                 /* when the reading of the open jobs' rows began */
  gint64 next_list, next_batch, next_watch;
  FtBudget cloud_budget;
} FtLeader;

/* The requests and times of the lease. */
typedef struct {
  gboolean sweep_in_flight, renew_in_flight;
  gint64 last_tick;
  gint64 answering_since; /* workers got no answer of ours until then */
  gint64 on_time_since;   /* our timers were late until then */
  gint64 yielded_at;      /* when we gave the lease up; 0: never */
} FtLeadership;

/* Worker heartbeats that wait for a later turn of the main loop. */
typedef struct {
  GQueue waiting_heartbeats; /* requests */
  guint heartbeats_source, heartbeats_turn, heartbeats_in_turn;
  gint64 overrun_since; /* heartbeats wait too long since then; 0: they do not */
} FtHeartbeatQueue;

/* The other controllers, and what they have told us. */
typedef struct {
  FtHttpClient *peer_client;
  GArray *peers;     /* FtPeerState */
  char *peer_leader; /* who leads, as the peers have it */
  guint64 peer_leader_token;
  GHashTable *peer_job_progress; /* ref -> FtJobProgress of the leader's last summary */
  GQueue recent_cancellations;   /* what we have committed of late, for the peers: owned by peers.c */
  gint64 next_peer_heartbeat;
} FtPeerGroup;

/* Operators' settings in force, and their version. */
typedef struct {
  FtTuning tuning;
  guint64 settings_version;
  gint64 next_settings;
  gboolean settings_in_flight;
} FtSettingsReader;

/* The cloud's machine types. */
typedef struct {
  FtCatalog *catalog; /* NULL until known */
  gboolean catalog_in_flight;
  gint64 next_catalog;
} FtCatalogCache;

struct _FtNode {
  const FtConfig *config;
  guint64 incarnation;
  gint64 answer_grace_us;
  GRand *random;
  FtLease *lease;
  FtStoreClient *store;
  FtHttpClient *worker_client, *cloud_client;
  FtHttpServer *front, *peer_server;
  FtMetrics *metrics;
  gint64 malformed_logged[FT_COUNTERS]; /* when a malformed message of that source was logged last */
  FtLeadership leadership;
  FtLeader leader;
  FtHeartbeatQueue heartbeat_queue;
  FtPeerGroup peer_group;
  FtSettingsReader settings;
  FtCatalogCache catalog_cache;
  FtPolls *polls;
  FtJobCache *job_cache; /* what was read of jobs */
  guint timer;
};

FtNode *ft_node_new (const FtConfig *config, GError **error);
void ft_node_free (FtNode *node);

/* Moves on whatever can move: placement, commands, commits, cloud calls. */
void ft_node_pump (FtNode *node);
/* A peer that is heard was answered by the state service after that time. */
gboolean ft_node_peer_served (const FtNode *node, gint64 after, gint64 now);
/* The state service answers a peer, but not us. */
gboolean ft_node_alone_unserved (const FtNode *node, gint64 now);
/* A peer that is heard runs a version that starts jobs whatever they wait for. */
gboolean ft_node_has_older_peer (const FtNode *node, gint64 now);
/* We are leader no more. */
void ft_node_step_down (FtNode *node, const char *why);
/* A message of a worker, the cloud, the state service or a peer was refused as a whole,
 * and has changed nothing: counted, and logged now and then. */
void ft_node_malformed (FtNode *node, FtCounter source, const char *what);
/* Who leads, as far as this node knows; borrowed, or NULL. */
const char *ft_node_leader (const FtNode *node);

/* leader.c: what a leader does with the store, the workers and the cloud. */
void ft_leader_begin (FtNode *node, guint64 revision);
void ft_leader_end (FtNode *node);
void ft_leader_pump (FtNode *node, gint64 now);
void ft_leader_tick (FtNode *node, gint64 now);

/* peer.c */
void ft_peers_tick (FtNode *node, gint64 now);
void ft_peers_handle (FtHttpRequest *request, gpointer node);
/* We have committed a cancellation: our scheduler and the peers hear of it at once. */
void ft_node_job_cancelled (FtNode *node, const char *ref);
/* Drops what was committed before that time. */
void ft_peers_forget_cancellations (FtNode *node, gint64 before);
