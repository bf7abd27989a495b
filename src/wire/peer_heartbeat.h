/**
 * SECTION: peer_heartbeat
 * @title: Heartbeats of controllers
 *
 * Encodes and decodes the heartbeat that each controller sends to its peers about once a second. Its
 * content is advisory: the safety of decisions does not depend on it. Used by src/net/peers.c.
 *
 * Only flintrack's controllers use this protocol, so its field names differ from those in messages of
 * workers. Controllers of different versions exchange heartbeats, so no field may change its meaning.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * FtPeerHeartbeatJob:
 * @ref: the job's ref, owned
 * @done: number of the job's tasks that are done
 * @running: number of the job's tasks that are running
 *
 * The progress of a job, which followers show to users.
 */
typedef struct {
  char *ref;
  guint done, running;
} FtPeerHeartbeatJob;

/**
 * FtPeerHeartbeat:
 * @member: name of the controller that sends the heartbeat, owned
 * @supports_dependencies: the sender's version supports job dependencies; as leader, a version without
 *   this support would start a job before the jobs that it depends on are done
 * @served: the key-value store has answered at least one request of the sender
 * @served_ms_ago: milliseconds between the store's last answer and the sending of the heartbeat; 0
 *   unless @served
 * @yields: the sender has resigned or yielded leadership within the last %FT_YIELD_ADVERTISED_S seconds
 * @token: the sender's fencing token; 0 if the sender is not the leader
 * @jobs: (element-type FtPeerHeartbeatJob): progress of the leader's jobs, owned; empty if the sender
 *   is not the leader
 * @cancellations: (element-type utf8): refs of the jobs whose cancellation the sender has committed
 *   recently, owned
 *
 * The content of a heartbeat between controllers.
 */
typedef struct {
  char *member;
  gboolean supports_dependencies;
  gboolean served;
  guint64 served_ms_ago;
  gboolean yields;
  guint64 token;
  GArray *jobs;
  GPtrArray *cancellations;
} FtPeerHeartbeat;

/**
 * ft_peer_heartbeat_new:
 * @member: (nullable): name of the controller that sends the heartbeat, copied
 *
 * Returns: (transfer full): a heartbeat whose other fields are zero or empty.
 */
FtPeerHeartbeat *ft_peer_heartbeat_new (const char *member);

/**
 * ft_peer_heartbeat_free:
 * @heartbeat: (nullable) (transfer full): a heartbeat
 *
 * Frees a heartbeat with everything that it owns.
 */
void ft_peer_heartbeat_free (FtPeerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtPeerHeartbeat, ft_peer_heartbeat_free)

/**
 * ft_peer_heartbeat_add_job:
 * @heartbeat: a leader's heartbeat
 * @ref: a job's ref, copied
 * @done: number of the job's tasks that are done
 * @running: number of the job's tasks that are running
 *
 * Adds the progress of a job to a heartbeat.
 */
void ft_peer_heartbeat_add_job (FtPeerHeartbeat *heartbeat, const char *ref, guint done, guint running);

/**
 * ft_peer_heartbeat_body:
 * @heartbeat: a heartbeat
 *
 * Returns: (transfer full): the message of the heartbeat. It contains the jobs only if the sender is
 * the leader.
 */
json_t *ft_peer_heartbeat_body (const FtPeerHeartbeat *heartbeat);

/**
 * ft_peer_heartbeat_parse:
 * @body: (nullable): the message of a heartbeat
 *
 * Returns: (transfer full) (nullable): the heartbeat, or %NULL if any field is not valid. Unknown
 * fields, which a newer version may send, are ignored.
 */
FtPeerHeartbeat *ft_peer_heartbeat_parse (const json_t *body);
