/**
 * SECTION: peer_heartbeat
 * @title: Heartbeats of controllers
 *
 * The heartbeat that controllers send to their peers about once a second, to and from its JSON.
 * What it says is advisory: no decision's safety rests on it. Sent and received by src/net/peers.c.
 *
 * The field names differ from those of workers' messages: this protocol is flintrack's own, and
 * peers of older versions are answered in it too, so no field changes its meaning.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * FtPeerHeartbeatJob:
 * @ref: (transfer full): the job's ref
 * @done: number of its tasks that are done
 * @running: number of its tasks that run
 *
 * Progress of a job, for display by followers.
 */
typedef struct {
  char *ref;
  guint done, running;
} FtPeerHeartbeatJob;

/**
 * FtPeerHeartbeat:
 * @member: name of the sender, owned
 * @supports_dependencies: its version knows of job dependencies; one that does not would start a
 *   job before those that it depends on
 * @served: the key-value store has answered it at some time
 * @served_ms_ago: milliseconds since that answer, at the time of sending; 0 unless @served
 * @yields: it has yielded leadership
 * @token: fencing token under which it leads; 0: it does not lead
 * @jobs: (element-type FtPeerHeartbeatJob): a leader's jobs, owned
 * @cancellations: (element-type utf8): refs of jobs whose cancellation it has lately committed, owned
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
 * @member: (nullable): name of the sender
 *
 * Returns: (transfer full): a heartbeat that says nothing else.
 */
FtPeerHeartbeat *ft_peer_heartbeat_new (const char *member);

/**
 * ft_peer_heartbeat_free:
 * @heartbeat: (nullable) (transfer full): a heartbeat
 */
void ft_peer_heartbeat_free (FtPeerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtPeerHeartbeat, ft_peer_heartbeat_free)

/**
 * ft_peer_heartbeat_add_job:
 * @heartbeat: a leader's heartbeat
 * @ref: a job's ref, copied
 * @done: number of its tasks that are done
 * @running: number of its tasks that run
 */
void ft_peer_heartbeat_add_job (FtPeerHeartbeat *heartbeat, const char *ref, guint done, guint running);

/**
 * ft_peer_heartbeat_body:
 * @heartbeat: a heartbeat
 *
 * Returns: (transfer full): its message; the jobs are left out unless the sender leads.
 */
json_t *ft_peer_heartbeat_body (const FtPeerHeartbeat *heartbeat);

/**
 * ft_peer_heartbeat_parse:
 * @body: (nullable): a message
 *
 * Returns: (transfer full) (nullable): the heartbeat, or %NULL if any field is not valid; unknown
 * fields, as of a newer version, are ignored.
 */
FtPeerHeartbeat *ft_peer_heartbeat_parse (const json_t *body);
