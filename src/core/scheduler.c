#include "core/scheduler.h"

#include "core/autoscaler.h"
#include "core/model.h"

/* ---- life ---- */

FtScheduler *
ft_scheduler_new (const FtSettings *settings, FtCatalog *catalog, guint64 token, gint64 answer_grace_us, gint64 now,
                  guint32 seed)
{
  FtScheduler *s = g_new0 (FtScheduler, 1);
  s->settings = settings;
  s->catalog = ft_catalog_ref (catalog);
  s->token = token;
  s->answer_grace_us = answer_grace_us;
  s->now = s->took_over_at = s->cancellations_known_until = now;
  s->random = g_rand_new_with_seed (seed);
  s->next_attempt = s->next_booking = 1;
  ft_tuning_defaults (&s->tuning);
  s->value_divisor = 1;
  s->drained = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->teams = g_new0 (FtTeam, settings->n_teams);
  for (guint i = 0; i < settings->n_teams; i++)
    s->teams[i].limit = &settings->teams[i];
  ft_open_jobs_init (s);
  s->machines = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) ft_machine_free);
  s->zones = ft_zones_new ();
  s->gone = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->pools = ft_autoscaler_pools_new ();
  s->order = g_ptr_array_new ();
  s->waiting = g_ptr_array_new ();
  s->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) ft_registry_row_free);
  g_queue_init (&s->pending_jobs);
  g_queue_init (&s->directs);
  g_queue_init (&s->probes);
  g_queue_init (&s->terminating);
  g_queue_init (&s->pending_rows);
  g_queue_init (&s->drain_deletions);
  g_queue_init (&s->chunk_deletions);
  return s;
}

void
ft_scheduler_free (FtScheduler *s)
{
  if (s == NULL)
    return;
  /* Attempts know their jobs: machines go first. */
  g_hash_table_unref (s->machines);
  ft_open_jobs_clear (s);
  g_hash_table_unref (s->zones);
  g_hash_table_unref (s->gone);
  g_hash_table_unref (s->drained);
  g_hash_table_unref (s->pools);
  g_ptr_array_unref (s->order);
  g_ptr_array_unref (s->waiting);
  g_hash_table_unref (s->rows);
  g_queue_clear (&s->pending_jobs);
  g_queue_clear (&s->directs);
  g_queue_clear (&s->probes);
  g_queue_clear (&s->terminating);
  g_queue_clear (&s->pending_rows);
  g_queue_clear_full (&s->drain_deletions, g_free);
  g_queue_clear_full (&s->chunk_deletions, (GDestroyNotify) ft_write_free);
  g_rand_free (s->random);
  ft_catalog_unref (s->catalog);
  g_free (s->teams);
  g_free (s);
}

void
ft_scheduler_set_tuning (FtScheduler *s, const FtTuning *tuning)
{
  s->tuning = *tuning;
}

void
ft_scheduler_lower_value_limit (FtScheduler *s)
{
  if (s->settings->value_kb / (s->value_divisor * 2) >= FT_VALUE_KB_MIN)
    s->value_divisor *= 2;
}

void
ft_scheduler_set_catalog (FtScheduler *s, FtCatalog *catalog)
{
  ft_catalog_ref (catalog);
  ft_catalog_unref (s->catalog);
  s->catalog = catalog;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *m = value;
    m->type = ft_catalog_find (catalog, m->type_name);
  }
  ft_recovery_recount (s);
}

guint
ft_scheduler_up (const FtScheduler *s)
{
  guint n = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachineState state = ((FtMachine *) value)->state;
    n += state == FT_MACHINE_UP || state == FT_MACHINE_SILENT;
  }
  return n;
}

/* ---- recovery ---- */

void
ft_scheduler_load_machine (FtScheduler *s, const char *row, const char *name, const char *addr, const char *type,
                           const char *zone, gboolean spot)
{
  FtMachine *known = g_hash_table_lookup (s->machines, name);
  if (known != NULL || g_hash_table_contains (s->gone, name)) {
    ft_registry_loaded (s, row, known);
    return;
  }
  FtMachine *machine = ft_machine_new (s, name, addr, type, zone, spot);
  ft_registry_loaded (s, row, machine);
  /* A former leader that lost the store may have answered it until then. */
  machine->last_answer = s->took_over_at + s->answer_grace_us;
  machine->last_status_at = s->now;
  g_hash_table_insert (s->machines, machine->name, machine);
}

void
ft_scheduler_loaded (FtScheduler *s, gint64 now)
{
  GHashTableIter it;
  gpointer value;
  s->now = now;
  s->loaded = s->placement_due = TRUE;
  s->loaded_at = now;
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    machine->last_status_at = machine->last_heartbeat_at = now; /* silence counts from here */
    machine->probe_at = now + ft_seconds (FT_PROBE_FIRST_S);
    machine->last_answer = MAX (machine->last_answer, now); /* it may have been answered while we read */
    if (machine->state == FT_MACHINE_BOOTING && machine->registered)
      ft_machine_set_state (machine, FT_MACHINE_UP);
  }
  ft_recovery_recount (s);
  ft_recovery_tick (s);
}

gboolean
ft_scheduler_is_loaded (const FtScheduler *s)
{
  return s->loaded;
}

/* ---- time ---- */

static void
check_machine (FtScheduler *s, FtMachine *machine)
{
  if (machine->state == FT_MACHINE_GONE)
    return;
  /* A worker that runs has dropped its tasks by now, but one that hangs has
   * not: what was on the machine is over only when a heartbeat of a later incarnation
   * comes or the machine is gone. The expired incarnation is not used again. */
  if (machine->incarnation > machine->expired_incarnation && machine->last_answer > 0
      && s->now > machine->last_answer + ft_machine_lease_us (s)) {
    g_message ("machine %s: worker lease over, session %" G_GUINT64_FORMAT, machine->name, machine->incarnation);
    machine->expired_incarnation = machine->incarnation;
  }
  /* Probes alone tell nothing while a heartbeat is not due: right after a takeover
   * this controller is busy, and gives back no healthy fleet for its own lateness. */
  gboolean silent = s->now - ft_machine_silent_since (s, machine) > ft_machine_silence_us (s)
                    || (ft_machine_heartbeat_overdue (s, machine)
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
    const FtAttempt *a = value;
    if (!a->exited && (a->stop_wanted ? !a->stop_sent : !a->shown))
      return TRUE;
  }
  return FALSE;
}

void
ft_scheduler_tick (FtScheduler *s, gint64 now, gboolean may_start)
{
  GHashTableIter it;
  gpointer value;
  s->now = now;
  s->may_start = may_start;
  if (s->last_tick > 0 && now - s->last_tick > ft_seconds (FT_LATE_TICK_S))
    s->on_time_since = now;
  s->last_tick = now;
  ft_zones_update (s);
  g_hash_table_iter_init (&it, s->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    FtMachine *machine = value;
    check_machine (s, machine);
    if (wants_direct (machine))
      ft_machine_queue_direct (machine);
    if (ft_machine_wants_probe (s, machine))
      ft_machine_queue_probe (machine);
    if (machine->state == FT_MACHINE_GONE && !machine->command_in_flight && !machine->terminate_in_flight)
      g_hash_table_iter_remove (&it);
  }
  ft_recovery_tick (s);
  ft_placement_pass (s); /* pauses end with time alone */
  if (s->loaded)
    ft_autoscaler_tick (s);
}

void
ft_scheduler_place (FtScheduler *s, gint64 now, gboolean may_start)
{
  s->now = now;
  s->may_start = may_start;
  /* Many reports come between two passes; what each has freed is filled by its
   * answer, without one. */
  if (s->placement_due && now >= s->next_pass)
    ft_placement_pass (s);
}

void
ft_scheduler_late (FtScheduler *s, gint64 now)
{
  s->on_time_since = now;
}

void
ft_scheduler_cancellations_known (FtScheduler *s, gint64 at)
{
  s->cancellations_known_until = MAX (s->cancellations_known_until, at);
}

void
ft_scheduler_unanswering (FtScheduler *s, gint64 now)
{
  s->answering_since = now;
}

gint64
ft_scheduler_last_heard (const FtScheduler *s)
{
  return s->last_heard;
}

guint
ft_scheduler_looked_at (const FtScheduler *s)
{
  return s->looked_at;
}
