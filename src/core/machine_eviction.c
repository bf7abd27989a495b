#include "core/machine_eviction.h"

#include "core/start_in_doubt.h"

typedef struct {
  guint reporting; /* machines that are up, receive our answers and send heartbeats */
  guint lost;      /* machines that should be reporting and are not */
} ReportingCount;

static ReportingCount
count_reporting (const FtMachineTable *table)
{
  ReportingCount count = { 0 };
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    gboolean reporting
        = machine->state == FT_MACHINE_UP && !ft_machine_not_receiving (machine) && !ft_machine_not_reporting (machine);
    count.reporting += reporting;
    count.lost += !reporting && ft_machine_should_report (machine);
  }
  return count;
}

/* ---- cancelled work ---- */

gboolean
ft_machine_eviction_holds_cancelled (const FtMachine *machine, gint64 before)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    if (attempt->reserved && attempt->job != NULL && attempt->job->state == FT_JOB_CANCELLING
        && attempt->job->cancelled_at <= before)
      return TRUE;
  }
  return FALSE;
}

/* Returns the age in microseconds of the oldest cancellation of a job whose tasks may still run on machines that are
 * not reconciled; 0: there is none. */
static gint64
unseen_cancellation_age (const FtMachineEviction *eviction)
{
  gint64 age = 0;
  GHashTableIter it;
  gpointer value;
  if (ft_recovery_is_done (eviction->recovery))
    return 0;
  g_hash_table_iter_init (&it, eviction->job_table->jobs);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtJob *job = value;
    if (job->state == FT_JOB_CANCELLING && job->counts[FT_TASK_UNKNOWN] > 0)
      age = MAX (age, eviction->context->now - job->cancelled_at);
  }
  return age;
}

/* Whether a cancellation of this age (microseconds) leaves no time to wait until the machine can be reached. */
static gboolean
is_cancellation_urgent (const FtCoreContext *context, gint64 age)
{
  return age > ft_seconds (FT_CANCELLED_SCALE_IN_SHARE * context->settings->cancel_s);
}

static gboolean
cloud_answers (const FtCoreContext *context)
{
  return context->cloud_answered_at > 0
         && context->now - context->cloud_answered_at < ft_seconds (FT_CLOUD_ANSWERED_WITHIN_S);
}

/* Whether the store has been unreachable for so long that any task may have been cancelled without this leader's
 * knowledge. A cancelled task on a hung machine outlives its worker lease, so lost machines must then be returned. A
 * leader that is itself cut off must not return machines late, since its successor may use them by then. A leader
 * counts as cut off if few machines report and the cloud does not answer. */
static gboolean
is_store_unreachable (const FtCoreContext *context, ReportingCount count)
{
  return is_cancellation_urgent (context, context->now - context->cancellations_known_until)
         && (FT_STORE_UNREACHABLE_REPORTING_RATIO * count.lost <= count.reporting || cloud_answers (context));
}

/* The tasks on an unreconciled machine are unknown, and without the store the cancellations are unknown too. This
 * alone is no reason to return a machine, since each cancellation would then empty a zone that is cut off. Such
 * machines are therefore returned only after FT_CANCELLED_SCALE_IN_SHARE of cancel_s. */
gboolean
ft_machine_eviction_may_hold_cancelled (const FtMachineEviction *eviction, const FtMachine *machine)
{
  return ft_machine_eviction_holds_cancelled (machine, G_MAXINT64)
         || (!machine->reconciled && is_cancellation_urgent (eviction->context, eviction->unseen_cancellation_us))
         || (eviction->store_unreachable && !ft_machine_idle (machine));
}

/* ---- lost machines ---- */

/* Whether the zone is cut off and not this leader: the store has answered since a machine of the zone last reported. */
static gboolean
zone_alone_lost (const FtCoreContext *context, const FtZone *zone)
{
  gint64 silent_since = MAX (zone->last_report_at, context->loaded_at);
  return context->cancellations_known_until > silent_since + ft_seconds (FT_ZONE_STORE_ANSWERED_LATER_S);
}

/* Whether one more machine may be terminated for silence in the current window. Starts a new window if the current one
 * has ended. */
static gboolean
window_allows (FtMachineEviction *eviction, ReportingCount count)
{
  gint64 now = eviction->context->now;
  if (now - eviction->window_started_at > ft_seconds (FT_SILENT_SCALE_IN_WINDOW_S)) {
    eviction->window_started_at = now;
    eviction->window_terminated = 0;
  }
  guint most = MAX (FT_SILENT_SCALE_IN_MIN, (guint) (FT_SILENT_SCALE_IN_SHARE * (count.reporting + count.lost)));
  return eviction->window_terminated < most;
}

/* Whether a lost machine may be terminated. A controller that is itself cut off must not return a healthy fleet.
 * Silence therefore counts against a machine only while the store answers, and only while most other machines report or
 * the machine has been silent for long. Only a few machines are returned within a window, unless their whole zone is
 * unreachable. Machines that do not receive our answers count as silent here. */
static gboolean
may_terminate_lost (FtMachineEviction *eviction, const FtMachine *machine, ReportingCount count)
{
  const FtCoreContext *context = eviction->context;
  gboolean window_open = window_allows (eviction, count);
  gint64 long_silent = ft_seconds (FT_SILENT_MAJORITY_LEASES * context->settings->lease_s);
  if (context->now - context->cancellations_known_until > ft_seconds (FT_SILENT_SCALE_IN_STORE_SEEN_S))
    return FALSE;
  if (count.lost > count.reporting
      && context->now - ft_reachability_no_heartbeat_since (&machine->reachability, context) <= long_silent)
    return FALSE;
  if (machine->zone_view->unreachable)
    return zone_alone_lost (context, machine->zone_view);
  return window_open;
}

static gboolean
not_receiving_long (const FtMachine *machine)
{
  const FtCoreContext *context = machine->context;
  /* A controller that was late has answered heartbeats too late, which does not count against the machine. */
  return machine->state == FT_MACHINE_UP && ft_machine_not_receiving (machine)
         && context->now - MAX (machine->reachability.not_receiving_since, context->timers_late_until)
                > ft_seconds (FT_NOT_RECEIVING_SCALE_IN_S);
}

/* Whether no heartbeat of the machine has arrived for so long that its worker lease has expired. The lease of a new
 * incarnation would expire as well, as long as its heartbeats do not arrive either. */
static gboolean
not_reporting_long (const FtMachine *machine)
{
  const FtCoreContext *context = machine->context;
  return ft_machine_not_reporting (machine)
         && context->now - ft_reachability_no_heartbeat_since (&machine->reachability, context)
                > ft_reachability_lease_us (context);
}

/* Returns the reason why the machine counts as lost, as a text for the log; NULL: the machine is not lost. */
static const char *
reason_lost (const FtMachine *machine)
{
  if (machine->state == FT_MACHINE_SILENT)
    return "silent";
  if (not_receiving_long (machine))
    return "not receiving our answers";
  return not_reporting_long (machine) ? "not reporting to any controller" : NULL;
}

/* ---- other reasons ---- */

/* Returns the reason why the end of the machine's interruption notice terminates it, as a text for the log: the machine
 * has not reported since then, or has nothing left to do. NULL: there is no such reason. */
static const char *
reason_notice_over (const FtMachine *machine)
{
  gint64 taken_at = machine->notice_until + ft_seconds (FT_NOTICE_MARGIN_S);
  if (machine->notice_until == 0 || machine->context->now <= taken_at)
    return NULL;
  if (machine->reachability.last_status_at < machine->notice_until)
    return "taken by the cloud";
  return ft_machine_idle (machine) ? "its interruption notice has run out" : NULL;
}

static gboolean
boot_failed (const FtMachine *machine)
{
  double boot_s = machine->type != NULL ? machine->type->boot_s : FT_BOOT_UNKNOWN_S;
  gint64 limit = ft_seconds (boot_s * FT_BOOT_TIMEOUT_FACTOR + FT_BOOT_TIMEOUT_EXTRA_S);
  return machine->state == FT_MACHINE_BOOTING && machine->context->now - machine->launched_at > limit;
}

/* Whether the machine is idle and the catalog does not offer its type, so that no job can use it. An empty catalog has
 * not been read yet. */
static gboolean
of_unknown_type_and_idle (const FtMachine *machine)
{
  const FtCoreContext *context = machine->context;
  return machine->type == NULL && context->catalog->types->len > 0 && machine->state == FT_MACHINE_UP
         && machine->reconciled && ft_machine_idle (machine)
         && context->now - machine->idle_since > ft_seconds (FT_UNKNOWN_TYPE_SCALE_IN_S);
}

/* Whether the machine is faulty and idle. Tasks that were started before the machine became faulty may complete; that
 * they do proves nothing, so the machine is terminated all the same. */
static gboolean
faulty_and_idle (const FtMachine *machine)
{
  return (machine->fitness.quarantine & FT_QUARANTINED_FAULTY) && machine->reconciled && ft_machine_idle (machine);
}

static void
check_machine (FtMachineEviction *eviction, FtMachine *machine, ReportingCount count)
{
  const char *lost_reason = reason_lost (machine);
  const char *notice_reason = reason_notice_over (machine);
  if (notice_reason != NULL) {
    ft_machine_terminate (machine, notice_reason);
  } else if (lost_reason != NULL
             && (ft_machine_eviction_may_hold_cancelled (eviction, machine)
                 || may_terminate_lost (eviction, machine, count))) {
    eviction->window_terminated += !machine->zone_view->unreachable;
    ft_machine_terminate (machine, lost_reason);
  } else if (boot_failed (machine)) {
    ft_machine_terminate (machine, "did not boot in time");
  } else if (ft_start_in_doubt_check (machine)) {
    ft_machine_terminate (machine, "a cancelled start may still be executed");
  } else if (of_unknown_type_and_idle (machine)) {
    ft_machine_terminate (machine, "its type is not in the catalog");
  } else if (faulty_and_idle (machine)) {
    ft_machine_terminate (machine, "faulty");
  }
}

void
ft_machine_eviction_tick (FtMachineEviction *eviction)
{
  GHashTableIter it;
  gpointer value;
  ReportingCount count = count_reporting (eviction->machine_table);
  eviction->unseen_cancellation_us = unseen_cancellation_age (eviction);
  eviction->store_unreachable = is_store_unreachable (eviction->context, count);
  g_hash_table_iter_init (&it, eviction->machine_table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    if (machine->state != FT_MACHINE_TERMINATING && machine->state != FT_MACHINE_GONE)
      check_machine (eviction, machine, count);
  }
}
