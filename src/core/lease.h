/* Leadership: the fenced lease, as an explicit state machine.
 *
 * Two rows in the state service: the fence (token, holder, incarnation), which
 * changes only at an acquisition, and the renewal row. This module decides when
 * to look, acquire, renew, and what the holder may do; it does no I/O. All
 * times are microseconds of this process's steady clock. */
#pragma once
#include <glib.h>

typedef enum {
  FT_LEASE_FOLLOWING, /* somebody else may hold the lease, or nobody */
  FT_LEASE_ACQUIRING, /* our acquisition is in flight or unanswered */
  FT_LEASE_HOLDING,   /* we hold it and may place until it expires */
  FT_LEASE_EXPIRED,   /* not renewed in time: no starts, answers only (hold) */
} FtLeaseState;

typedef struct _FtLease FtLease;

/* What was read of the two rows; a revision of 0 means the row does not exist. */
typedef struct {
  guint64 token;
  char *holder;
  guint64 incarnation;
  guint64 fence_revision;
  guint64 renewal_revision;
  gint64 lease_us;   /* the lease time its holder counts with; 0: unknown */
  gboolean released; /* the holder has given the lease up */
} FtLeaseRows;

void ft_lease_rows_clear (FtLeaseRows *rows);

/* `answer_grace_us` is the longest time after the last contact with the state service
 * during which a expired holder may still answer reports. */
FtLease *ft_lease_new (const char *member, guint64 incarnation, gint64 lease_us, gint64 sweep_us,
                       gint64 answer_grace_us, guint32 seed);
void ft_lease_free (FtLease *lease);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtLease, ft_lease_free)

FtLeaseState ft_lease_state (const FtLease *lease);
const char *ft_lease_state_name (FtLeaseState state);

/* Changes the times, at any moment: a holder counts with what its last renewal
 * wrote, and an observer with the longer of its own and what the row says. */
void ft_lease_set_times (FtLease *lease, gint64 lease_us, gint64 sweep_us, double jitter, double renew_fraction);
/* The lease time to write into a claim or a renewal sent now. */
gint64 ft_lease_time (const FtLease *lease);

/* The rows as read by an answer that came at `now`. */
void ft_lease_observe (FtLease *lease, gint64 now, const FtLeaseRows *rows);
/* A sweep failed: time without sight of the rows does not count against the holder. */
void ft_lease_sweep_failed (FtLease *lease, gint64 now);

/* Peers find this holder gone. A hint only: it makes us look at the rows at once
 * and claim before the lease time is over: if `confirmed` (another peer answers us) and the
 * fence is not new, when they stand still, else when a renewal is overdue. The claim is
 * fenced like any other, but the holder may live: it can start nothing beyond the
 * jobs' committed dispatch watermark, and what lies below them waits for the machines. */
void ft_lease_suspect (FtLease *lease, const char *holder, gboolean confirmed, gint64 now);

gboolean ft_lease_sweep_due (const FtLease *lease, gint64 now);
gboolean ft_lease_acquire_due (const FtLease *lease, gint64 now);
gboolean ft_lease_renew_due (const FtLease *lease, gint64 now);

/* Starts an acquisition; fills what it must be conditional on and write. */
typedef struct {
  guint64 token;
  guint64 fence_revision;
  guint64 renewal_revision;
  gboolean check_renewal; /* the holder may live: conditional on its renewal row too */
} FtLeaseClaim;
FtLeaseClaim ft_lease_claim (FtLease *lease, gint64 now);
void ft_lease_acquired (FtLease *lease, gint64 sent_at, guint64 revision);
void ft_lease_claim_failed (FtLease *lease, gint64 now);

void ft_lease_renew_sent (FtLease *lease, gint64 now);
void ft_lease_renewed (FtLease *lease, gint64 sent_at);
/* The renewal got no or a passing refusal: try again soon. */
void ft_lease_renew_failed (FtLease *lease, gint64 now);
/* The fence moved on, or a higher token was seen: we are no longer leader. */
void ft_lease_lost (FtLease *lease, gint64 now);
/* The holder has written that it gives the lease up: it stays off for a while. */
void ft_lease_released (FtLease *lease, gint64 now);
/* Moves HOLDING to LAPSED when its time is over. */
void ft_lease_tick (FtLease *lease, gint64 now);

/* The holder knows every cancellation that was committed before `at`: the time at which
 * the request was sent whose answer completes its knowledge. Never known right after an
 * acquisition, until the rows have been read. */
void ft_lease_cancellations_known (FtLease *lease, gint64 at);
/* Somebody else should lead: the holder starts nothing more, and goes on answering
 * until it is succeeded, its hold is over or a renewal succeeds after all. */
void ft_lease_yield (FtLease *lease, gint64 now);

gboolean ft_lease_may_start (const FtLease *lease, gint64 now);
gboolean ft_lease_may_answer (const FtLease *lease, gint64 now);
guint64 ft_lease_token (const FtLease *lease);
guint64 ft_lease_fence_revision (const FtLease *lease);
/* The holder last seen, or NULL; borrowed. */
const char *ft_lease_holder (const FtLease *lease);
