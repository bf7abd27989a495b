#include "net/leadership.h"

#include "core/constants.h"
#include "core/duration.h"
#include "core/lease.h"
#include "net/heartbeat_queue.h"
#include "net/leader.h"
#include "net/malformed.h"
#include "net/metrics.h"
#include "net/peers.h"
#include "net/store_answers.h"
#include "net/store_client.h"
#include "wire/store.h"

struct _FtLeadership {
  FtNode *node;                     /* borrowed */
  gboolean sweep_in_flight;         /* whether a sweep awaits its answer */
  guint renewal_term;               /* number of the term whose renewal is in flight; 0: none */
  gint64 answers_interrupted_until; /* when the lease last forbade answering worker heartbeats; 0: never */
  gint64 timers_late_until;         /* when the last delay of this process's timers ended; 0: there was none */
  gint64 yielded_at;                /* when this controller last resigned or yielded; 0: never */
};

/* A read, claim, renewal or release of the lease, from sending until its answer. */
typedef struct {
  FtLeadership *leadership;
  gint64 sent_at; /* monotonic, microseconds */
  guint term;     /* number of the term in which it was sent */
} LeaseRequest;

static guint
term_number (const FtLeadership *leadership)
{
  return ft_leader_term_number (leadership->node->leader);
}

static LeaseRequest *
lease_request_new (FtLeadership *leadership)
{
  LeaseRequest *request = g_new0 (LeaseRequest, 1);
  request->leadership = leadership;
  request->sent_at = g_get_monotonic_time ();
  request->term = term_number (leadership);
  return request;
}

static gboolean
leads (const FtLeadership *leadership)
{
  return ft_leader_scheduler (leadership->node->leader) != NULL;
}

/* ---- terms ---- */

static void
end_term (FtLeadership *leadership)
{
  ft_leader_end (leadership->node->leader);
  ft_heartbeat_queue_reset_overrun (leadership->node->heartbeat_queue);
}

static void
begin_term (FtLeadership *leadership, guint64 revision)
{
  ft_heartbeat_queue_reset_overrun (leadership->node->heartbeat_queue);
  ft_leader_begin (leadership->node->leader, revision);
}

void
ft_leadership_step_down (FtLeadership *leadership, const char *reason)
{
  FtNode *node = leadership->node;
  g_message ("node %s: steps down: %s", node->config->member, reason);
  ft_metrics_count (node->metrics, FT_COUNT_STEP_DOWNS);
  ft_lease_lost (node->lease, g_get_monotonic_time ());
  end_term (leadership);
}

static void
on_superseded (const char *reason, gpointer data)
{
  ft_leadership_step_down (data, reason);
}

/* ---- sweeps: periodic reads of the lease's rows ---- */

static void
on_sweep (FtStoreResult result, const json_t *body, gpointer data)
{
  g_autofree LeaseRequest *request = data;
  FtNode *node = request->leadership->node;
  gint64 now = g_get_monotonic_time ();
  gboolean more;
  g_autoptr (GArray) rows = NULL;
  FtStoreResult read = ft_store_read_rows (result, body, &rows, &more);
  FtLeaseRows seen = { 0 };
  request->leadership->sweep_in_flight = FALSE;
  if (read == FT_STORE_OK && ft_row_lease_parse (rows, &seen))
    ft_lease_observe (node->lease, now, &seen);
  else
    ft_lease_sweep_failed (node->lease, now);
  if (read == FT_STORE_MALFORMED)
    ft_malformed_log_add (node->malformed, FT_COUNT_MALFORMED_STORE, "list of rows");
  ft_lease_rows_clear (&seen);
}

static void
sweep (FtLeadership *leadership)
{
  leadership->sweep_in_flight = TRUE;
  ft_store_client_list (leadership->node->store, FT_PREFIX_LEASE, NULL, FT_STORE_PRIORITY_LEASE, on_sweep,
                        lease_request_new (leadership));
}

/* ---- the claim ---- */

static void
on_claimed (FtStoreResult result, const json_t *body, gpointer data)
{
  g_autofree LeaseRequest *request = data;
  FtNode *node = request->leadership->node;
  guint64 revision;
  if (ft_lease_state (node->lease) != FT_LEASE_ACQUIRING)
    return;
  if (ft_store_read_revision (result, body, &revision) != FT_STORE_OK) {
    ft_lease_claim_failed (node->lease, g_get_monotonic_time ());
    return;
  }
  ft_lease_acquired (node->lease, request->sent_at, revision);
  begin_term (request->leadership, revision);
}

static void
claim (FtLeadership *leadership, gint64 now)
{
  FtNode *node = leadership->node;
  FtLeaseClaim wanted = ft_lease_claim (node->lease, now);
  json_t *txn = ft_txn_claim (&wanted, node->config->member, node->incarnation, ft_lease_time (node->lease));
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_LEASE, on_claimed, lease_request_new (leadership));
  json_decref (txn);
}

/* ---- renewal and release ---- */

static void
on_renewed (FtStoreResult result, G_GNUC_UNUSED const json_t *body, gpointer data)
{
  g_autofree LeaseRequest *request = data;
  FtLeadership *leadership = request->leadership;
  FtLease *lease = leadership->node->lease;
  if (request->term != term_number (leadership))
    return;
  leadership->renewal_term = 0;
  if (result == FT_STORE_OK)
    ft_lease_renewed (lease, request->sent_at);
  else if (result == FT_STORE_CONFLICT)
    ft_leadership_step_down (leadership, "another controller has changed the fence row");
  else
    ft_lease_renew_failed (lease, g_get_monotonic_time ());
}

/* Ignores the answer to a release: if the release is lost, the lease expires by itself. */
static void
on_released (G_GNUC_UNUSED FtStoreResult result, G_GNUC_UNUSED const json_t *body, gpointer data)
{
  g_free (data);
}

static void
write_renewal (FtLeadership *leadership, gboolean release, FtStoreDone done)
{
  FtNode *node = leadership->node;
  guint64 token = ft_lease_token (node->lease);
  json_t *txn = ft_txn_renew (ft_lease_fence_revision (node->lease), token, ft_lease_time (node->lease), release);
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_LEASE, done, lease_request_new (leadership));
  json_decref (txn);
}

static gboolean
renewal_in_flight (const FtLeadership *leadership)
{
  return leadership->renewal_term != 0 && leadership->renewal_term == term_number (leadership);
}

static void
renew (FtLeadership *leadership, gint64 now)
{
  leadership->renewal_term = term_number (leadership);
  ft_lease_renew_sent (leadership->node->lease, now);
  write_renewal (leadership, FALSE, on_renewed);
}

/* ---- resigning and yielding ---- */

/* Whether this leader seems to be cut off from the workers: no worker heartbeat has arrived for longer than
 * the longest regular gap between two heartbeats of a worker, although the workers had time to send theirs
 * to this leader. Another controller may still receive them. */
static gboolean
is_cut_off (const FtLeadership *leadership, gint64 now)
{
  const FtNode *node = leadership->node;
  gint64 longest_gap = ft_seconds (node->config->core.heartbeat_s * FT_HEARTBEAT_GAP_INTERVALS + FT_CUT_OFF_MARGIN_S);
  /* While this controller may not answer heartbeats, workers send them to other controllers, and need
   * FT_CUT_OFF_GRACE_S to return. Without this grace period a leader that had just renewed its lease after
   * an outage of the store released the lease, and no controller led until the next failover was over. */
  gint64 answering_since = MAX (ft_leader_term_began_at (node->leader), leadership->answers_interrupted_until);
  if (now - answering_since < ft_seconds (FT_CUT_OFF_GRACE_S))
    return FALSE;
  /* The time before the end of the last stall does not count: this process receives no heartbeats while it is
   * stalled, so their absence in that time does not show that the leader is cut off. */
  gint64 receiving_since = MAX (answering_since, leadership->timers_late_until);
  const FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  gint64 last_heartbeat_at = MAX (receiving_since, ft_scheduler_last_heartbeat_at (scheduler));
  return node->config->peers->len > 0 && now - last_heartbeat_at > longest_gap
         && ft_scheduler_count_expected_machines (scheduler) >= FT_CUT_OFF_MACHINES;
}

/* Whether worker heartbeats have waited too long at all times in the last FT_OVERRUN_S. A controller that has
 * become slow cannot keep up with the heartbeats, but another controller may be able to. If no controller can
 * keep up, the controllers must not replace each other for that reason alone; hence the leader must have led
 * for FT_OVERRUN_LEADERSHIP_MIN_S. The store must serve a peer, because otherwise no controller could succeed
 * this one as the leader. */
static gboolean
is_overrun (const FtLeadership *leadership, gint64 now)
{
  const FtNode *node = leadership->node;
  gint64 overrun_since = ft_heartbeat_queue_overrun_since (node->heartbeat_queue);
  return overrun_since > 0 && ft_peers_any_served_by_store (node->peers, now - ft_seconds (FT_PEER_FRESH_S), now)
         && now - overrun_since > ft_seconds (FT_OVERRUN_S)
         && now - ft_leader_term_began_at (node->leader) > ft_seconds (FT_OVERRUN_LEADERSHIP_MIN_S);
}

/* The reason why this leader should resign, for the log line; NULL: there is none. */
static const char *
reason_to_resign (const FtLeadership *leadership, gint64 now)
{
  if (!ft_lease_may_start (leadership->node->lease, now))
    return NULL;
  if (is_cut_off (leadership, now))
    return "receives no worker heartbeats";
  if (is_overrun (leadership, now))
    return "cannot keep up with the worker heartbeats";
  return NULL;
}

gboolean
ft_leadership_store_unreachable_only_here (const FtLeadership *leadership, gint64 now)
{
  const FtNode *node = leadership->node;
  gint64 lost_at = ft_store_client_failing_since (node->store) + ft_seconds (FT_PEER_SERVED_MARGIN_S);
  return !ft_store_client_has_contact (node->store, now) && ft_peers_any_served_by_store (node->peers, lost_at, now);
}

static gboolean
should_yield (const FtLeadership *leadership, gint64 now)
{
  const FtNode *node = leadership->node;
  /* Requests that failed while this process was stalled do not show a network fault. */
  gint64 steady_since = MAX (ft_leader_term_began_at (node->leader), leadership->timers_late_until);
  return ft_lease_state (node->lease) == FT_LEASE_HOLDING && now > steady_since + ft_seconds (FT_CUT_OFF_GRACE_S)
         && ft_leadership_store_unreachable_only_here (leadership, now);
}

/* Makes the next heartbeats to the peers due at once, and makes this controller's heartbeats say that it
 * yields. The peers then read the lease's rows. This is advisory, like everything that heartbeats to peers
 * contain: the rows alone decide which controller leads. */
static void
advertise_yield (FtLeadership *leadership, gint64 now)
{
  leadership->yielded_at = now;
  ft_peers_schedule_heartbeat (leadership->node->peers, now);
}

/* The leader keeps its state, and extends the workers' leases until its answer grace period is over. It does
 * not resign, because the store may fail for all controllers a second later. Then no controller could
 * succeed this leader, and if it had resigned, none would stop cancelled tasks or terminate machines whose
 * tasks hang. */
static void
yield_leadership (FtLeadership *leadership, gint64 now)
{
  FtNode *node = leadership->node;
  g_warning ("node %s: cannot reach the key-value store, which a peer reaches: yields and starts no more tasks",
             node->config->member);
  ft_lease_yield (node->lease, now);
  advertise_yield (leadership, now);
}

static void
resign (FtLeadership *leadership, gint64 now, const char *reason)
{
  FtNode *node = leadership->node;
  g_warning ("node %s: %s, releases the lease", node->config->member, reason);
  if (ft_lease_may_start (node->lease, now))
    write_renewal (leadership, TRUE, on_released);
  ft_lease_released (node->lease, now);
  end_term (leadership);
  advertise_yield (leadership, now);
}

gboolean
ft_leadership_advertises_yield (const FtLeadership *leadership, gint64 now)
{
  return leadership->yielded_at > 0 && now - leadership->yielded_at < ft_seconds (FT_YIELD_ADVERTISED_S);
}

const char *
ft_leadership_known_leader (const FtLeadership *leadership)
{
  const FtNode *node = leadership->node;
  if (leads (leadership))
    return node->config->member;
  const char *leader_of_peers = ft_peers_leader (node->peers);
  return leader_of_peers != NULL ? leader_of_peers : ft_lease_holder (node->lease);
}

/* ---- the timer ---- */

static void
check_answering (FtLeadership *leadership, gint64 now)
{
  const FtNode *node = leadership->node;
  if (ft_lease_may_answer (node->lease, now))
    return;
  leadership->answers_interrupted_until = now;
  if (leads (leadership))
    ft_scheduler_not_answering (ft_leader_scheduler (node->leader), now);
}

static void
send_due_requests (FtLeadership *leadership, gint64 now)
{
  const FtNode *node = leadership->node;
  if (ft_lease_sweep_due (node->lease, now) && !leadership->sweep_in_flight)
    sweep (leadership);
  if (ft_lease_acquire_due (node->lease, now) && ft_store_client_has_contact (node->store, now))
    claim (leadership, now);
  else if (ft_lease_renew_due (node->lease, now) && !renewal_in_flight (leadership))
    renew (leadership, now);
}

void
ft_leadership_tick (FtLeadership *leadership, gint64 now)
{
  ft_lease_tick (leadership->node->lease, now);
  check_answering (leadership, now);
  send_due_requests (leadership, now);
  if (!leads (leadership))
    return;
  const char *reason = reason_to_resign (leadership, now);
  if (reason != NULL)
    resign (leadership, now, reason);
  else if (should_yield (leadership, now))
    yield_leadership (leadership, now);
}

void
ft_leadership_note_stall (FtLeadership *leadership, gint64 now)
{
  leadership->timers_late_until = now;
}

/* ---- construction ---- */

FtLeadership *
ft_leadership_new (FtNode *node)
{
  FtLeadership *leadership = g_new0 (FtLeadership, 1);
  leadership->node = node;
  ft_leader_set_superseded (node->leader, on_superseded, leadership);
  return leadership;
}

void
ft_leadership_free (FtLeadership *leadership)
{
  if (leadership == NULL)
    return;
  end_term (leadership);
  g_free (leadership);
}
