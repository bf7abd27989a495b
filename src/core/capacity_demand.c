#include "core/capacity_demand.h"

#include <math.h>

/* Returns how many tasks of the job fit on an empty machine of the type. */
static guint
tasks_per_machine (const FtMachineType *type, const FtJobSpec *spec)
{
  double count = type->cpus / MAX (spec->cpus, FT_TASK_CPUS_MIN);
  if (spec->memory_gb > 0)
    count = MIN (count, type->memory_gb / spec->memory_gb);
  if (spec->gpus > 0)
    count = MIN (count, type->gpus / spec->gpus);
  return (guint) MIN (count + FT_TASK_COUNT_ROUNDING, G_MAXUINT16);
}

/* Returns the allowed machine type on which one task of the job costs least; NULL: no allowed type fits a task. */
static const FtMachineType *
cheapest_type (const FtCatalog *catalog, const FtJobSpec *spec)
{
  const FtMachineType *best = NULL;
  double best_price = INFINITY;
  for (guint i = 0; i < catalog->types->len; i++) {
    const FtMachineType *type = g_ptr_array_index (catalog->types, i);
    guint tasks = tasks_per_machine (type, spec);
    if (tasks == 0 || (spec->types != NULL && !g_strv_contains ((const char *const *) spec->types, type->name)))
      continue;
    if (spec->zone != NULL && !g_strv_contains ((const char *const *) type->zones, spec->zone))
      continue;
    double price = (spec->spot ? type->spot_price : type->price) / tasks;
    if (price < best_price) {
      best_price = price;
      best = type;
    }
  }
  return best;
}

/* Adds `more` to the demand for the same type and constraints. */
static void
add_demand (GArray *demands, const FtCapacityDemand *more)
{
  for (guint i = 0; i < demands->len; i++) {
    FtCapacityDemand *demand = &g_array_index (demands, FtCapacityDemand, i);
    if (demand->type == more->type && demand->spot == more->spot && g_strcmp0 (demand->zone, more->zone) == 0) {
      demand->machines += more->machines;
      demand->blocked |= more->blocked;
      return;
    }
  }
  g_array_append_val (demands, *more);
}

/* Returns how many tasks of the job can run one after another in the room of one task before the deadline. The result
 * is 1 for jobs without a deadline or an estimate, and for jobs of high priority, whose tasks must not wait. */
static double
tasks_in_sequence (const FtJob *job, const FtMachineType *type, gint64 now)
{
  const FtJobSpec *spec = job->spec;
  if (job->deadline_at == 0 || job->priority >= FT_PRIORITY_HIGH || spec->estimate_s <= 0)
    return 1;
  double left_s = (double) (job->deadline_at - now) / FT_SECOND - spec->estimate_s - type->boot_s;
  return 1 + MAX (0, left_s) / spec->estimate_s;
}

/* Returns the CPUs that each team's limit still allows: a new array in the order of the quota's teams. */
static double *
quota_left (const FtQuota *quota)
{
  double *cpus = g_new0 (double, quota->n_teams);
  for (guint i = 0; i < quota->n_teams; i++)
    cpus[i] = ft_team_limit (quota->teams[i].limit->cpus_max) - quota->teams[i].cpus;
  return cpus;
}

GArray *
ft_capacity_demand_compute (const FtPlacement *placement)
{
  const FtCoreContext *context = placement->context;
  GArray *demands = g_array_new (FALSE, TRUE, sizeof (FtCapacityDemand));
  g_autofree double *cpus_left = quota_left (placement->quota);
  for (guint i = 0; i < placement->order->len; i++) {
    const FtJob *job = g_ptr_array_index (placement->order, i);
    const FtJobSpec *spec = job->spec;
    double *team_left = &cpus_left[ft_quota_team_index (placement->quota, job->team)];
    double tasks = job->counts[FT_TASK_QUEUED];
    if (spec->cpus > 0)
      tasks = MIN (tasks, *team_left / spec->cpus);
    const FtMachineType *type = tasks > 0 ? cheapest_type (context->catalog, spec) : NULL;
    if (type == NULL)
      continue;
    *team_left -= tasks * spec->cpus;
    FtCapacityDemand demand = { .type = type, .zone = spec->zone, .spot = spec->spot };
    demand.machines = tasks / tasks_per_machine (type, spec) / tasks_in_sequence (job, type, context->now);
    demand.blocked = job->no_room_pass == placement->pass;
    add_demand (demands, &demand);
  }
  // NOLINTNEXTLINE(clang-analyzer-unix.Malloc): freed by g_auto cleanup, which the analyzer does not follow
  return demands;
}

gboolean
ft_capacity_demand_served_by (const FtCapacityDemand *demand, const FtMachine *machine)
{
  return machine->type == demand->type && (demand->spot || !machine->spot)
         && (demand->zone == NULL || g_strcmp0 (demand->zone, machine->zone) == 0);
}
