/* The heartbeat that controllers send each other, to and from its JSON. What it says is a
 * hint: nothing is decided by it. */
#pragma once
#include <glib.h>
#include <jansson.h>

/* Progress of a job, for display. */
typedef struct {
  char *ref;
  guint done, running;
} FtHeartbeatJob;

typedef struct {
  char *member;             /* the sender */
  gboolean knows_needs;     /* its version knows of jobs that wait for others */
  gboolean served;          /* the state service has answered it, so long ago: */
  guint64 served_ms_ago;    /* milliseconds */
  gboolean yields;          /* it has given the lease up */
  guint64 token;            /* under which it leads; 0: it does not */
  GArray *jobs;             /* FtHeartbeatJob, owned: the leader's */
  GPtrArray *cancellations; /* refs, owned: what it has committed of late */
} FtHeartbeat;

FtHeartbeat *ft_heartbeat_new (const char *member);
void ft_heartbeat_free (FtHeartbeat *beat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtHeartbeat, ft_heartbeat_free)

void ft_heartbeat_add_job (FtHeartbeat *beat, const char *ref, guint done, guint running);

json_t *ft_heartbeat_body (const FtHeartbeat *beat);
/* NULL for anything that is not valid as a whole; unknown fields are ignored. */
FtHeartbeat *ft_heartbeat_parse (const json_t *body);
