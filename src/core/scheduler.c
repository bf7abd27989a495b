#include "core/scheduler.h"

#include "core/autoscaler.h"
#include "core/scheduler_private.h"

/* ---- life ---- */

static void
on_job_removed (FtJob *job, gpointer data)
{
  FtScheduler *scheduler = data;
  ft_placement_forget (scheduler, job);
}

FtScheduler *
ft_scheduler_new (const FtSettings *settings, FtCatalog *catalog, guint64 token, gint64 answer_grace_us, gint64 now,
                  guint32 seed)
{
  FtScheduler *scheduler = g_new0 (FtScheduler, 1);
  scheduler->context.settings = settings;
  scheduler->context.catalog = ft_catalog_ref (catalog);
  scheduler->context.token = token;
  scheduler->context.answer_grace_us = answer_grace_us;
  scheduler->context.now = scheduler->context.took_over_at = scheduler->context.cancellations_known_until = now;
  scheduler->context.random = g_rand_new_with_seed (seed);
  scheduler->placement.next_attempt = scheduler->autoscaler.next_booking = 1;
  ft_tuning_defaults (&scheduler->context.tuning);
  scheduler->machine_table.drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scheduler->quota.n_teams = settings->n_teams;
  scheduler->quota.teams = g_new0 (FtTeam, settings->n_teams);
  for (guint i = 0; i < settings->n_teams; i++)
    scheduler->quota.teams[i].limit = &settings->teams[i];
  ft_job_table_init (&scheduler->job_table, &scheduler->context, &scheduler->quota, on_job_removed, scheduler);
  ft_registry_init (&scheduler->registry, &scheduler->context, &scheduler->machine_table);
  ft_write_queue_init (&scheduler->write_queue, &scheduler->context, &scheduler->job_table, &scheduler->registry);
  ft_recovery_init (&scheduler->recovery, &scheduler->context, &scheduler->machine_table, &scheduler->job_table);
  scheduler->machine_table.machines
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) ft_machine_free);
  scheduler->machine_table.zones = ft_zones_new ();
  scheduler->machine_table.gone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  scheduler->autoscaler.pools = ft_autoscaler_pools_new ();
  scheduler->placement.order = g_ptr_array_new ();
  scheduler->placement.waiting = g_ptr_array_new ();
  g_queue_init (&scheduler->command_queue.directs);
  g_queue_init (&scheduler->command_queue.probes);
  g_queue_init (&scheduler->autoscaler.terminating);
  return scheduler;
}

void
ft_scheduler_free (FtScheduler *scheduler)
{
  if (scheduler == NULL)
    return;
  /* Attempts know their jobs: machines go first. */
  g_hash_table_unref (scheduler->machine_table.machines);
  ft_job_table_clear (&scheduler->job_table);
  g_hash_table_unref (scheduler->machine_table.zones);
  g_hash_table_unref (scheduler->machine_table.gone);
  g_hash_table_unref (scheduler->machine_table.drained);
  g_hash_table_unref (scheduler->autoscaler.pools);
  g_ptr_array_unref (scheduler->placement.order);
  g_ptr_array_unref (scheduler->placement.waiting);
  ft_registry_clear (&scheduler->registry);
  g_queue_clear (&scheduler->command_queue.directs);
  g_queue_clear (&scheduler->command_queue.probes);
  g_queue_clear (&scheduler->autoscaler.terminating);
  ft_write_queue_clear (&scheduler->write_queue);
  g_rand_free (scheduler->context.random);
  ft_catalog_unref (scheduler->context.catalog);
  g_free (scheduler->quota.teams);
  g_free (scheduler);
}

void
ft_scheduler_set_tuning (FtScheduler *scheduler, const FtTuning *tuning)
{
  scheduler->context.tuning = *tuning;
}

void
ft_scheduler_set_catalog (FtScheduler *scheduler, FtCatalog *catalog)
{
  ft_catalog_ref (catalog);
  ft_catalog_unref (scheduler->context.catalog);
  scheduler->context.catalog = catalog;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    machine->type = ft_catalog_find (catalog, machine->type_name);
  }
  ft_recovery_recount (&scheduler->recovery);
}

guint
ft_scheduler_up (const FtScheduler *scheduler)
{
  guint n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachineState state = ((FtMachine *) value)->state;
    n += state == FT_MACHINE_UP || state == FT_MACHINE_SILENT;
  }
  return n;
}

/* ---- recovery ---- */

void
ft_scheduler_load_machine (FtScheduler *scheduler, const char *row, const char *name, const char *addr,
                           const char *type, const char *zone, gboolean spot)
{
  FtMachine *known = g_hash_table_lookup (scheduler->machine_table.machines, name);
  if (known != NULL || g_hash_table_contains (scheduler->machine_table.gone, name)) {
    ft_registry_loaded (&scheduler->registry, row, known);
    return;
  }
  FtMachine *machine = ft_machine_new (scheduler, name, addr, type, zone, spot);
  ft_registry_loaded (&scheduler->registry, row, machine);
  /* A former leader that lost the store may have answered it until then. */
  machine->last_answer = scheduler->context.took_over_at + scheduler->context.answer_grace_us;
  machine->last_status_at = scheduler->context.now;
  g_hash_table_insert (scheduler->machine_table.machines, machine->name, machine);
}

void
ft_scheduler_loaded (FtScheduler *scheduler, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  scheduler->context.now = now;
  scheduler->context.placement_due = TRUE;
  scheduler->context.loaded_at = now;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    machine->last_status_at = machine->last_heartbeat_at = now; /* silence counts from here */
    machine->probe_at = now + ft_seconds (FT_PROBE_FIRST_S);
    machine->last_answer = MAX (machine->last_answer, now); /* it may have been answered while we read */
    if (machine->state == FT_MACHINE_BOOTING && machine->registered)
      ft_machine_set_state (machine, FT_MACHINE_UP);
  }
  ft_recovery_loaded (&scheduler->recovery);
  ft_recovery_tick (&scheduler->recovery);
}

gboolean
ft_scheduler_is_loaded (const FtScheduler *scheduler)
{
  return ft_recovery_is_loaded (&scheduler->recovery);
}

/* ---- time ---- */

static void
check_machine (FtScheduler *scheduler, FtMachine *machine)
{
  if (machine->state == FT_MACHINE_GONE)
    return;
  /* A worker that runs has dropped its tasks by now, but one that hangs has
   * not: what was on the machine is over only when a heartbeat of a later incarnation
   * comes or the machine is gone. The expired incarnation is not used again. */
  if (machine->incarnation > machine->expired_incarnation && machine->last_answer > 0
      && scheduler->context.now > machine->last_answer + ft_machine_lease_us (scheduler)) {
    g_message ("machine %s: worker lease over, session %" G_GUINT64_FORMAT, machine->name, machine->incarnation);
    machine->expired_incarnation = machine->incarnation;
  }
  /* Probes alone tell nothing while a heartbeat is not due: right after a takeover
   * this controller is busy, and gives back no healthy fleet for its own lateness. */
  gboolean silent
      = scheduler->context.now - ft_machine_silent_since (scheduler, machine) > ft_machine_silence_us (scheduler)
        || (ft_machine_heartbeat_overdue (scheduler, machine)
            && (machine->zone_view->unreachable
                || machine->probe_fails >= (machine->reconciled ? FT_PROBES : FT_PROBES_TAKEOVER)));
  if (machine->state == FT_MACHINE_UP && silent)
    ft_machine_set_state (machine, FT_MACHINE_SILENT);
}

/* What no event tells of: a command that could not be sent when it came up. */
static gboolean
wants_direct (const FtMachine *machine)
{
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    if (!attempt->exited && (attempt->stop_wanted ? !attempt->stop_sent : !attempt->shown))
      return TRUE;
  }
  return FALSE;
}

void
ft_scheduler_tick (FtScheduler *scheduler, gint64 now, gboolean may_start)
{
  GHashTableIter it;
  gpointer value;
  scheduler->context.now = now;
  scheduler->context.may_start = may_start;
  if (scheduler->context.last_tick > 0 && now - scheduler->context.last_tick > ft_seconds (FT_LATE_TICK_S))
    scheduler->context.on_time_since = now;
  scheduler->context.last_tick = now;
  ft_zones_update (scheduler);
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    check_machine (scheduler, machine);
    if (wants_direct (machine))
      ft_machine_queue_direct (machine);
    if (ft_machine_wants_probe (scheduler, machine))
      ft_machine_queue_probe (machine);
    if (machine->state == FT_MACHINE_GONE && !machine->command_in_flight && !machine->terminate_in_flight)
      g_hash_table_iter_remove (&it);
  }
  ft_recovery_tick (&scheduler->recovery);
  ft_placement_pass (scheduler); /* pauses end with time alone */
  if (ft_recovery_is_loaded (&scheduler->recovery))
    ft_autoscaler_tick (scheduler);
}

void
ft_scheduler_place (FtScheduler *scheduler, gint64 now, gboolean may_start)
{
  scheduler->context.now = now;
  scheduler->context.may_start = may_start;
  /* Many reports come between two passes; what each has freed is filled by its
   * answer, without one. */
  if (scheduler->context.placement_due && now >= scheduler->placement.next_pass)
    ft_placement_pass (scheduler);
}

void
ft_scheduler_late (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.on_time_since = now;
}

void
ft_scheduler_cancellations_known (FtScheduler *scheduler, gint64 at)
{
  scheduler->context.cancellations_known_until = MAX (scheduler->context.cancellations_known_until, at);
}

void
ft_scheduler_unanswering (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.answering_since = now;
}

gint64
ft_scheduler_last_heard (const FtScheduler *scheduler)
{
  return scheduler->context.last_heard;
}

guint
ft_scheduler_looked_at (const FtScheduler *scheduler)
{
  return scheduler->context.looked_at;
}
