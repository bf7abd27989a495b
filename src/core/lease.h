/* Leader election: the fenced lease, as a state machine.
 *
 *     FOLLOWING --> ACQUIRING --> HOLDING <--> EXPIRED        any state --> FOLLOWING
 *
 * The lease consists of two rows in the key-value store. The fence row (fencing token, holder, incarnation) changes
 * only when a controller acquires the lease. The renewal row is rewritten by the holder at each renewal. Every write of
 * a leader is conditional on the fence row, so a leader that has been succeeded can commit nothing. The lease time
 * bounds how long a leader may continue to start tasks without contact with the store.
 *
 * This module decides when to read the rows, when to acquire and renew the lease, and what the holder may do. It does
 * no I/O: the node's leader code (src/net) sends the requests and reports their results to the functions below. All
 * times are microseconds of this process's steady clock. The clocks of different processes are assumed to differ in
 * rate by FT_CLOCK_DRIFT at most. */
#pragma once
#include "core/worker_token.h"

typedef enum {
  FT_LEASE_FOLLOWING, /* this controller does not hold the lease; another controller may hold it */
  FT_LEASE_ACQUIRING, /* this controller's claim is in flight or got no answer */
  FT_LEASE_HOLDING,   /* this controller holds the lease and may start tasks until it expires */
  FT_LEASE_EXPIRED,   /* the lease was not renewed in time: no task is started; heartbeats are answered until the answer
                         grace period ends */
} FtLeaseState;

typedef struct _FtLease FtLease;

/* The contents of the two rows, as a follower or a holder read them. */
typedef struct {
  guint64 token;            /* fencing token of the last acquisition */
  char *holder;             /* name of the controller that acquired the lease, owned; NULL: no fence row */
  guint64 incarnation;      /* random number of the holder's process */
  guint64 fence_revision;   /* revision of the fence row; 0: the row does not exist */
  guint64 renewal_revision; /* revision of the renewal row; 0: the row does not exist */
  gint64 lease_us;          /* lease time that the holder works with, in microseconds; 0: unknown */
  gboolean released;        /* the holder has released the lease */
} FtLeaseRows;

/* Frees what the struct owns, not the struct itself. */
void ft_lease_rows_clear (FtLeaseRows *rows);

/* Returns a lease in FT_LEASE_FOLLOWING for the controller `member`. `sweep_us` is the time between two reads of the
 * rows by a follower. `answer_grace_us` is the longest time after the last contact with the store during which a holder
 * whose lease has expired may still answer heartbeats. `seed` is that of the random jitter. */
FtLease *ft_lease_new (const char *member, guint64 incarnation, gint64 lease_us, gint64 sweep_us,
                       gint64 answer_grace_us, guint32 seed);
/* Frees the lease; NULL is ignored. */
void ft_lease_free (FtLease *lease);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtLease, ft_lease_free)

/* Returns the state. A lease whose time is over is in FT_LEASE_EXPIRED only after ft_lease_tick(). */
FtLeaseState ft_lease_state (const FtLease *lease);

/* Returns the name of a state as operators see it. */
const char *ft_lease_state_name (FtLeaseState state);

/* Changes the settings of the lease; allowed in any state. A holder works with the lease time that its last renewal
 * wrote, and a follower with the longer one of its own lease time and that of the renewal row. `jitter` is the share by
 * which the time between two reads of the rows varies at random. `renewals_per_lease` is the number of renewals that
 * are sent within one lease time. */
void ft_lease_set_times (FtLease *lease, gint64 lease_us, gint64 sweep_us, double jitter, double renewals_per_lease);
/* Returns the lease time that a claim or a renewal sent now has to write, in microseconds. */
gint64 ft_lease_time (const FtLease *lease);

/* ---- reading the rows (a sweep) ---- */

/* Returns whether a follower should read the rows now. */
gboolean ft_lease_sweep_due (const FtLease *lease, gint64 now);

/* Records the result of a sweep: the contents of the rows, which are copied. The answer with the rows arrived at `now`.
 * A holder loses the lease if the rows show that another controller has acquired it. */
void ft_lease_observe (FtLease *lease, gint64 now, const FtLeaseRows *rows);

/* Records that a sweep failed. Time during which the rows cannot be read does not count against the holder. */
void ft_lease_sweep_failed (FtLease *lease, gint64 now);

/* Records that peers report `holder` as gone. The report is advisory: the follower reads the rows at once and may claim
 * the lease before the lease time is over. If the report is `confirmed` (another peer answers this controller) and the
 * fence row has not changed for FT_SUSPECT_FENCE_STABLE_S, the follower may claim the lease as soon as a read shows
 * that the rows have not changed; otherwise it may do so when a renewal is overdue. The claim is fenced like any other.
 * The holder may still be alive, but it can start no task beyond the dispatch watermarks that are committed, and the
 * new leader places the tasks below them only after the machines are reconciled. */
void ft_lease_suspect (FtLease *lease, const char *holder, gboolean confirmed, gint64 now);

/* ---- acquiring and renewing ---- */

/* Returns whether a follower should claim the lease now. */
gboolean ft_lease_acquire_due (const FtLease *lease, gint64 now);
/* Returns whether a holder should renew the lease now. */
gboolean ft_lease_renew_due (const FtLease *lease, gint64 now);

/* A claim: what the transaction that acquires the lease writes, and what it is conditional on. */
typedef struct {
  guint64 token;            /* fencing token to write */
  guint64 fence_revision;   /* revision that the fence row must have */
  guint64 renewal_revision; /* revision that the renewal row must have if `check_renewal` is TRUE */
  gboolean check_renewal;   /* the holder may be alive: the claim must fail if it has renewed the lease */
} FtLeaseClaim;
/* Starts an acquisition and returns its claim. The acquisition ends with ft_lease_acquired() or
 * ft_lease_claim_failed(). */
FtLeaseClaim ft_lease_claim (FtLease *lease, gint64 now);
/* Records that the claim sent at `sent_at` is committed. `revision` is the new revision of the fence row. */
void ft_lease_acquired (FtLease *lease, gint64 sent_at, guint64 revision);
/* Records that the claim was refused or got no answer. The rows are to be read again. */
void ft_lease_claim_failed (FtLease *lease, gint64 now);

/* Records that a renewal with the lease time ft_lease_time() is being sent. */
void ft_lease_renew_sent (FtLease *lease, gint64 now);
/* Records that the renewal sent at `sent_at` is committed. */
void ft_lease_renewed (FtLease *lease, gint64 sent_at);
/* Records that the renewal got no answer or was refused for the moment. It is to be repeated soon. */
void ft_lease_renew_failed (FtLease *lease, gint64 now);
/* Ends the leadership, since the fence row has changed or a higher fencing token was seen. */
void ft_lease_lost (FtLease *lease, gint64 now);
/* Ends the leadership, since this controller has released the lease in the renewal row. It does not claim the lease
 * again for FT_ABSTAIN_S. */
void ft_lease_released (FtLease *lease, gint64 now);
/* Moves a holder whose lease time is over from HOLDING to EXPIRED. */
void ft_lease_tick (FtLease *lease, gint64 now);
/* Yields leadership: the holder starts no more tasks, but continues to answer heartbeats until another controller
 * succeeds it or its answer grace period is over. A renewal that succeeds later reverses this. */
void ft_lease_yield (FtLease *lease, gint64 now);

/* ---- what the holder may do ---- */

/* Records that the holder knows every cancellation committed before `at`: the time at which the last answered request
 * for cancellations was sent. After an acquisition, no cancellation counts as known until the rows of the cancellations
 * have been read. */
void ft_lease_cancellations_known (FtLease *lease, gint64 at);

/* Returns whether tasks may be started: the lease is valid, and the cancellations were read recently. */
gboolean ft_lease_may_start (const FtLease *lease, gint64 now);
/* Returns whether heartbeats may be answered. Each answer prolongs the worker's lease and so the run time of its
 * tasks. */
gboolean ft_lease_may_answer (const FtLease *lease, gint64 now);

/* Returns this controller's fencing token while it acquires or holds the lease, otherwise 0. */
guint64 ft_lease_token (const FtLease *lease);
/* Returns the worker tokens of this controller's leadership, the last of which is its fencing token. Valid while it
 * acquires or holds the lease. */
FtWorkerTokenRange ft_lease_worker_tokens (const FtLease *lease);
/* Returns the revision of the fence row that this controller acquired; 0 if it does not hold the lease. The writes of
 * the leader are conditional on it. */
guint64 ft_lease_fence_revision (const FtLease *lease);
/* Returns the name of the last holder that the rows showed, borrowed; NULL if none is known. */
const char *ft_lease_holder (const FtLease *lease);
