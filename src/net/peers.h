/* The other controllers: the heartbeats that controllers send each other, and what the peers'
 * heartbeats have said.
 *
 * A heartbeat tells whether the key-value store serves its sender, which cancellations it has
 * committed of late, and, from the leader, the progress of the running jobs. All of it is
 * advisory: nothing here decides who leads, the fence in the store does. What this controller
 * says of itself, and what it does about a heartbeat, is supplied by FtPeersHooks.
 *
 * All times are monotonic, in microseconds, of this controller's clock. A peer counts as heard
 * for FT_PEER_FRESH_S after its last heartbeat. */
#pragma once
#include "config.h"
#include "core/scheduler.h"
#include "net/http.h"
#include "net/malformed.h"
#include "wire/peer_heartbeat.h"

/**
 * FtPeers:
 *
 * The peers of this controller; one per process, owned by the node.
 */
typedef struct _FtPeers FtPeers;

/**
 * FtPeersHooks:
 * @compose: fills in what this controller says of itself; the member and the cancellations are
 *     there already
 * @received: a valid heartbeat of a known peer was taken in; borrowed for the call
 * @suspected: the peer refuses connections and is silent, so its process has most likely ended;
 *     `confirmed` if another peer answers us, so that the network is not what fails
 *
 * What the owner supplies; `data` is that of ft_peers_new().
 */
typedef struct {
  void (*compose) (FtPeerHeartbeat *heartbeat, gint64 now, gpointer data);
  void (*received) (const FtPeerHeartbeat *heartbeat, gint64 now, gpointer data);
  void (*suspected) (const char *member, gboolean confirmed, gint64 now, gpointer data);
} FtPeersHooks;

/**
 * ft_peers_new:
 * @config: names the peers
 * @malformed: is given heartbeats that cannot be read
 * @hooks: what the owner supplies
 * @data: of @hooks
 *
 * All arguments are borrowed for the life of the object.
 *
 * Returns: (transfer full): the peers, of which nothing was heard yet
 */
FtPeers *ft_peers_new (const FtConfig *config, FtMalformedLog *malformed, const FtPeersHooks *hooks, gpointer data);

/**
 * ft_peers_free:
 * @peers: (nullable) (transfer full): the peers
 */
void ft_peers_free (FtPeers *peers);

/**
 * ft_peers_tick:
 * @now: monotonic time
 *
 * Sends a heartbeat to every peer, if they are due, but for one whose last is still under way.
 */
void ft_peers_tick (FtPeers *peers, gint64 now);

/**
 * ft_peers_schedule_heartbeat:
 * @at: monotonic time from which the next heartbeats are due
 */
void ft_peers_schedule_heartbeat (FtPeers *peers, gint64 at);

/**
 * ft_peers_handle_heartbeat:
 * @request: (transfer full): a peer's heartbeat, which is answered
 */
void ft_peers_handle_heartbeat (FtPeers *peers, FtHttpRequest *request);

/**
 * ft_peers_add_cancellation:
 * @ref: a job whose cancellation was committed here now
 *
 * Makes the heartbeats of the next FT_PEER_CANCELLATIONS_S say so, the first of them due at once.
 */
void ft_peers_add_cancellation (FtPeers *peers, const char *ref);

/**
 * ft_peers_any_served_by_store:
 * @after: monotonic time
 * @now: monotonic time
 *
 * Returns: whether the key-value store has answered a peer that is heard after @after
 */
gboolean ft_peers_any_served_by_store (const FtPeers *peers, gint64 after, gint64 now);

/**
 * ft_peers_any_lacks_dependencies:
 * @now: monotonic time
 *
 * Returns: whether a peer that is heard runs a version that ignores what jobs depend on
 */
gboolean ft_peers_any_lacks_dependencies (const FtPeers *peers, gint64 now);

/**
 * ft_peers_any_live:
 * @now: monotonic time
 *
 * Returns: whether any peer is heard
 */
gboolean ft_peers_any_live (const FtPeers *peers, gint64 now);

/**
 * ft_peers_leader:
 *
 * Returns: (transfer none) (nullable): the member that leads under the highest fencing token that
 *     a peer has told, NULL if none has yet
 */
const char *ft_peers_leader (const FtPeers *peers);

/**
 * ft_peers_leader_token:
 *
 * Returns: the fencing token of ft_peers_leader(), 0 if there is none yet
 */
guint64 ft_peers_leader_token (const FtPeers *peers);

/**
 * ft_peers_job_progress:
 * @ref: a job
 *
 * Returns: (transfer none) (nullable): its progress by the last heartbeat of ft_peers_leader(),
 *     NULL if that does not have it
 */
const FtJobProgress *ft_peers_job_progress (const FtPeers *peers, const char *ref);

/**
 * ft_peers_count:
 *
 * Returns: the number of peers
 */
guint ft_peers_count (const FtPeers *peers);

/**
 * ft_peers_get:
 * @index: of a peer, in the order of the settings
 * @heard_at: (out): when its last heartbeat came, 0 if none has yet
 *
 * Returns: (transfer none): the peer's name and address
 */
const FtPeer *ft_peers_get (const FtPeers *peers, guint index, gint64 *heard_at);
