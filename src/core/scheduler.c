#include "core/scheduler.h"

#include "core/autoscaler.h"
#include "core/machine_watch.h"
#include "core/scheduler_private.h"

/* ---- creation and destruction ---- */

/* Gives the modules that deal with machines pointers to the modules that they use. */
static void
init_workers (FtScheduler *scheduler)
{
  scheduler->worker_heartbeats = (FtWorkerHeartbeats){ .context = &scheduler->context,
                                                       .machine_table = &scheduler->machine_table,
                                                       .job_table = &scheduler->job_table,
                                                       .spot_risk = &scheduler->spot_risk };
  scheduler->preemption = (FtPreemption){ .context = &scheduler->context, .machine_table = &scheduler->machine_table };
  scheduler->placement = (FtPlacement){ .context = &scheduler->context,
                                        .machine_table = &scheduler->machine_table,
                                        .job_table = &scheduler->job_table,
                                        .quota = &scheduler->quota,
                                        .recovery = &scheduler->recovery,
                                        .spot_risk = &scheduler->spot_risk,
                                        .preemption = &scheduler->preemption };
  ft_placement_init (&scheduler->placement);
  scheduler->autoscaler = (FtAutoscaler){ .context = &scheduler->context,
                                          .machine_table = &scheduler->machine_table,
                                          .job_table = &scheduler->job_table,
                                          .placement = &scheduler->placement,
                                          .recovery = &scheduler->recovery,
                                          .spot_risk = &scheduler->spot_risk };
  ft_autoscaler_init (&scheduler->autoscaler);
}

/* A job is about to be freed: drops the placement's pointers to it. */
static void
on_job_removed (FtJob *job, gpointer data)
{
  FtScheduler *scheduler = data;
  ft_placement_job_removed (&scheduler->placement, job);
}

FtScheduler *
ft_scheduler_new (const FtSettings *settings, FtCatalog *catalog, FtWorkerTokenRange tokens, gint64 answer_grace_us,
                  gint64 now, guint32 seed)
{
  FtScheduler *scheduler = g_new0 (FtScheduler, 1);
  scheduler->context.settings = settings;
  scheduler->context.catalog = ft_catalog_ref (catalog);
  scheduler->context.token = tokens.last;
  scheduler->context.first_worker_token = tokens.first;
  scheduler->context.answer_grace_us = answer_grace_us;
  scheduler->context.now = scheduler->context.term_began_at = scheduler->context.cancellations_known_until = now;
  scheduler->context.random = g_rand_new_with_seed (seed);
  ft_tuning_defaults (&scheduler->context.tuning);
  ft_quota_init (&scheduler->quota, settings);
  ft_job_table_init (&scheduler->job_table, &scheduler->context, &scheduler->quota, on_job_removed, scheduler);
  ft_machine_queues_init (&scheduler->machine_queues);
  ft_machine_table_init (&scheduler->machine_table, &scheduler->context, &scheduler->machine_queues);
  init_workers (scheduler);
  ft_registry_init (&scheduler->registry, &scheduler->context, &scheduler->machine_table);
  ft_write_queue_init (&scheduler->write_queue, &scheduler->context, &scheduler->job_table, &scheduler->registry);
  ft_recovery_init (&scheduler->recovery, &scheduler->context, &scheduler->machine_table, &scheduler->job_table);
  return scheduler;
}

void
ft_scheduler_free (FtScheduler *scheduler)
{
  if (scheduler == NULL)
    return;
  /* Attempts point to their jobs and are owned by the machines, so the machines are freed first. */
  ft_machine_table_clear (&scheduler->machine_table);
  ft_job_table_clear (&scheduler->job_table);
  ft_autoscaler_clear (&scheduler->autoscaler);
  ft_placement_clear (&scheduler->placement);
  ft_registry_clear (&scheduler->registry);
  ft_machine_queues_clear (&scheduler->machine_queues);
  ft_write_queue_clear (&scheduler->write_queue);
  g_rand_free (scheduler->context.random);
  ft_catalog_unref (scheduler->context.catalog);
  ft_quota_clear (&scheduler->quota);
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
  ft_machine_table_catalog_changed (&scheduler->machine_table);
  ft_recovery_recount (&scheduler->recovery);
}

guint
ft_scheduler_count_expected_machines (const FtScheduler *scheduler)
{
  return ft_machine_table_should_report_count (&scheduler->machine_table);
}

/* ---- recovery ---- */

void
ft_scheduler_load_machine (FtScheduler *scheduler, const char *row, const char *name, const char *addr,
                           const char *type, const char *zone, gboolean spot)
{
  FtMachine *known = g_hash_table_lookup (scheduler->machine_table.machines, name);
  if (known != NULL || g_hash_table_contains (scheduler->machine_table.gone, name)) {
    ft_registry_load_entry (&scheduler->registry, row, known);
    return;
  }
  FtMachine *machine = ft_machine_table_add (&scheduler->machine_table, name, addr, type, zone, spot);
  ft_registry_load_entry (&scheduler->registry, row, machine);
  /* A former leader that has lost contact with the store may continue to answer the machine's heartbeats until its
   * answer grace period is over. */
  gint64 answered_until = scheduler->context.term_began_at + scheduler->context.answer_grace_us;
  ft_reachability_registered (&machine->reachability, answered_until, scheduler->context.now);
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
    ft_reachability_registry_loaded (&machine->reachability, now);
    if (machine->state == FT_MACHINE_BOOTING && machine->registered)
      ft_machine_set_state (machine, FT_MACHINE_UP, "in the registry");
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

void
ft_scheduler_tick (FtScheduler *scheduler, gint64 now, gboolean may_start)
{
  GHashTableIter it;
  gpointer value;
  scheduler->context.now = now;
  scheduler->context.may_start = may_start;
  if (scheduler->context.last_tick > 0 && now - scheduler->context.last_tick > ft_seconds (FT_LATE_TICK_S))
    scheduler->context.timers_late_until = now;
  scheduler->context.last_tick = now;
  ft_zones_update (scheduler->machine_table.zones, scheduler->machine_table.machines, &scheduler->context);
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    ft_machine_check_timeouts (machine);
    if (machine->state == FT_MACHINE_GONE && !ft_machine_has_request_in_flight (machine))
      g_hash_table_iter_remove (&it);
  }
  ft_recovery_tick (&scheduler->recovery);
  /* A pass runs on every tick, since no event tells that the retry pause of a task has ended. */
  ft_placement_pass (&scheduler->placement);
  if (ft_recovery_is_loaded (&scheduler->recovery))
    ft_autoscaler_tick (&scheduler->autoscaler);
}

void
ft_scheduler_place (FtScheduler *scheduler, gint64 now, gboolean may_start)
{
  scheduler->context.now = now;
  scheduler->context.may_start = may_start;
  /* Many heartbeats arrive between two passes. The room that a heartbeat frees is filled when it is answered, without
   * a pass. */
  if (scheduler->context.placement_due && now >= scheduler->placement.next_pass)
    ft_placement_pass (&scheduler->placement);
}

void
ft_scheduler_was_late (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.timers_late_until = now;
}

void
ft_scheduler_set_cancellations_known_until (FtScheduler *scheduler, gint64 at)
{
  scheduler->context.cancellations_known_until = MAX (scheduler->context.cancellations_known_until, at);
}

void
ft_scheduler_not_answering (FtScheduler *scheduler, gint64 now)
{
  scheduler->context.answers_interrupted_until = now;
}

gint64
ft_scheduler_last_heartbeat_at (const FtScheduler *scheduler)
{
  return scheduler->context.last_acknowledged_at;
}

guint
ft_scheduler_examined (const FtScheduler *scheduler)
{
  return scheduler->context.examined_count;
}
