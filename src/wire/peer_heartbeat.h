/* The heartbeat that controllers send each other, to and from its JSON. What it says is a
 * hint: nothing is decided by it. */
#pragma once
#include <glib.h>
#include <jansson.h>

/* Progress of a job, for display. */
typedef struct {
  char *ref;
  guint done, running;
} FtPeerHeartbeatJob;

typedef struct {
  char *member;                   /* the sender */
  gboolean supports_dependencies; /* its version knows of jobs that wait for others */
  gboolean served;                /* the state service has answered it, so long ago: */
  guint64 served_ms_ago;          /* milliseconds */
  gboolean yields;                /* it has given the lease up */
  guint64 token;                  /* under which it leads; 0: it does not */
  GArray *jobs;                   /* FtPeerHeartbeatJob, owned: the leader's */
  GPtrArray *cancellations;       /* refs, owned: what it has committed of late */
} FtPeerHeartbeat;

FtPeerHeartbeat *ft_peer_heartbeat_new (const char *member);
void ft_peer_heartbeat_free (FtPeerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtPeerHeartbeat, ft_peer_heartbeat_free)

void ft_peer_heartbeat_add_job (FtPeerHeartbeat *heartbeat, const char *ref, guint done, guint running);

json_t *ft_peer_heartbeat_body (const FtPeerHeartbeat *heartbeat);
/* NULL for anything that is not valid as a whole; unknown fields are ignored. */
FtPeerHeartbeat *ft_peer_heartbeat_parse (const json_t *body);
