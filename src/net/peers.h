/* The other controllers: the heartbeats that controllers send each other, and what the peers'
 * heartbeats have said.
 *
 * A heartbeat tells whether the key-value store serves its sender, which cancellations it has
 * committed of late, and, from the leader, the progress of the running jobs. All of it is
 * advisory: nothing here decides who leads, the fence in the store does. What this controller
 * says of itself, and what it does about a heartbeat, is supplied by FtPeersHooks.
 *
 * All times are monotonic, in microseconds, of this controller's clock. */
#pragma once
#include "config.h"
#include "core/scheduler.h"
#include "net/http.h"
#include "net/malformed.h"
#include "wire/peer_heartbeat.h"

typedef struct _FtPeers FtPeers;

/* Supplied by the owner; `data` is that of ft_peers_new(). */
typedef struct {
  /* Fills in what this controller says of itself; the member and the cancellations are there already. */
  void (*compose) (FtPeerHeartbeat *heartbeat, gint64 now, gpointer data);
  /* A valid heartbeat of a known peer was taken in. Borrowed for the call. */
  void (*received) (const FtPeerHeartbeat *heartbeat, gint64 now, gpointer data);
  /* The peer refuses connections and is silent, so its process has most likely ended.
   * `confirmed`: another peer answers us, so the network is not what fails. */
  void (*suspected) (const char *member, gboolean confirmed, gint64 now, gpointer data);
} FtPeersHooks;

/* `config`, `malformed`, `hooks` and `data` are borrowed for the life of the object. */
FtPeers *ft_peers_new (const FtConfig *config, FtMalformedLog *malformed, const FtPeersHooks *hooks, gpointer data);
void ft_peers_free (FtPeers *peers);

/* Sends heartbeats to all peers if they are due. */
void ft_peers_tick (FtPeers *peers, gint64 now);
/* Makes the next heartbeats due at `at`. */
void ft_peers_schedule (FtPeers *peers, gint64 at);
/* Answers a peer's heartbeat. Takes the request. */
void ft_peers_handle_heartbeat (FtPeers *peers, FtHttpRequest *request);
/* This controller has committed a cancellation: the following heartbeats say so, the first at once. */
void ft_peers_add_cancellation (FtPeers *peers, const char *ref);

/* TRUE if the store has answered a peer that is heard after that time. */
gboolean ft_peers_any_served (const FtPeers *peers, gint64 after, gint64 now);
/* TRUE if a peer that is heard runs a version that ignores what jobs depend on. */
gboolean ft_peers_any_older (const FtPeers *peers, gint64 now);
/* TRUE if any peer is heard: its last heartbeat is recent. */
gboolean ft_peers_any_heard (const FtPeers *peers, gint64 now);

/* The leader under the highest fencing token that peers have named; borrowed, NULL: none yet. */
const char *ft_peers_leader (const FtPeers *peers);
/* That token; 0: none yet. */
guint64 ft_peers_leader_token (const FtPeers *peers);
/* The job's progress in that leader's last heartbeat; borrowed, NULL: not in it. */
const FtJobProgress *ft_peers_job_progress (const FtPeers *peers, const char *ref);

/* The number of peers, and one of them, in the order of the settings; borrowed.
 * `heard_at`: its last heartbeat, 0: none yet. */
guint ft_peers_count (const FtPeers *peers);
const FtPeer *ft_peers_get (const FtPeers *peers, guint i, gint64 *heard_at);
