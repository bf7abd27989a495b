#include "core/admission.h"

/* Tolerance for the rounding of CPUs, GPUs and memory, which are decimal fractions. */
#define EPSILON 1e-9

static gboolean
type_fits (const FtMachineType *type, const FtJobSpec *spec)
{
  if (spec->types != NULL && !g_strv_contains ((const char *const *) spec->types, type->name))
    return FALSE;
  if (spec->zone != NULL && (type->zones == NULL || !g_strv_contains ((const char *const *) type->zones, spec->zone)))
    return FALSE;
  return spec->cpus <= type->cpus + EPSILON && spec->gpus <= type->gpus + EPSILON
         && spec->memory_gb <= type->memory_gb + EPSILON;
}

static const FtTeamLimit *
find_team (const FtSettings *settings, const char *name)
{
  for (guint i = 0; i < settings->n_teams; i++)
    if (g_strcmp0 (settings->teams[i].name, name) == 0)
      return &settings->teams[i];
  return NULL;
}

/* Returns whether the job fits in the team's limit. The tasks of an array may run one by one; the tasks of another kind
 * of job must fit together. */
static gboolean
team_limit_fits (const FtTeamLimit *team, const FtJobSpec *spec)
{
  guint concurrent_tasks = spec->kind == FT_KIND_ARRAY ? 1 : spec->tasks;
  return spec->cpus * concurrent_tasks <= ft_team_limit (team->cpus_max) + EPSILON
         && spec->gpus * concurrent_tasks <= ft_team_limit (team->gpus_max) + EPSILON;
}

FtAdmission
ft_admission_check (const FtSettings *settings, const FtCatalog *catalog, const FtJobSpec *spec, const char **why)
{
  const FtTeamLimit *team = find_team (settings, spec->team);
  *why = "unknown team";
  if (team == NULL)
    return FT_ADMIT_NEVER;
  *why = "it needs more than the team's limit";
  if (!team_limit_fits (team, spec))
    return FT_ADMIT_NEVER;
  *why = "the machine types are not known yet";
  if (catalog == NULL)
    return FT_ADMIT_NOT_YET;
  *why = "a task fits no allowed machine type";
  for (guint i = 0; i < catalog->types->len; i++)
    if (type_fits (g_ptr_array_index (catalog->types, i), spec))
      return FT_ADMIT;
  return FT_ADMIT_NEVER;
}
