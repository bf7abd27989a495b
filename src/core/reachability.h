/* Reachability of a machine: whether messages pass between its worker and this leader, in each direction.
 *
 * Three failures are distinguished. A machine is silent if neither heartbeats nor answers to probes arrive from it. It
 * is not receiving if its heartbeats arrive but do not acknowledge our answers. It is not reporting if it answers our
 * commands but its heartbeats reach no controller. A worker lease runs from the last answer that the worker may have
 * received, or from the beginning of its incarnation.
 *
 * Time counts as silence only if this leader could have received a heartbeat in it: see `timers_late_until` and
 * `answers_interrupted_until` of FtCoreContext. Each machine has one such record (FtMachine.reachability), which only
 * the functions below change. They are called by the modules of heartbeats, heartbeat answers and probes, and on the
 * scheduler's tick. Times are in microseconds of the steady clock. */
#pragma once
#include "core/context.h"

/* The event from which a worker lease is reckoned. */
typedef enum {
  FT_LEASE_FROM_NOTHING,       /* there is none: no heartbeat was answered */
  FT_LEASE_FROM_ANSWER,        /* this leader has answered a heartbeat */
  FT_LEASE_FROM_FIRST_STATUS,  /* the first status of the incarnation has arrived */
  FT_LEASE_FROM_FORMER_LEADER, /* a former leader may have answered a heartbeat */
} FtLeaseEvent;

typedef struct {
  /* From the machine to this leader. */
  gint64 last_status_at;    /* arrival of the last status, in a heartbeat or in the answer to a command */
  gint64 last_heartbeat_at; /* arrival of the last heartbeat */
  gint64 probe_at;          /* earliest time of the next probe */
  guint probe_fails;        /* requests without answer since the last status, see ft_probes_unanswered() */
  /* From this leader to the machine. */
  gboolean acknowledged_token; /* a status has shown our token; a status with a lower token is a late copy */
  guint64 answered;            /* highest heartbeat sequence of the current incarnation that has been answered */
  gint64 lease_from;        /* from when the worker lease is reckoned, never too early: the last answer to a heartbeat,
                               by this leader or a former one, or the first status of the incarnation; 0: neither */
  FtLeaseEvent lease_event; /* what happened at `lease_from` */
  guint unacknowledged;     /* heartbeats in a row that do not acknowledge our answers */
  gint64 not_receiving_since; /* since when the machine does not receive our answers; 0: it seems to receive them */
} FtReachability;

/* ---- events ---- */

/* Records that the machine was read from the registry. `answered_until`: time until which a former leader may have
 * answered its heartbeats. */
void ft_reachability_registered (FtReachability *reachability, gint64 answered_until, gint64 now);

/* Records that the whole registry has been read: the machine's silence counts from `now` on. */
void ft_reachability_registry_loaded (FtReachability *reachability, gint64 now);

/* Records the first status of a new incarnation, none of whose heartbeats has been answered. Its worker lease began
 * with it, at an unknown time before `now`. */
void ft_reachability_new_incarnation (FtReachability *reachability, gint64 now);

/* Records the arrival of the machine's newest status. `is_heartbeat`: the status came in a heartbeat, not in the answer
 * to a command. */
void ft_reachability_status_received (FtReachability *reachability, gboolean is_heartbeat, gint64 now);

/* Records that the machine's newest status shows our fencing token. Returns TRUE for the first such status. */
gboolean ft_reachability_token_acknowledged (FtReachability *reachability);

/* Records that the heartbeat `sequence` of the current incarnation is being answered. */
void ft_reachability_sequence_answered (FtReachability *reachability, guint64 sequence);

/* Records that a heartbeat of any incarnation is being answered. `reconciled`: whether the machine is reconciled. If it
 * is not, its next probe is postponed, since its next heartbeat will show our token soon. */
void ft_reachability_answer_sent (FtReachability *reachability, gboolean reconciled, gint64 now);

/* Records whether a heartbeat acknowledges our answers. `missing`: the heartbeat lacks our token or a task that an
 * answer started; `expected`: an answer has carried a start that the heartbeat should show. A lost packet has the same
 * effect once, so only FT_UNACKNOWLEDGED_MAX such heartbeats in a row count. Returns TRUE if the machine counts as not
 * receiving from `now` on. */
gboolean ft_reachability_update_acknowledgements (FtReachability *reachability, gboolean missing, gboolean expected,
                                                  gint64 now);

/* Records that a command has reached the machine, which shows that it receives. */
void ft_reachability_command_arrived (FtReachability *reachability);

/* Records that a probe is being sent. The pause until the next probe doubles with each request that got no answer, up
 * to FT_PROBE_DOUBLINGS times. */
void ft_reachability_probe_sent (FtReachability *reachability, gint64 now);

/* Makes the next probe due at `now`. */
void ft_reachability_probe_now (FtReachability *reachability, gint64 now);

/* Records that a request got no answer. Called only for machines that need probes. */
void ft_reachability_request_unanswered (FtReachability *reachability);

/* ---- conclusions ---- */

/* Whether the machine's heartbeats arrive, but neither answers nor commands seem to reach it. */
gboolean ft_reachability_not_receiving (const FtReachability *reachability);

/* Returns the time since which no status has arrived and this leader was not late itself. */
gint64 ft_reachability_silent_since (const FtReachability *reachability, const FtCoreContext *context);

/* Whether a status is overdue: none has arrived for longer than the longest regular gap between two heartbeats plus
 * FT_OVERDUE_MARGIN_S. */
gboolean ft_reachability_overdue (const FtReachability *reachability, const FtCoreContext *context);

/* Returns the time since which no heartbeat has arrived although this leader could have received and answered one. */
gint64 ft_reachability_no_heartbeat_since (const FtReachability *reachability, const FtCoreContext *context);

/* Whether no heartbeat has arrived for longer than ft_reachability_silence_us(). Answers to commands do not count. */
gboolean ft_reachability_not_reporting (const FtReachability *reachability, const FtCoreContext *context);

/* Whether the machine is silent: no status arrives from it, and probes have confirmed this or the silence has lasted
 * for ft_reachability_silence_us(). `zone_unreachable`: no machine of its zone reports, so that no probes are needed;
 * `reconciled`: the machine is reconciled, so that fewer probes are needed. */
gboolean ft_reachability_silent (const FtReachability *reachability, const FtCoreContext *context,
                                 gboolean zone_unreachable, gboolean reconciled);

/* Whether the last status is recent enough for the machine to get work. A heartbeat may be overdue by up to
 * FT_USABLE_MARGIN_S. */
gboolean ft_reachability_recent (const FtReachability *reachability, const FtCoreContext *context);

/* Whether the worker lease has run out. The worker has then stopped its tasks, unless it hangs. */
gboolean ft_reachability_lease_over (const FtReachability *reachability, const FtCoreContext *context);

/* Returns the event from which the worker lease is reckoned, as a text for the log. */
const char *ft_reachability_lease_event (const FtReachability *reachability);

/* Returns the longest time for which a worker keeps its tasks after its last answered heartbeat, in microseconds. */
gint64 ft_reachability_lease_us (const FtCoreContext *context);

/* Returns the time without a status after which a machine counts as silent even without probes, in microseconds. */
gint64 ft_reachability_silence_us (const FtCoreContext *context);

/* Returns the time without a status after which a heartbeat is overdue, in microseconds. */
gint64 ft_reachability_overdue_us (const FtCoreContext *context);
