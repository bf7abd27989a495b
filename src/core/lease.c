#include "core/lease.h"

#include "core/constants.h"
#include "core/duration.h"
#include "core/lease_suspicion.h"

struct _FtLease {
  char *member;              /* name of this controller */
  guint64 incarnation;       /* random number of this process */
  gint64 lease_us;           /* lease time that the next claim or renewal writes */
  gint64 sweep_us;           /* time between two reads of the rows by a follower */
  gint64 answer_grace_us;    /* longest time since contact with the store in which heartbeats may be answered */
  gint64 sent_lease_us;      /* lease time that the last claim or renewal wrote */
  double jitter;             /* share by which the time between two sweeps varies at random */
  double renewals_per_lease; /* number of renewals within one lease time */
  GRand *random;
  FtLeaseState state; /* changed by set_state() only */

  FtLeaseRows last_rows;  /* the rows as last read */
  gint64 unrenewed_since; /* start of the time in which the holder should have renewed the lease: when the present rows
                             were first read or when a sweep last failed, whichever is later */
  gboolean rows_known;    /* the rows were read after the last claim that failed and the last loss of the lease */
  gint64 next_sweep;      /* when the rows are to be read next */
  gint64 no_claim_before; /* this controller makes no claim before this time, since it has released the lease */
  gint64 fence_since;     /* when the present fence row was first read */
  FtLeaseSuspicion suspicion; /* suspicion that the present holder is gone */

  guint64 token;                    /* this controller's fencing token while acquiring or holding; else 0 */
  FtWorkerTokenRange worker_tokens; /* the tokens of this controller's last claim */
  guint64 fence_revision;           /* revision of the fence row that this controller acquired; else 0 */
  gint64 valid_until;               /* the holder may start tasks before this time */
  gint64 last_contact;              /* when the last claim or renewal that succeeded was sent */
  gboolean cancellations_known;     /* the cancellations have been read since the acquisition */
  gint64 cancellations_known_until; /* all cancellations committed before this time are known */
  gint64 next_renewal;              /* when the next renewal is to be sent */
};

static const char *const state_names[] = { "following", "acquiring", "holding", "lapsed" };

void
ft_lease_rows_clear (FtLeaseRows *rows)
{
  g_clear_pointer (&rows->holder, g_free);
}

FtLease *
ft_lease_new (const char *member, guint64 incarnation, gint64 lease_us, gint64 sweep_us, gint64 answer_grace_us,
              guint32 seed)
{
  FtLease *lease = g_new0 (FtLease, 1);
  lease->member = g_strdup (member);
  lease->incarnation = incarnation;
  lease->lease_us = lease_us;
  lease->sweep_us = sweep_us;
  lease->answer_grace_us = answer_grace_us;
  lease->jitter = FT_SWEEP_JITTER;
  lease->renewals_per_lease = FT_RENEW_FRACTION;
  lease->random = g_rand_new_with_seed (seed);
  return lease;
}

void
ft_lease_set_times (FtLease *lease, gint64 lease_us, gint64 sweep_us, double jitter, double renewals_per_lease)
{
  lease->lease_us = lease_us;
  lease->sweep_us = sweep_us;
  lease->jitter = jitter;
  lease->renewals_per_lease = renewals_per_lease;
}

gint64
ft_lease_time (const FtLease *lease)
{
  return lease->lease_us;
}

void
ft_lease_free (FtLease *lease)
{
  if (lease == NULL)
    return;
  ft_lease_rows_clear (&lease->last_rows);
  g_rand_free (lease->random);
  g_free (lease->member);
  g_free (lease);
}

const char *
ft_lease_state_name (FtLeaseState state)
{
  return state_names[state];
}

FtLeaseState
ft_lease_state (const FtLease *lease)
{
  return lease->state;
}

static gboolean
move_allowed (FtLeaseState from, FtLeaseState to)
{
  switch (to) {
  case FT_LEASE_FOLLOWING:
    return TRUE;
  case FT_LEASE_ACQUIRING:
    return from == FT_LEASE_FOLLOWING;
  case FT_LEASE_HOLDING:
    return from == FT_LEASE_ACQUIRING || from == FT_LEASE_EXPIRED;
  case FT_LEASE_EXPIRED:
    return from == FT_LEASE_HOLDING;
  }
  return FALSE;
}

/* Changes the state and logs `reason`; no other function does. Returns FALSE if the transition is not allowed. */
static gboolean
set_state (FtLease *lease, FtLeaseState to, const char *reason)
{
  if (lease->state == to)
    return TRUE;
  if (!move_allowed (lease->state, to)) {
    g_warning ("lease %s: refused move %s -> %s (%s)", lease->member, state_names[lease->state], state_names[to],
               reason);
    return FALSE;
  }
  g_message ("lease %s: %s -> %s (%s, token %" G_GUINT64_FORMAT ")", lease->member, state_names[lease->state],
             state_names[to], reason, lease->token);
  lease->state = to;
  return TRUE;
}

/* ---- the rows ---- */

/* Schedules the next regular sweep, with jitter. */
static void
schedule_sweep (FtLease *lease, gint64 now)
{
  double jitter = lease->jitter > 0 ? g_rand_double_range (lease->random, 1 - lease->jitter, 1 + lease->jitter) : 1;
  lease->next_sweep = now + (gint64) (lease->sweep_us * jitter);
}

/* Brings the next sweep forward, so that it comes within FT_SWEEP_RETRY_S. */
static void
schedule_early_sweep (FtLease *lease, gint64 now)
{
  lease->next_sweep = now + MIN (lease->next_sweep - now, ft_seconds (FT_SWEEP_RETRY_S));
}

/* Keeps a copy of rows that have changed. */
static void
copy_rows (FtLease *lease, gint64 now, const FtLeaseRows *rows)
{
  lease->unrenewed_since = now;
  ft_lease_rows_clear (&lease->last_rows);
  lease->last_rows = *rows;
  lease->last_rows.holder = g_strdup (rows->holder);
  lease->rows_known = TRUE;
}

void
ft_lease_observe (FtLease *lease, gint64 now, const FtLeaseRows *rows)
{
  gboolean same_fence = lease->rows_known && rows->fence_revision == lease->last_rows.fence_revision;
  if (!same_fence)
    lease->fence_since = now;
  if (same_fence && rows->renewal_revision == lease->last_rows.renewal_revision) {
    ft_lease_suspicion_rows_unchanged (&lease->suspicion);
  } else {
    /* The holder has renewed the lease, or another controller has acquired it. */
    ft_lease_suspicion_clear (&lease->suspicion);
    copy_rows (lease, now, rows);
  }
  schedule_sweep (lease, now);
  if (lease->suspicion != FT_LEASE_SUSPICION_NONE)
    schedule_early_sweep (lease, now);
  gboolean leading = lease->state == FT_LEASE_HOLDING || lease->state == FT_LEASE_EXPIRED;
  if (leading && rows->fence_revision != lease->fence_revision && rows->token > lease->token)
    ft_lease_lost (lease, now);
}

void
ft_lease_sweep_failed (FtLease *lease, gint64 now)
{
  /* While this controller cannot read the rows, the holder may be unable to renew them. */
  lease->unrenewed_since = now;
  schedule_sweep (lease, now);
  /* The first read after an outage must not wait for a full period, since no controller may lead at that time. */
  schedule_early_sweep (lease, now);
}

/* If connections between controllers are refused, a leader that is alive looks dead to all of its peers, and immediate
 * claims would replace the leader twice a second. Therefore an immediate claim requires that another peer answers this
 * controller and that the fence row has not changed for FT_SUSPECT_FENCE_STABLE_S. */
void
ft_lease_suspect (FtLease *lease, const char *holder, gboolean confirmed, gint64 now)
{
  if (lease->state != FT_LEASE_FOLLOWING || lease->suspicion != FT_LEASE_SUSPICION_NONE || !lease->rows_known
      || g_strcmp0 (lease->last_rows.holder, holder) != 0)
    return;
  gboolean fence_stable = now - lease->fence_since > ft_seconds (FT_SUSPECT_FENCE_STABLE_S);
  gboolean claim_at_once = confirmed && fence_stable;
  g_message ("lease %s: holder %s suspected to be gone (%s)", lease->member, holder,
             claim_at_once ? "confirmed" : "not confirmed");
  ft_lease_suspicion_report (&lease->suspicion, claim_at_once);
  lease->next_sweep = now;
}

gboolean
ft_lease_sweep_due (const FtLease *lease, gint64 now)
{
  return lease->state == FT_LEASE_FOLLOWING && now >= lease->next_sweep;
}

static gboolean
holder_is_self (const FtLease *lease)
{
  /* Only one process runs under a member's name. If the fence row names this controller although it does not lead, the
   * row was written by an earlier process of this member, which is dead, or by a claim of this process that got no
   * answer. In both cases no process acts as that holder. */
  return g_strcmp0 (lease->last_rows.holder, lease->member) == 0;
}

/* Returns the time, in microseconds, within which a live holder with that lease time has renewed the lease. */
static gint64
renewal_overdue_us (const FtLease *lease, gint64 lease_us)
{
  return (gint64) ((double) lease_us / lease->renewals_per_lease * (1 + FT_CLOCK_DRIFT)
                   + FT_SUSPECT_MARGIN_S * FT_SECOND);
}

gboolean
ft_lease_acquire_due (const FtLease *lease, gint64 now)
{
  if (lease->state != FT_LEASE_FOLLOWING || !lease->rows_known)
    return FALSE;
  if (now < lease->no_claim_before)
    return FALSE;
  if (lease->last_rows.fence_revision == 0 || holder_is_self (lease) || lease->last_rows.released)
    return TRUE;
  gint64 lease_us = MAX (lease->lease_us, lease->last_rows.lease_us);
  gint64 unrenewed_us = now - lease->unrenewed_since;
  if (lease->suspicion == FT_LEASE_SUSPICION_ROWS_UNCHANGED_CONFIRMED)
    return TRUE;
  if (lease->suspicion == FT_LEASE_SUSPICION_ROWS_UNCHANGED)
    return unrenewed_us > renewal_overdue_us (lease, lease_us);
  return unrenewed_us > (gint64) (lease_us * (1 + FT_CLOCK_DRIFT));
}

FtLeaseClaim
ft_lease_claim (FtLease *lease, gint64 now)
{
  lease->worker_tokens = ft_worker_token_range_after (lease->last_rows.token);
  FtLeaseClaim claim = { .token = lease->worker_tokens.last,
                         .fence_revision = lease->last_rows.fence_revision,
                         .renewal_revision = lease->last_rows.renewal_revision,
                         .check_renewal = !holder_is_self (lease) };
  ft_lease_suspicion_clear (&lease->suspicion);
  lease->token = claim.token;
  lease->sent_lease_us = lease->lease_us;
  lease->valid_until = now;
  set_state (lease, FT_LEASE_ACQUIRING, "claim sent");
  return claim;
}

/* ---- the holder ---- */

/* Extends the lease, since a claim or a renewal that was sent at `sent_at` has succeeded. */
static void
extend_lease (FtLease *lease, gint64 sent_at)
{
  gint64 margin = ft_seconds (FT_LEASE_MARGIN_S);
  lease->valid_until
      = MAX (lease->valid_until, sent_at + (gint64) (lease->sent_lease_us * (1 - FT_CLOCK_DRIFT)) - margin);
  lease->last_contact = MAX (lease->last_contact, sent_at);
  lease->next_renewal = sent_at + (gint64) (lease->lease_us / lease->renewals_per_lease);
}

void
ft_lease_acquired (FtLease *lease, gint64 sent_at, guint64 revision)
{
  if (!set_state (lease, FT_LEASE_HOLDING, "acquired"))
    return;
  lease->fence_revision = revision;
  lease->last_contact = 0;
  lease->cancellations_known = FALSE;
  extend_lease (lease, sent_at);
}

void
ft_lease_claim_failed (FtLease *lease, gint64 now)
{
  lease->rows_known = FALSE;
  lease->next_sweep = now;
  lease->token = 0;
  set_state (lease, FT_LEASE_FOLLOWING, "claim failed");
}

gboolean
ft_lease_renew_due (const FtLease *lease, gint64 now)
{
  return (lease->state == FT_LEASE_HOLDING || lease->state == FT_LEASE_EXPIRED) && now >= lease->next_renewal;
}

void
ft_lease_renew_sent (FtLease *lease, gint64 now)
{
  lease->sent_lease_us = lease->lease_us;
  lease->next_renewal = now + (gint64) (lease->lease_us / lease->renewals_per_lease);
}

void
ft_lease_renewed (FtLease *lease, gint64 sent_at)
{
  if (lease->state != FT_LEASE_HOLDING && lease->state != FT_LEASE_EXPIRED)
    return;
  /* The renewal was conditional on the fence row that this controller wrote, so no other controller has acquired the
   * lease in between. A holder whose lease has expired may therefore continue as leader. */
  extend_lease (lease, sent_at);
  if (lease->state == FT_LEASE_EXPIRED)
    set_state (lease, FT_LEASE_HOLDING, "renewed");
}

void
ft_lease_renew_failed (FtLease *lease, gint64 now)
{
  lease->next_renewal
      = now + ft_seconds (g_rand_double_range (lease->random, FT_RENEW_RETRY_MIN_S, FT_RENEW_RETRY_MAX_S));
}

/* Drops the claim or the lease, and schedules a sweep at once. */
static void
return_to_following (FtLease *lease, gint64 now, const char *reason)
{
  lease->token = 0;
  lease->fence_revision = 0;
  lease->valid_until = 0;
  lease->rows_known = FALSE;
  lease->next_sweep = now;
  set_state (lease, FT_LEASE_FOLLOWING, reason);
}

void
ft_lease_lost (FtLease *lease, gint64 now)
{
  return_to_following (lease, now, "lost");
}

void
ft_lease_released (FtLease *lease, gint64 now)
{
  lease->no_claim_before = now + ft_seconds (FT_ABSTAIN_S);
  return_to_following (lease, now, "released");
}

void
ft_lease_tick (FtLease *lease, gint64 now)
{
  if (lease->state == FT_LEASE_HOLDING && now >= lease->valid_until)
    set_state (lease, FT_LEASE_EXPIRED, "lease expired");
}

void
ft_lease_cancellations_known (FtLease *lease, gint64 at)
{
  lease->cancellations_known_until = lease->cancellations_known ? MAX (lease->cancellations_known_until, at) : at;
  lease->cancellations_known = TRUE;
}

void
ft_lease_yield (FtLease *lease, gint64 now)
{
  lease->valid_until = MIN (lease->valid_until, now);
  ft_lease_tick (lease, now);
}

/* ---- what the holder may do ---- */

/* A renewal that succeeds after an outage does not show which jobs were cancelled during the outage. So no task is
 * started before the cancellations have been read. */
gboolean
ft_lease_may_start (const FtLease *lease, gint64 now)
{
  return lease->state == FT_LEASE_HOLDING && now < lease->valid_until && lease->cancellations_known
         && now < lease->cancellations_known_until + ft_seconds (FT_CANCELLATIONS_FRESH_S);
}

/* An answer prolongs the worker's lease and so every task that runs there. Such a task may belong to a job that was
 * cancelled after the holder last read the cancellations or, under a new holder, at any time before it first read them.
 * Therefore heartbeats are not answered before the cancellations have been read, and the answer grace period counts
 * from the earlier of the last renewal and the last read. */
gboolean
ft_lease_may_answer (const FtLease *lease, gint64 now)
{
  if (lease->state != FT_LEASE_HOLDING && lease->state != FT_LEASE_EXPIRED)
    return FALSE;
  return lease->cancellations_known
         && now < MIN (lease->last_contact, lease->cancellations_known_until) + lease->answer_grace_us;
}

guint64
ft_lease_token (const FtLease *lease)
{
  return lease->token;
}

FtWorkerTokenRange
ft_lease_worker_tokens (const FtLease *lease)
{
  return lease->worker_tokens;
}

guint64
ft_lease_fence_revision (const FtLease *lease)
{
  return lease->fence_revision;
}

const char *
ft_lease_holder (const FtLease *lease)
{
  return lease->last_rows.holder;
}
