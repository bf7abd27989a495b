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

/* ---- the zones of a job's tasks ---- */

void
ft_task_zones_find (FtTaskZones *zones, const FtJob *job)
{
  zones->zone_count = g_hash_table_new (g_str_hash, g_str_equal);
  zones->zone = NULL;
  if (!job->spec->one_zone && !job->spec->spread)
    return; /* the zones are not needed, and a job may have very many tasks */
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

/* Returns TRUE if the job's constraints `one_zone` and `spread` allow a task in the zone of the machine. `spread`
 * allows at most half of the tasks, rounded up, in one zone. */
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

/* A task avoids the machine where it failed only for a limited time, because that machine may be the only one that its
 * job is allowed to use. */
gboolean
ft_placement_search_avoids (const FtCoreContext *context, const FtTask *task, const FtMachine *machine)
{
  return task->avoided_machine == machine && context->now < task->not_before + ft_seconds (FT_AVOID_MACHINE_S);
}

static gboolean
is_candidate (const FtPlacementSearch *search, const FtJob *job, const FtTask *task, const FtTaskZones *zones,
              const FtMachine *machine)
{
  return ft_machine_usable (machine) && ft_machine_allowed (machine, job->spec)
         && !ft_placement_search_avoids (search->context, task, machine) && zone_allowed (job, zones, machine)
         && ft_machine_room (machine, job->spec) > 0;
}

/* Returns TRUE if `spec` cannot find room because `no_room_spec` found none: `spec` needs at least as much of each
 * resource, and may use no machine that `no_room_spec` may not use. */
static gboolean
finds_no_room_either (const FtJobSpec *no_room_spec, const FtJobSpec *spec)
{
  return spec->cpus >= no_room_spec->cpus && spec->gpus >= no_room_spec->gpus
         && spec->memory_gb >= no_room_spec->memory_gb && no_room_spec->types == NULL
         && (no_room_spec->zone == NULL || g_strcmp0 (no_room_spec->zone, spec->zone) == 0)
         && (no_room_spec->spot || !spec->spot);
}

/* Returns TRUE if the pass has already found that no machine has room for `spec`. */
static gboolean
is_known_without_room (const FtPlacementSearch *search, const FtJobSpec *spec)
{
  for (guint i = 0; i < search->n_no_room_specs; i++)
    if (finds_no_room_either (search->no_room_specs[i], spec))
      return TRUE;
  return FALSE;
}

FtMachine *
ft_placement_search_best (FtPlacementSearch *search, const FtJob *job, const FtTask *task, const FtTaskZones *zones)
{
  FtMachine *best = NULL;
  double best_score = INFINITY;
  guint seen = 0;
  if (is_known_without_room (search, job->spec))
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
  gboolean plain = !job->spec->one_zone && !job->spec->spread && task->avoided_machine == NULL;
  if (best == NULL && plain && search->n_no_room_specs < FT_NO_ROOM_SPECS_MAX)
    search->no_room_specs[search->n_no_room_specs++] = job->spec;
  return best;
}
