/* Leader election: the fenced lease, as an explicit state machine.
 *
 *     FOLLOWING --> ACQUIRING --> HOLDING <--> EXPIRED        any state --> FOLLOWING
 *
 * The lease is two rows in the key-value store: the fence (fencing token, holder, incarnation), which
 * changes only when the lease is acquired, and the renewal row, which the holder rewrites. Every
 * write of a leader is conditional on the fence, so a leader that was succeeded can commit nothing.
 * The lease bounds for how long it may go on starting tasks without asking the store.
 *
 * This module decides when to read the rows, acquire and renew, and what the holder may do. It does
 * no I/O: the node's leader code (src/net) sends the requests and reports their results here. All
 * times are microseconds of this process's steady clock; clocks of different processes are assumed
 * to differ in rate by FT_CLOCK_DRIFT at most. */
#pragma once
#include <glib.h>

typedef enum {
  FT_LEASE_FOLLOWING, /* another controller may hold the lease, or none */
  FT_LEASE_ACQUIRING, /* our acquisition is in flight or unanswered */
  FT_LEASE_HOLDING,   /* we hold it and may place until it expires */
  FT_LEASE_EXPIRED,   /* not renewed in time: no starts; heartbeats are answered for the answer grace period */
} FtLeaseState;

typedef struct _FtLease FtLease;

/* What was read of the two rows; a revision of 0 means the row does not exist. */
typedef struct {
  guint64 token;
  char *holder;
  guint64 incarnation;
  guint64 fence_revision;
  guint64 renewal_revision;
  gint64 lease_us;   /* the lease time that its holder works with; 0: unknown */
  gboolean released; /* the holder has released the lease */
} FtLeaseRows;

/* Frees what the rows own, not the struct. */
void ft_lease_rows_clear (FtLeaseRows *rows);

/* `sweep_us`: time between two reads of the rows by a follower. `answer_grace_us`: the longest time
 * after the last contact with the store during which a holder whose lease has expired may still
 * answer heartbeats. `seed`: for jitter. */
FtLease *ft_lease_new (const char *member, guint64 incarnation, gint64 lease_us, gint64 sweep_us,
                       gint64 answer_grace_us, guint32 seed);
/* NULL is ignored. */
void ft_lease_free (FtLease *lease);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtLease, ft_lease_free)

/* The present state; a lease that has run out is in FT_LEASE_EXPIRED only after ft_lease_tick(). */
FtLeaseState ft_lease_state (const FtLease *lease);

/* The state's name as operators see it. */
const char *ft_lease_state_name (FtLeaseState state);

/* Changes the times, at any moment: a holder works with what its last renewal wrote, and a follower
 * with the longer of its own lease time and what the row says. `jitter`: share by which reads of the
 * rows are jittered. `renew_fraction`: a lease is renewed that many times within its lease time. */
void ft_lease_set_times (FtLease *lease, gint64 lease_us, gint64 sweep_us, double jitter, double renew_fraction);
/* The lease time to write into a claim or a renewal sent now. */
gint64 ft_lease_time (const FtLease *lease);

/* ---- reading the rows (a sweep) ---- */

/* A follower should read the rows now. */
gboolean ft_lease_sweep_due (const FtLease *lease, gint64 now);

/* The rows as read by an answer that came at `now`; copied. A holder loses the lease if they show that another
 * controller acquired it. */
void ft_lease_observe (FtLease *lease, gint64 now, const FtLeaseRows *rows);

/* A sweep failed: time during which the rows cannot be read does not count against the holder. */
void ft_lease_sweep_failed (FtLease *lease, gint64 now);

/* Peers report this holder as gone. Advisory: the rows are read at once, and the lease may be claimed before
 * its time is over. If `confirmed` (another peer answers us) and the fence is not new, that is as soon
 * as the rows are seen not to have changed, else when a renewal is overdue. The claim is
 * fenced like any other, but the holder may live: it can start nothing beyond the
 * jobs' committed dispatch watermarks, and what lies below them waits until the machines are reconciled. */
void ft_lease_suspect (FtLease *lease, const char *holder, gboolean confirmed, gint64 now);

/* ---- acquiring and renewing ---- */

/* A follower should claim the lease now. */
gboolean ft_lease_acquire_due (const FtLease *lease, gint64 now);
/* A holder should renew the lease now. */
gboolean ft_lease_renew_due (const FtLease *lease, gint64 now);

/* What an acquisition must be conditional on and write. */
typedef struct {
  guint64 token;          /* to be written */
  guint64 fence_revision; /* conditions */
  guint64 renewal_revision;
  gboolean check_renewal; /* the holder may live: conditional on its renewal row too */
} FtLeaseClaim;
/* Starts an acquisition, which ends with one of the two calls below. */
FtLeaseClaim ft_lease_claim (FtLease *lease, gint64 now);
/* The claim that was sent at `sent_at` is committed; `revision` is that of the fence. */
void ft_lease_acquired (FtLease *lease, gint64 sent_at, guint64 revision);
/* The claim was refused or got no answer: the rows are to be read again. */
void ft_lease_claim_failed (FtLease *lease, gint64 now);

/* A renewal is being sent now, with ft_lease_time(). */
void ft_lease_renew_sent (FtLease *lease, gint64 now);
/* The renewal that was sent at `sent_at` is committed. */
void ft_lease_renewed (FtLease *lease, gint64 sent_at);
/* The renewal got no answer or was refused for the moment: it is repeated soon. */
void ft_lease_renew_failed (FtLease *lease, gint64 now);
/* The fence moved on, or a higher token was seen: we are no longer leader. */
void ft_lease_lost (FtLease *lease, gint64 now);
/* The holder has written that it releases the lease: it does not claim again for FT_ABSTAIN_S. */
void ft_lease_released (FtLease *lease, gint64 now);
/* Moves HOLDING to EXPIRED when its time is over. */
void ft_lease_tick (FtLease *lease, gint64 now);
/* Yields leadership: the holder starts nothing more, and continues to answer heartbeats
 * until it is succeeded, its answer grace period is over or a renewal succeeds after all. */
void ft_lease_yield (FtLease *lease, gint64 now);

/* ---- what the holder may do ---- */

/* The holder knows every cancellation that was committed before `at`: the time at which
 * the request was sent whose answer completes its knowledge. Never known right after an
 * acquisition, until the rows have been read. */
void ft_lease_cancellations_known (FtLease *lease, gint64 at);

/* Tasks may be started: the lease is valid and the cancellations are fresh. */
gboolean ft_lease_may_start (const FtLease *lease, gint64 now);
/* Heartbeats may be answered, which prolongs what runs. */
gboolean ft_lease_may_answer (const FtLease *lease, gint64 now);

/* Our fencing token while acquiring or holding; else 0. */
guint64 ft_lease_token (const FtLease *lease);
/* The revision of the fence that we acquired; 0: we hold none. Writes of the leader are conditional on it. */
guint64 ft_lease_fence_revision (const FtLease *lease);
/* The holder last seen, or NULL; borrowed. */
const char *ft_lease_holder (const FtLease *lease);
