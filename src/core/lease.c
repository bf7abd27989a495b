#include "core/lease.h"

#include "core/constants.h"
#include "core/lease_suspicion.h"

struct _FtLease {
  char *member;
  guint64 incarnation;
  gint64 lease_us, sweep_us, answer_grace_us;
  gint64 sent_lease_us; /* written by the claim or renewal sent last */
  double jitter, renew_fraction;
  GRand *random;
  FtLeaseState state;

  FtLeaseRows seen;
  gint64 unrenewed_since; /* when the present rows were first seen */
  gboolean rows_known;
  gint64 next_sweep;          /* when the rows are to be read next */
  gint64 abstain_until;       /* we have given the lease up: no claim before */
  gint64 fence_since;         /* when the present fence was first seen */
  FtLeaseSuspicion suspicion; /* of the present holder */

  guint64 token;                /* ours, while acquiring or holding */
  guint64 fence_revision;       /* of our acquisition */
  gint64 valid_until;           /* the holder may start tasks until then */
  gint64 last_contact;          /* when the last renewal that succeeded was sent */
  gboolean cancellations_known; /* all cancellations before `cancellations_known_until` are known */
  gint64 cancellations_known_until;
  gint64 next_renewal;
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
  lease->renew_fraction = FT_RENEW_FRACTION;
  lease->random = g_rand_new_with_seed (seed);
  return lease;
}

void
ft_lease_set_times (FtLease *lease, gint64 lease_us, gint64 sweep_us, double jitter, double renew_fraction)
{
  lease->lease_us = lease_us;
  lease->sweep_us = sweep_us;
  lease->jitter = jitter;
  lease->renew_fraction = renew_fraction;
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
  ft_lease_rows_clear (&lease->seen);
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

/* The one place where the state changes. `reason` is logged. */
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

static void
plan_sweep (FtLease *lease, gint64 now)
{
  double jitter = lease->jitter > 0 ? g_rand_double_range (lease->random, 1 - lease->jitter, 1 + lease->jitter) : 1;
  lease->next_sweep = now + (gint64) (lease->sweep_us * jitter);
}

/* The next read comes within FT_SWEEP_RETRY_S. */
static void
sweep_again_soon (FtLease *lease, gint64 now)
{
  lease->next_sweep = now + MIN (lease->next_sweep - now, (gint64) (FT_SWEEP_RETRY_S * FT_SECOND));
}

static void
take_rows (FtLease *lease, gint64 now, const FtLeaseRows *rows)
{
  lease->unrenewed_since = now;
  ft_lease_rows_clear (&lease->seen);
  lease->seen = *rows;
  lease->seen.holder = g_strdup (rows->holder);
  lease->rows_known = TRUE;
}

void
ft_lease_observe (FtLease *lease, gint64 now, const FtLeaseRows *rows)
{
  gboolean same_fence = lease->rows_known && rows->fence_revision == lease->seen.fence_revision;
  if (!same_fence)
    lease->fence_since = now;
  if (same_fence && rows->renewal_revision == lease->seen.renewal_revision) {
    ft_lease_suspicion_rows_unchanged (&lease->suspicion);
  } else {
    ft_lease_suspicion_clear (&lease->suspicion); /* the holder has renewed, or another leads */
    take_rows (lease, now, rows);
  }
  plan_sweep (lease, now);
  if (lease->suspicion != FT_LEASE_SUSPICION_NONE)
    sweep_again_soon (lease, now);
  gboolean leading = lease->state == FT_LEASE_HOLDING || lease->state == FT_LEASE_EXPIRED;
  if (leading && rows->fence_revision != lease->fence_revision && rows->token > lease->token)
    ft_lease_lost (lease, now);
}

void
ft_lease_sweep_failed (FtLease *lease, gint64 now)
{
  /* While the rows cannot be read here, the holder may be unable to renew them. */
  lease->unrenewed_since = now;
  plan_sweep (lease, now);
  /* The first read after an outage should not wait for a full period: no controller leads then. */
  sweep_again_soon (lease, now);
}

/* Where connections between controllers are refused, a live leader looks dead to all of its peers, and claims made at
 * once would replace the leader twice a second. Hence a claim at once needs another peer that answers us, and a fence
 * that is not new. */
void
ft_lease_suspect (FtLease *lease, const char *holder, gboolean confirmed, gint64 now)
{
  if (lease->state != FT_LEASE_FOLLOWING || lease->suspicion != FT_LEASE_SUSPICION_NONE || !lease->rows_known
      || g_strcmp0 (lease->seen.holder, holder) != 0)
    return;
  gboolean fence_stable = now - lease->fence_since > (gint64) (FT_SUSPECT_FENCE_STABLE_S * FT_SECOND);
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
  /* One process runs under a member's name. If the fence names us and we do not lead, its holder is our dead
   * predecessor or an acquisition of our own that got no answer; either way no process acts under it. */
  return g_strcmp0 (lease->seen.holder, lease->member) == 0;
}

/* A live holder that works with that lease time renews within this time. */
static gint64
renewal_overdue_us (const FtLease *lease, gint64 lease_us)
{
  return (gint64) ((double) lease_us / lease->renew_fraction * (1 + FT_CLOCK_DRIFT) + FT_SUSPECT_MARGIN_S * FT_SECOND);
}

gboolean
ft_lease_acquire_due (const FtLease *lease, gint64 now)
{
  if (lease->state != FT_LEASE_FOLLOWING || !lease->rows_known)
    return FALSE;
  if (now < lease->abstain_until)
    return FALSE;
  if (lease->seen.fence_revision == 0 || holder_is_self (lease) || lease->seen.released)
    return TRUE;
  gint64 lease_us = MAX (lease->lease_us, lease->seen.lease_us);
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
  FtLeaseClaim claim = { .token = lease->seen.token + 1,
                         .fence_revision = lease->seen.fence_revision,
                         .renewal_revision = lease->seen.renewal_revision,
                         .check_renewal = !holder_is_self (lease) };
  ft_lease_suspicion_clear (&lease->suspicion);
  lease->token = claim.token;
  lease->sent_lease_us = lease->lease_us;
  lease->valid_until = now;
  set_state (lease, FT_LEASE_ACQUIRING, "claim sent");
  return claim;
}

/* ---- the holder ---- */

/* A claim or renewal that was sent at that time has succeeded. */
static void
extend (FtLease *lease, gint64 sent_at)
{
  gint64 margin = (gint64) (FT_LEASE_MARGIN_S * FT_SECOND);
  lease->valid_until
      = MAX (lease->valid_until, sent_at + (gint64) (lease->sent_lease_us * (1 - FT_CLOCK_DRIFT)) - margin);
  lease->last_contact = MAX (lease->last_contact, sent_at);
  lease->next_renewal = sent_at + (gint64) (lease->lease_us / lease->renew_fraction);
}

void
ft_lease_acquired (FtLease *lease, gint64 sent_at, guint64 revision)
{
  if (!set_state (lease, FT_LEASE_HOLDING, "acquired"))
    return;
  lease->fence_revision = revision;
  lease->last_contact = 0;
  lease->cancellations_known = FALSE;
  extend (lease, sent_at);
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
  lease->next_renewal = now + (gint64) (lease->lease_us / lease->renew_fraction);
}

void
ft_lease_renewed (FtLease *lease, gint64 sent_at)
{
  if (lease->state != FT_LEASE_HOLDING && lease->state != FT_LEASE_EXPIRED)
    return;
  /* The renewal was conditional on our fence: no other controller acquired the lease in between, so a
   * holder whose lease has expired may continue where it stopped. */
  extend (lease, sent_at);
  if (lease->state == FT_LEASE_EXPIRED)
    set_state (lease, FT_LEASE_HOLDING, "renewed");
}

void
ft_lease_renew_failed (FtLease *lease, gint64 now)
{
  lease->next_renewal
      = now + (gint64) (g_rand_double_range (lease->random, FT_RENEW_RETRY_MIN_S, FT_RENEW_RETRY_MAX_S) * FT_SECOND);
}

static void
follow (FtLease *lease, gint64 now, const char *reason)
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
  follow (lease, now, "lost");
}

void
ft_lease_released (FtLease *lease, gint64 now)
{
  lease->abstain_until = now + (gint64) (FT_ABSTAIN_S * FT_SECOND);
  follow (lease, now, "released");
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

/* A renewal that succeeds after an outage says nothing of what was cancelled during
 * it: no start before the cancellations have been read too. */
gboolean
ft_lease_may_start (const FtLease *lease, gint64 now)
{
  return lease->state == FT_LEASE_HOLDING && now < lease->valid_until && lease->cancellations_known
         && now < lease->cancellations_known_until + (gint64) (FT_CANCELLATIONS_FRESH_S * FT_SECOND);
}

/* An answer prolongs the lease of a worker, and with it whatever runs there: also what was
 * cancelled after the cancellations were last read, or, under a new holder, before it first
 * read them, however long ago that was. Hence no answer before the rows are read, and the
 * answer grace period counts from the older of the last renewal and that reading. */
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

guint64
ft_lease_fence_revision (const FtLease *lease)
{
  return lease->fence_revision;
}

const char *
ft_lease_holder (const FtLease *lease)
{
  return lease->seen.holder;
}
