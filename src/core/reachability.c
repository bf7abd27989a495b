#include "core/reachability.h"

/* Reckons the worker lease from `at`, unless it is reckoned from a later time already. */
static void
extend_lease (FtReachability *reachability, FtLeaseEvent event, gint64 at)
{
  if (at < reachability->lease_from)
    return;
  reachability->lease_from = at;
  reachability->lease_event = event;
}

/* ---- events ---- */

void
ft_reachability_registered (FtReachability *reachability, gint64 answered_until, gint64 now)
{
  extend_lease (reachability, FT_LEASE_FROM_FORMER_LEADER, answered_until);
  reachability->last_status_at = now;
}

void
ft_reachability_registry_loaded (FtReachability *reachability, gint64 now)
{
  reachability->last_status_at = reachability->last_heartbeat_at = now;
  reachability->probe_at = now + ft_seconds (FT_PROBE_FIRST_S);
  /* A heartbeat of the machine may have been answered while the registry was being read. */
  extend_lease (reachability, FT_LEASE_FROM_FORMER_LEADER, now);
}

void
ft_reachability_new_incarnation (FtReachability *reachability, gint64 now)
{
  reachability->answered = 0;
  extend_lease (reachability, FT_LEASE_FROM_FIRST_STATUS, now);
}

void
ft_reachability_status_received (FtReachability *reachability, gboolean is_heartbeat, gint64 now)
{
  reachability->last_status_at = now;
  if (is_heartbeat)
    reachability->last_heartbeat_at = now;
  reachability->probe_fails = 0;
}

gboolean
ft_reachability_token_acknowledged (FtReachability *reachability)
{
  gboolean first = !reachability->acknowledged_token;
  reachability->acknowledged_token = TRUE;
  return first;
}

void
ft_reachability_sequence_answered (FtReachability *reachability, guint64 sequence)
{
  reachability->answered = MAX (reachability->answered, sequence);
}

void
ft_reachability_answer_sent (FtReachability *reachability, gboolean reconciled, gint64 now)
{
  extend_lease (reachability, FT_LEASE_FROM_ANSWER, now);
  if (!reconciled)
    reachability->probe_at = MAX (reachability->probe_at, now + ft_seconds (FT_PROBE_FIRST_S));
}

gboolean
ft_reachability_update_acknowledgements (FtReachability *reachability, gboolean missing, gboolean expected, gint64 now)
{
  if (missing)
    reachability->unacknowledged++;
  else if (expected || !ft_reachability_not_receiving (reachability))
    reachability->unacknowledged = 0;
  if (reachability->unacknowledged == 0)
    reachability->not_receiving_since = 0;
  if (reachability->unacknowledged < FT_UNACKNOWLEDGED_MAX || ft_reachability_not_receiving (reachability))
    return FALSE;
  reachability->not_receiving_since = now;
  return TRUE;
}

void
ft_reachability_command_arrived (FtReachability *reachability)
{
  reachability->unacknowledged = 0;
  reachability->not_receiving_since = 0;
}

void
ft_reachability_probe_sent (FtReachability *reachability, gint64 now)
{
  guint pause = 1u << MIN (reachability->probe_fails, FT_PROBE_DOUBLINGS);
  reachability->probe_at = now + ft_seconds (FT_PROBE_EVERY_S * pause);
}

void
ft_reachability_probe_now (FtReachability *reachability, gint64 now)
{
  reachability->probe_at = now;
}

void
ft_reachability_request_unanswered (FtReachability *reachability)
{
  reachability->probe_fails++;
}

/* ---- conclusions ---- */

gboolean
ft_reachability_not_receiving (const FtReachability *reachability)
{
  return reachability->not_receiving_since > 0;
}

gint64
ft_reachability_silent_since (const FtReachability *reachability, const FtCoreContext *context)
{
  return MAX (reachability->last_status_at, context->timers_late_until);
}

gboolean
ft_reachability_overdue (const FtReachability *reachability, const FtCoreContext *context)
{
  return context->now - ft_reachability_silent_since (reachability, context) > ft_reachability_overdue_us (context);
}

gint64
ft_reachability_no_heartbeat_since (const FtReachability *reachability, const FtCoreContext *context)
{
  return MAX (reachability->last_heartbeat_at, MAX (context->timers_late_until, context->answers_interrupted_until));
}

gboolean
ft_reachability_not_reporting (const FtReachability *reachability, const FtCoreContext *context)
{
  return context->now - ft_reachability_no_heartbeat_since (reachability, context)
         > ft_reachability_silence_us (context);
}

/* Unanswered probes prove nothing before the heartbeat is overdue. Right after a failover this controller is busy and
 * may be late itself, and it must not return a healthy fleet for that. */
gboolean
ft_reachability_silent (const FtReachability *reachability, const FtCoreContext *context, gboolean zone_unreachable,
                        gboolean reconciled)
{
  gint64 silent_us = context->now - ft_reachability_silent_since (reachability, context);
  if (silent_us > ft_reachability_silence_us (context))
    return TRUE;
  if (!ft_reachability_overdue (reachability, context))
    return FALSE;
  guint probes_needed = reconciled ? FT_SILENT_PROBES : FT_SILENT_PROBES_FAILOVER;
  return zone_unreachable || reachability->probe_fails >= probes_needed;
}

gboolean
ft_reachability_recent (const FtReachability *reachability, const FtCoreContext *context)
{
  double longest_gap_s = context->settings->heartbeat_s * FT_HEARTBEAT_GAP_INTERVALS + FT_USABLE_MARGIN_S;
  return context->now - reachability->last_status_at < ft_seconds (longest_gap_s);
}

gboolean
ft_reachability_lease_over (const FtReachability *reachability, const FtCoreContext *context)
{
  return reachability->lease_from > 0 && context->now > reachability->lease_from + ft_reachability_lease_us (context);
}

const char *
ft_reachability_lease_event (const FtReachability *reachability)
{
  switch (reachability->lease_event) {
  case FT_LEASE_FROM_NOTHING:
    break;
  case FT_LEASE_FROM_ANSWER:
    return "the last answer";
  case FT_LEASE_FROM_FIRST_STATUS:
    return "its first status";
  case FT_LEASE_FROM_FORMER_LEADER:
    return "the time until which a former leader may have answered";
  }
  return "no event";
}

gint64
ft_reachability_lease_us (const FtCoreContext *context)
{
  return ft_seconds (context->settings->lease_s * (1 + FT_CLOCK_DRIFT) + FT_WORKER_LEASE_MARGIN_S);
}

gint64
ft_reachability_silence_us (const FtCoreContext *context)
{
  return ft_seconds (context->settings->heartbeat_s * FT_HEARTBEAT_GAP_INTERVALS + FT_WORKER_TIMEOUT_S
                     + FT_SILENCE_MARGIN_S);
}

gint64
ft_reachability_overdue_us (const FtCoreContext *context)
{
  return ft_seconds (context->settings->heartbeat_s * FT_HEARTBEAT_GAP_INTERVALS + FT_OVERDUE_MARGIN_S);
}
