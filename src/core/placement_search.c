#include "core/placement_search.h"

#include <math.h>

#include "core/attempt.h"
#include "core/placement_rank.h"

/* ---- the machines of a pass ---- */

void
ft_placement_search_init (FtPlacementSearch *search, FtCoreContext *context, const FtSpotRisk *spot_risk,
                          const FtMachineTable *machine_table)
{
  GHashTableIter it;
  gpointer value;
  *search = (FtPlacementSearch){ .context = context, .spot_risk = spot_risk };
  search->machines = g_ptr_array_sized_new (g_hash_table_size (machine_table->machines));
  g_hash_table_iter_init (&it, machine_table->machines);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtMachine *machine = value;
    if (ft_machine_usable (machine) && machine->cpus < machine->type->cpus
        && machine->memory_gb < machine->type->memory_gb)
      g_ptr_array_add (search->machines, value);
  }
  context->examined_count += g_hash_table_size (machine_table->machines);
}

void
ft_placement_search_clear (FtPlacementSearch *search)
{
  g_clear_pointer (&search->machines, g_ptr_array_unref);
}

/* ---- zones of a job's tasks ---- */

void
ft_task_zones_find (FtTaskZones *zones, const FtJob *job)
{
  zones->zone_count = g_hash_table_new (g_str_hash, g_str_equal);
  zones->zone = NULL;
  if (!job->spec->one_zone && !job->spec->spread)
    return; /* not needed, and a job may have very many tasks */
  for (guint i = 0; i < job->spec->tasks; i++) {
    const FtAttempt *attempt = job->tasks[i].attempt;
    if (attempt == NULL || !attempt->reserved)
      continue;
    zones->zone = attempt->machine->zone;
    guint n = GPOINTER_TO_UINT (g_hash_table_lookup (zones->zone_count, zones->zone));
    g_hash_table_insert (zones->zone_count, attempt->machine->zone, GUINT_TO_POINTER (n + 1));
  }
}

void
ft_task_zones_clear (FtTaskZones *zones)
{
  g_clear_pointer (&zones->zone_count, g_hash_table_unref);
}

static gboolean
zone_allowed (const FtJob *job, const FtTaskZones *zones, const FtMachine *machine)
{
  if (job->spec->one_zone && zones->zone != NULL && g_strcmp0 (zones->zone, machine->zone) != 0)
    return FALSE;
  if (!job->spec->spread)
    return TRUE;
  guint here = GPOINTER_TO_UINT (g_hash_table_lookup (zones->zone_count, machine->zone));
  return here + 1 <= (job->spec->tasks + 1) / 2;
}

/* ---- the choice of a machine ---- */

/* A task keeps off the machine where it failed, for a while only: it may be
 * the only one that is allowed. */
gboolean
ft_placement_search_avoids (const FtCoreContext *context, const FtTask *task, const FtMachine *machine)
{
  return task->avoid == machine && context->now < task->not_before + ft_seconds (FT_AVOID_MACHINE_S);
}

static gboolean
is_candidate (const FtPlacementSearch *search, const FtJob *job, const FtTask *task, const FtTaskZones *zones,
              const FtMachine *machine)
{
  return ft_machine_usable (machine) && ft_machine_allowed (machine, job->spec)
         && !ft_placement_search_avoids (search->context, task, machine) && zone_allowed (job, zones, machine)
         && ft_machine_room (machine, job->spec) > 0;
}

/* What needs as much as the kind that found no room, and may go nowhere else, finds none either. */
static gboolean
covers (const FtJobSpec *full, const FtJobSpec *spec)
{
  return spec->cpus >= full->cpus && spec->gpus >= full->gpus && spec->memory_gb >= full->memory_gb
         && full->types == NULL && (full->zone == NULL || g_strcmp0 (full->zone, spec->zone) == 0)
         && (full->spot || !spec->spot);
}

static gboolean
known_full (const FtPlacementSearch *search, const FtJobSpec *spec)
{
  for (guint i = 0; i < search->n_full; i++)
    if (covers (search->full[i], spec))
      return TRUE;
  return FALSE;
}

FtMachine *
ft_placement_search_best (FtPlacementSearch *search, const FtJob *job, const FtTask *task, const FtTaskZones *zones)
{
  FtMachine *best = NULL;
  double best_score = INFINITY;
  guint seen = 0;
  if (known_full (search, job->spec))
    return NULL;
  double spot_delay_s = ft_spot_risk_delay_s (search->spot_risk, job->spec);
  guint n = search->machines->len;
  guint start = n > 0 ? (guint) g_rand_int_range (search->context->random, 0, (gint32) n) : 0;
  for (guint i = 0; i < n && seen < search->context->tuning.sample_size; i++) {
    FtMachine *machine = g_ptr_array_index (search->machines, (start + i) % n);
    search->context->examined_count++;
    if (!is_candidate (search, job, task, zones, machine))
      continue;
    seen++;
    double value = ft_placement_rank_machine (machine, job, spot_delay_s);
    if (value < best_score) {
      best_score = value;
      best = machine;
    }
  }
  gboolean plain = !job->spec->one_zone && !job->spec->spread && task->avoid == NULL;
  if (best == NULL && plain && search->n_full < FT_NO_ROOM_SPECS_MAX)
    search->full[search->n_full++] = job->spec;
  return best;
}
