/* What each team uses and may use: its quota and its guaranteed share.
 *
 * A team's use is counted by its attempts as they take and leave machines (attempt.c), its unknown
 * tasks by the tasks' states (task.c). The placement reads how much is left. */
#pragma once
#include "core/job.h"
#include "core/team.h"
#include "core/types.h"

typedef struct {
  FtTeam *teams; /* owned; as many as the settings name */
  guint n_teams;
} FtQuota;

/* What all machines that are not reconciled can hold, in CPUs and GPUs. */
typedef struct {
  double cpus, gpus;
} FtUnreconciledCapacity;

/* A quota of the settings' teams; the settings are borrowed. */
void ft_quota_init (FtQuota *quota, const FtSettings *settings);

/* Frees the teams. */
void ft_quota_clear (FtQuota *quota);

/* The team of that name; borrowed, NULL: not in the settings. */
FtTeam *ft_quota_team (const FtQuota *quota, const char *name);

/* Index of a team of the quota, from 0. */
guint ft_quota_team_index (const FtQuota *quota, const FtTeam *team);

/* How many more tasks of this kind the team's limit allows now. What it may run unseen counts as
 * used: its unknown tasks, but no more than `unseen`. */
guint ft_quota_tasks_left (const FtTeam *team, const FtJobSpec *spec, const FtUnreconciledCapacity *unseen);

/* Sets `guaranteed` of the jobs that are within their team's guarantee: those that fit there together with the
 * team's earlier unfinished jobs. Sorts `jobs` (of FtJob) by acceptance. */
void ft_quota_mark_guaranteed (const FtQuota *quota, GPtrArray *jobs);
