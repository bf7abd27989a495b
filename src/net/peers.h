/* The other controllers: the heartbeats that controllers send each other, and the state of the peers
 * according to their last heartbeats.
 *
 * A heartbeat says whether the key-value store serves its sender, which cancellations the sender has
 * committed recently, and, if the sender leads, the progress of its jobs. All of it is advisory:
 * leadership is decided only by the fence row in the store. The FtPeersHooks add this controller's own
 * state to its heartbeats and react to the peers' heartbeats.
 *
 * All times are monotonic, in microseconds, of this controller's clock. A peer counts as live for
 * FT_PEER_FRESH_S after its last heartbeat. */
#pragma once
#include "config.h"
#include "core/scheduler.h"
#include "net/http.h"
#include "net/malformed.h"
#include "wire/peer_heartbeat.h"

/**
 * FtPeers:
 *
 * The peers of this controller. There is one object per process, owned by the node.
 */
typedef struct _FtPeers FtPeers;

/**
 * FtPeersHooks:
 * @compose: adds this controller's own state to a heartbeat, which already has the member's name and
 *     the cancellations
 * @received: called for each valid heartbeat of a configured peer; the heartbeat is borrowed for the call
 * @suspected: called when a peer refuses connections and sends no heartbeats, so that its process has
 *     most likely ended; `confirmed` if another peer answers this controller, so that the network is
 *     not the cause
 *
 * Callbacks of the owner; `data` is that of ft_peers_new().
 */
typedef struct {
  void (*compose) (FtPeerHeartbeat *heartbeat, gint64 now, gpointer data);
  void (*received) (const FtPeerHeartbeat *heartbeat, gint64 now, gpointer data);
  void (*suspected) (const char *member, gboolean confirmed, gint64 now, gpointer data);
} FtPeersHooks;

/**
 * ft_peers_new:
 * @config: contains the peers' names and addresses
 * @malformed: log of heartbeats that cannot be read
 * @hooks: callbacks of the owner
 * @data: data of @hooks
 *
 * All arguments are borrowed for the life of the object.
 *
 * Returns: (transfer full): the peers, none of which has sent a heartbeat yet
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
 * If heartbeats are due, sends one to every peer whose previous heartbeat is no longer in flight.
 */
void ft_peers_tick (FtPeers *peers, gint64 now);

/**
 * ft_peers_schedule_heartbeat:
 * @at: monotonic time at which the next heartbeats to all peers are due
 */
void ft_peers_schedule_heartbeat (FtPeers *peers, gint64 at);

/**
 * ft_peers_handle_heartbeat:
 * @request: (transfer full): a peer's heartbeat
 *
 * Records what the heartbeat says, calls the owner's hook and answers the request. A heartbeat that is
 * malformed or of an unknown member is logged and answered with 400.
 */
void ft_peers_handle_heartbeat (FtPeers *peers, FtHttpRequest *request);

/**
 * ft_peers_add_cancellation:
 * @ref: a job whose cancellation this controller has committed now
 *
 * Includes the cancellation in the heartbeats of the next FT_PEER_CANCELLATIONS_S, and makes the next
 * heartbeats due at once.
 */
void ft_peers_add_cancellation (FtPeers *peers, const char *ref);

/**
 * ft_peers_any_served_by_store:
 * @after: monotonic time
 * @now: monotonic time
 *
 * Returns: whether the key-value store has answered a live peer after @after
 */
gboolean ft_peers_any_served_by_store (const FtPeers *peers, gint64 after, gint64 now);

/**
 * ft_peers_any_lacks_dependencies:
 * @now: monotonic time
 *
 * Returns: whether a live peer runs a version that ignores the dependencies of jobs
 */
gboolean ft_peers_any_lacks_dependencies (const FtPeers *peers, gint64 now);

/**
 * ft_peers_any_live:
 * @now: monotonic time
 *
 * Returns: whether any peer is live
 */
gboolean ft_peers_any_live (const FtPeers *peers, gint64 now);

/**
 * ft_peers_leader:
 *
 * Returns: (transfer none) (nullable): the peer that leads according to the heartbeat with the highest
 *     fencing token; %NULL until a leader's heartbeat has arrived
 */
const char *ft_peers_leader (const FtPeers *peers);

/**
 * ft_peers_leader_token:
 *
 * Returns: the fencing token of ft_peers_leader(); 0 until a leader's heartbeat has arrived
 */
guint64 ft_peers_leader_token (const FtPeers *peers);

/**
 * ft_peers_job_progress:
 * @ref: a job
 *
 * Returns: (transfer none) (nullable): the job's progress according to the last heartbeat of
 *     ft_peers_leader(); %NULL if that does not contain the job
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
 * @index: index of a peer, in the order of the settings file
 * @last_heartbeat_at: (out): when the peer's last heartbeat arrived; 0 if none has
 *
 * Returns: (transfer none): the peer's name and address
 */
const FtPeer *ft_peers_get (const FtPeers *peers, guint index, gint64 *last_heartbeat_at);
