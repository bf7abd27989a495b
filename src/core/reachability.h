/* Whether a machine's worker and this leader reach each other, each way.
 *
 * Three failures are distinguished. A machine is silent if nothing comes from it, neither heartbeats nor answers to
 * probes. It is not receiving if its heartbeats come but show nothing of our answers. It is not reporting if it answers
 * our commands but its own heartbeats reach no controller. The lease of a worker runs from the last answer that it may
 * have received.
 *
 * Silence counts only while this leader was there to hear: see on_time_since and answering_since of the context. The
 * facts are kept per machine (FtMachine.reachability) and changed by the functions below only. Called by the heartbeats
 * and their answers, the probes, and the scheduler's tick. Times are microseconds of the steady clock. */
#pragma once
#include "core/context.h"

typedef struct {
  /* From the machine to us. */
  gint64 last_status_at;    /* its last heartbeat, or answer to a command of ours */
  gint64 last_heartbeat_at; /* its last heartbeat of its own */
  gint64 probe_at;          /* earliest next probe */
  guint probe_fails;        /* requests without answer since its last status, while that was in question */
  /* From us to the machine. */
  gboolean acknowledged_token; /* it has shown our token: a status with a lower one is a late copy */
  guint64 answered;            /* highest sequence of its incarnation that we have answered */
  gint64 last_answer_at;       /* our last answer to a heartbeat of it, or a former leader's; 0: none */
  guint unacknowledged;        /* newer heartbeats in a row that show nothing of our answers */
  gint64 not_receiving_since;  /* 0: it receives our answers, for all we know */
} FtReachability;

/* ---- what happens ---- */

/* The machine is in the registry. `answered_until`: a former leader may have answered it until then. */
void ft_reachability_registered (FtReachability *reachability, gint64 answered_until, gint64 now);

/* The registry is read: silence counts from here. */
void ft_reachability_registry_loaded (FtReachability *reachability, gint64 now);

/* The first heartbeat of a machine that was not known. */
void ft_reachability_first_heartbeat (FtReachability *reachability, gint64 now);

/* A new incarnation has begun: none of its heartbeats has been answered. */
void ft_reachability_new_incarnation (FtReachability *reachability);

/* A status has come that is the machine's newest. `is_heartbeat`: not the answer to a command. */
void ft_reachability_status_received (FtReachability *reachability, gboolean is_heartbeat, gint64 now);

/* That status shows our token. TRUE: it is the first to do so. */
gboolean ft_reachability_token_acknowledged (FtReachability *reachability);

/* We answer the heartbeat of that sequence, of the present incarnation. */
void ft_reachability_sequence_answered (FtReachability *reachability, guint64 sequence);

/* We answer a heartbeat, whatever incarnation it is of. `reconciled`: the machine is; otherwise its next heartbeat
 * shows our token soon, and a probe can wait. */
void ft_reachability_answer_sent (FtReachability *reachability, gboolean reconciled, gint64 now);

/* A heartbeat does, or does not, show what our answers brought. `missing`: something is not there; `expected`:
 * something had been sent. One lost packet looks the same, hence the count. TRUE: the machine is not receiving from now
 * on. */
gboolean ft_reachability_update_acknowledgements (FtReachability *reachability, gboolean missing, gboolean expected,
                                                  gint64 now);

/* A command has reached the machine. */
void ft_reachability_command_arrived (FtReachability *reachability);

/* The machine is probed; the pause until the next probe grows with those in vain. */
void ft_reachability_probe_sent (FtReachability *reachability, gint64 now);

/* The machine is to be probed at once. */
void ft_reachability_probe_now (FtReachability *reachability, gint64 now);

/* A request got no answer, while the machine is in question. */
void ft_reachability_request_unanswered (FtReachability *reachability);

/* ---- what follows ---- */

/* Its heartbeats arrive, but neither answers nor commands seem to reach it. */
gboolean ft_reachability_not_receiving (const FtReachability *reachability);

/* Nothing has come since then, for all we can tell. */
gint64 ft_reachability_silent_since (const FtReachability *reachability, const FtCoreContext *context);

/* The ordinary gap between two heartbeats is over, with a margin. */
gboolean ft_reachability_overdue (const FtReachability *reachability, const FtCoreContext *context);

/* Since when it could have sent a heartbeat to us, and has not. */
gint64 ft_reachability_no_heartbeat_since (const FtReachability *reachability, const FtCoreContext *context);

/* No heartbeat of it has arrived for too long; its answers to commands do not count. */
gboolean ft_reachability_not_reporting (const FtReachability *reachability, const FtCoreContext *context);

/* Nothing arrives from the machine. `zone_unreachable`: nothing arrives from any machine of its zone, so that no probes
 * are needed; `reconciled`: the machine is, which takes fewer probes. */
gboolean ft_reachability_silent (const FtReachability *reachability, const FtCoreContext *context,
                                 gboolean zone_unreachable, gboolean reconciled);

/* A status has come of late: the machine may get work. A heartbeat may be overdue by a little. */
gboolean ft_reachability_recent (const FtReachability *reachability, const FtCoreContext *context);

/* The worker's lease has run out: it has dropped its tasks, unless it hangs. */
gboolean ft_reachability_lease_over (const FtReachability *reachability, const FtCoreContext *context);

/* How long a worker keeps its tasks after its last answered heartbeat, at most, in microseconds. */
gint64 ft_reachability_lease_us (const FtCoreContext *context);

/* How long nothing comes from a machine until it counts as silent, in microseconds. */
gint64 ft_reachability_silence_us (const FtCoreContext *context);

/* After how long without one a machine's heartbeat is overdue, in microseconds. */
gint64 ft_reachability_overdue_us (const FtCoreContext *context);
