#include "net/peers.h"

#include <string.h>

#include "core/constants.h"
#include "core/duration.h"

/* Maximum number of connections to one peer. */
#define CONNECTIONS_PER_PEER 2
/* Maximum number of connections to all peers together. */
#define CONNECTIONS_MAX 16

/* The state of one peer. All times are monotonic, in microseconds. */
typedef struct {
  const FtPeer *address;          /* its name and address; borrowed from the configuration */
  gint64 last_heartbeat_at;       /* when its last heartbeat arrived; 0: none has */
  gboolean supports_dependencies; /* whether its version supports dependencies of jobs */
  gint64 served_at;               /* when the store last answered it, on this controller's clock; 0: not known */
  gboolean in_flight;             /* whether a heartbeat to the peer awaits an answer */
  gint64 sent_at;                 /* when the last heartbeat to it was sent */
  gint64 answered_at;             /* when it last answered a heartbeat; 0: never */
  guint refusals_in_row;          /* number of connections that it refused in a row, since its last answer or timeout */
} Peer;

struct _FtPeers {
  const FtConfig *config;    /* borrowed */
  FtMalformedLog *malformed; /* borrowed */
  const FtPeersHooks *hooks; /* borrowed */
  gpointer data;             /* passed to the hooks */
  FtHttpClient *client;
  GArray *all;                 /* elements: Peer */
  char *leader;                /* owned: name of the leader with the highest fencing token so far; NULL: none yet */
  guint64 leader_token;        /* of `leader`; 0: none yet */
  GHashTable *job_progress;    /* job's ref -> FtJobProgress, from the leader's last heartbeat */
  GQueue recent_cancellations; /* elements: RecentCancellation, oldest first */
  gint64 next_heartbeat_at;    /* monotonic, microseconds */
};

/* The context of a heartbeat that awaits its answer. */
typedef struct {
  FtPeers *peers;
  guint index; /* of the peer in `all` of FtPeers */
} HeartbeatRequest;

/* A cancellation that this controller has committed recently. */
typedef struct {
  char *ref;           /* of the job; owned */
  gint64 committed_at; /* monotonic, microseconds */
} RecentCancellation;

static Peer *
peer_at (const FtPeers *peers, guint i)
{
  return &g_array_index (peers->all, Peer, i);
}

/* ---- cancellations, which are advisory: nothing depends on their arrival ---- */

static void
recent_cancellation_free (RecentCancellation *cancellation)
{
  g_free (cancellation->ref);
  g_free (cancellation);
}

static void
drop_old_cancellations (FtPeers *peers, gint64 before)
{
  RecentCancellation *oldest;
  while ((oldest = g_queue_peek_head (&peers->recent_cancellations)) != NULL && oldest->committed_at < before)
    recent_cancellation_free (g_queue_pop_head (&peers->recent_cancellations));
}

void
ft_peers_add_cancellation (FtPeers *peers, const char *ref)
{
  RecentCancellation *cancellation = g_new0 (RecentCancellation, 1);
  cancellation->ref = g_strdup (ref);
  cancellation->committed_at = g_get_monotonic_time ();
  g_queue_push_tail (&peers->recent_cancellations, cancellation);
  ft_peers_schedule_heartbeat (peers, cancellation->committed_at);
}

/* Adds the newest cancellations first, so that the oldest are omitted if there are too many. */
static void
add_cancellations (FtPeers *peers, FtPeerHeartbeat *heartbeat, gint64 now)
{
  drop_old_cancellations (peers, now - ft_seconds (FT_PEER_CANCELLATIONS_S));
  for (GList *link = peers->recent_cancellations.tail;
       link != NULL && heartbeat->cancellations->len < FT_PEER_CANCELLATIONS_MAX; link = link->prev)
    g_ptr_array_add (heartbeat->cancellations, g_strdup (((RecentCancellation *) link->data)->ref));
}

/* ---- construction ---- */

FtPeers *
ft_peers_new (const FtConfig *config, FtMalformedLog *malformed, const FtPeersHooks *hooks, gpointer data)
{
  FtPeers *peers = g_new0 (FtPeers, 1);
  peers->config = config;
  peers->malformed = malformed;
  peers->hooks = hooks;
  peers->data = data;
  peers->client = ft_http_client_new (CONNECTIONS_PER_PEER, CONNECTIONS_MAX);
  peers->all = g_array_new (FALSE, TRUE, sizeof (Peer));
  for (guint i = 0; i < config->peers->len; i++) {
    Peer peer = { .address = &g_array_index (config->peers, FtPeer, i) };
    g_array_append_val (peers->all, peer);
  }
  peers->job_progress = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_queue_init (&peers->recent_cancellations);
  return peers;
}

void
ft_peers_free (FtPeers *peers)
{
  if (peers == NULL)
    return;
  ft_http_client_free (peers->client);
  g_array_unref (peers->all);
  g_hash_table_unref (peers->job_progress);
  g_queue_clear_full (&peers->recent_cancellations, (GDestroyNotify) recent_cancellation_free);
  g_free (peers->leader);
  g_free (peers);
}

/* ---- sending ---- */

/* Whether any peer has answered within FT_PEER_ANSWER_FRESH_S and has refused no connection since. */
static gboolean
another_peer_answers (const FtPeers *peers, gint64 now)
{
  for (guint i = 0; i < peers->all->len; i++) {
    const Peer *peer = peer_at (peers, i);
    if (peer->refusals_in_row == 0 && peer->answered_at > 0
        && now - peer->answered_at < ft_seconds (FT_PEER_ANSWER_FRESH_S))
      return TRUE;
  }
  return FALSE;
}

/* Handles a connection that failed at once: the peer's host runs, but no process listens there. */
static void
on_refused (FtPeers *peers, Peer *peer, gint64 now)
{
  peer->refusals_in_row++;
  ft_peers_schedule_heartbeat (peers, MIN (peers->next_heartbeat_at, now + ft_seconds (FT_PEER_RETRY_S)));
  gboolean silent = now - peer->last_heartbeat_at > ft_seconds (FT_PEER_EVERY_S);
  if (peer->refusals_in_row >= FT_PEER_SUSPECT_REFUSALS && silent)
    peers->hooks->suspected (peer->address->member, another_peer_answers (peers, now), now, peers->data);
}

static void
on_heartbeat_answered (guint status, G_GNUC_UNUSED const json_t *body, gpointer data)
{
  g_autofree HeartbeatRequest *request = data;
  Peer *peer = peer_at (request->peers, request->index);
  gint64 now = g_get_monotonic_time ();
  gboolean answered = status != FT_HTTP_NO_ANSWER;
  gboolean timed_out = now - peer->sent_at > ft_seconds (FT_PEER_REFUSED_WITHIN_S);
  peer->in_flight = FALSE;
  if (answered)
    peer->answered_at = now;
  if (answered || timed_out)
    peer->refusals_in_row = 0; /* a network fault shows as a timeout, not as a refusal */
  else
    on_refused (request->peers, peer, now);
}

static void
send_heartbeat (FtPeers *peers, guint index, const json_t *body, gint64 now)
{
  Peer *peer = peer_at (peers, index);
  HeartbeatRequest *request = g_new0 (HeartbeatRequest, 1);
  request->peers = peers;
  request->index = index;
  peer->in_flight = TRUE;
  peer->sent_at = now;
  ft_http_send (peers->client, "POST", peer->address->addr, "/mesh/beat", FT_BODY_JSON, body, FT_PEER_TIMEOUT_S, FALSE,
                on_heartbeat_answered, request);
}

void
ft_peers_schedule_heartbeat (FtPeers *peers, gint64 at)
{
  peers->next_heartbeat_at = at;
}

void
ft_peers_tick (FtPeers *peers, gint64 now)
{
  if (now < peers->next_heartbeat_at)
    return;
  ft_peers_schedule_heartbeat (peers, now + ft_seconds (FT_PEER_EVERY_S));
  g_autoptr (FtPeerHeartbeat) heartbeat = ft_peer_heartbeat_new (peers->config->member);
  add_cancellations (peers, heartbeat, now);
  peers->hooks->compose (heartbeat, now, peers->data);
  json_t *body = ft_peer_heartbeat_body (heartbeat);
  for (guint i = 0; i < peers->all->len; i++)
    if (!peer_at (peers, i)->in_flight)
      send_heartbeat (peers, i, body, now);
  json_decref (body);
}

/* ---- receiving ---- */

/* Records the sender as the leader, and its jobs' progress. Ignores a sender with a lower token, which another
 * leader has replaced. */
static void
record_leader_summary (FtPeers *peers, const FtPeerHeartbeat *heartbeat)
{
  if (heartbeat->token < peers->leader_token)
    return;
  peers->leader_token = heartbeat->token;
  g_free (peers->leader);
  peers->leader = g_strdup (heartbeat->member);
  g_hash_table_remove_all (peers->job_progress);
  for (guint i = 0; i < heartbeat->jobs->len; i++) {
    const FtPeerHeartbeatJob *job = &g_array_index (heartbeat->jobs, FtPeerHeartbeatJob, i);
    FtJobProgress *progress = g_new0 (FtJobProgress, 1);
    progress->done = job->done;
    progress->running = job->running;
    g_hash_table_insert (peers->job_progress, g_strdup (job->ref), progress);
  }
}

static Peer *
find_peer (const FtPeers *peers, const char *member)
{
  for (guint i = 0; i < peers->all->len; i++)
    if (strcmp (peer_at (peers, i)->address->member, member) == 0)
      return peer_at (peers, i);
  return NULL;
}

void
ft_peers_handle_heartbeat (FtPeers *peers, FtHttpRequest *request)
{
  g_autoptr (FtPeerHeartbeat) heartbeat = ft_peer_heartbeat_parse (ft_http_body (request));
  Peer *peer = heartbeat != NULL ? find_peer (peers, heartbeat->member) : NULL;
  if (peer == NULL) {
    ft_malformed_log_add (peers->malformed, FT_COUNT_MALFORMED_PEERS, "heartbeat");
    ft_http_respond (request, FT_HTTP_BAD_REQUEST, NULL);
    return;
  }
  peer->last_heartbeat_at = g_get_monotonic_time ();
  peer->supports_dependencies = heartbeat->supports_dependencies;
  if (heartbeat->served)
    peer->served_at = peer->last_heartbeat_at - (gint64) heartbeat->served_ms_ago * FT_MILLISECOND;
  if (heartbeat->token > 0)
    record_leader_summary (peers, heartbeat);
  peers->hooks->received (heartbeat, peer->last_heartbeat_at, peers->data);
  ft_http_respond (request, FT_HTTP_OK, json_object ());
}

/* ---- state of the peers ---- */

static gboolean
is_live (const Peer *peer, gint64 now)
{
  return peer->last_heartbeat_at > 0 && now - peer->last_heartbeat_at <= ft_seconds (FT_PEER_FRESH_S);
}

gboolean
ft_peers_any_served_by_store (const FtPeers *peers, gint64 after, gint64 now)
{
  for (guint i = 0; i < peers->all->len; i++)
    if (is_live (peer_at (peers, i), now) && peer_at (peers, i)->served_at > after)
      return TRUE;
  return FALSE;
}

gboolean
ft_peers_any_lacks_dependencies (const FtPeers *peers, gint64 now)
{
  for (guint i = 0; i < peers->all->len; i++)
    if (is_live (peer_at (peers, i), now) && !peer_at (peers, i)->supports_dependencies)
      return TRUE;
  return FALSE;
}

gboolean
ft_peers_any_live (const FtPeers *peers, gint64 now)
{
  for (guint i = 0; i < peers->all->len; i++)
    if (is_live (peer_at (peers, i), now))
      return TRUE;
  return FALSE;
}

const char *
ft_peers_leader (const FtPeers *peers)
{
  return peers->leader;
}

guint64
ft_peers_leader_token (const FtPeers *peers)
{
  return peers->leader_token;
}

const FtJobProgress *
ft_peers_job_progress (const FtPeers *peers, const char *ref)
{
  return g_hash_table_lookup (peers->job_progress, ref);
}

guint
ft_peers_count (const FtPeers *peers)
{
  return peers->all->len;
}

const FtPeer *
ft_peers_get (const FtPeers *peers, guint index, gint64 *last_heartbeat_at)
{
  *last_heartbeat_at = peer_at (peers, index)->last_heartbeat_at;
  return peer_at (peers, index)->address;
}
