#include "core/interruption_notice.h"

#include "core/attempt_lifecycle.h"
#include "core/job.h"

/* Stops the attempt if it can save its progress, or if it will have run for only a small share of its estimate when the
 * machine is taken back. */
static void
stop_if_useful (FtAttempt *attempt, double notice_s)
{
  const FtJobSpec *spec = attempt->job->spec;
  gint64 now = attempt->machine->context->now;
  double ran_s = attempt->running ? (double) (now - attempt->running_at) / FT_SECOND : 0;
  if (spec->checkpoint_interval_s > 0 && attempt->running)
    ft_attempt_request_stop (attempt, spec->checkpoint_duration_s);
  else if (ran_s + notice_s < FT_NOTICE_RESTART_SHARE * spec->estimate_s)
    ft_attempt_request_stop (attempt, 0);
}

/* Records that the machine's newest heartbeat carries no notice. */
static void
notice_ended (FtMachine *machine)
{
  if (machine->notice_until == 0)
    return;
  g_message ("machine %s: interruption notice ended (the cloud does not take it back)", machine->name);
  machine->notice_until = 0;
  machine->context->placement_due = TRUE;
}

void
ft_interruption_notice_apply (FtMachine *machine, double notice_s, FtSpotRisk *spot_risk)
{
  if (machine->state == FT_MACHINE_TERMINATING)
    return;
  if (notice_s < 0) {
    notice_ended (machine);
    return;
  }
  gboolean first = machine->notice_until == 0;
  machine->notice_until = machine->context->now + ft_seconds (notice_s);
  if (!first)
    return;
  g_message ("machine %s: interruption notice (the cloud takes it back in %.1f s)", machine->name, notice_s);
  ft_spot_risk_lost (spot_risk);
  g_autoptr (GList) all = g_hash_table_get_values (machine->attempts);
  for (GList *link = all; link != NULL; link = link->next) {
    FtAttempt *attempt = link->data;
    if (attempt->bound && !ft_attempt_has_exited (attempt))
      stop_if_useful (attempt, notice_s);
  }
}
