/* The quota and the guaranteed share of each team, and the resources that the team uses.
 *
 * Attempts update the use of a team when they take and release resources on machines (attempt_lifecycle.c). The
 * jobs update the unknown tasks of their team when the state of a task changes (job.c). The placement reads how many
 * more tasks of a job fit into the quota. */
#pragma once
#include "core/job.h"
#include "core/team.h"
#include "core/types.h"

typedef struct {
  FtTeam *teams; /* owned; one for each team of the settings */
  guint n_teams;
} FtQuota;

/* The total capacity, in CPUs and GPUs, of all machines that are not reconciled. */
typedef struct {
  double cpus, gpus;
} FtUnreconciledCapacity;

/* Initializes the quota with the teams of the settings, which are borrowed and must outlive it. */
void ft_quota_init (FtQuota *quota, const FtSettings *settings);

/* Frees the teams. */
void ft_quota_clear (FtQuota *quota);

/* Returns the team of that name, which is borrowed; NULL: the settings contain no such team. */
FtTeam *ft_quota_team (const FtQuota *quota, const char *name);

/* Returns the index of a team of the quota, from 0. */
guint ft_quota_team_index (const FtQuota *quota, const FtTeam *team);

/* Returns how many more tasks of `spec` the team's limit allows now. The team's unknown tasks count as running, but
 * only up to the capacity of the machines that are not reconciled. */
guint ft_quota_tasks_left (const FtTeam *team, const FtJobSpec *spec, const FtUnreconciledCapacity *unreconciled);

/* Sets `guaranteed` of each job to whether the job fits into its team's guaranteed share together with the team's
 * earlier unfinished jobs. Sorts `jobs` (an array of FtJob) by the order of acceptance. */
void ft_quota_mark_guaranteed (const FtQuota *quota, GPtrArray *jobs);
