/* What each team uses and may use. */
#pragma once
#include "core/types.h"

typedef struct _FtScheduler FtScheduler;
typedef struct _FtTeam FtTeam;

struct _FtTeam {
  const FtTeamLimit *limit; /* borrowed */
  double cpus, gpus;        /* bound on machines */
  double unknown_cpus, unknown_gpus;
};

typedef struct {
  FtTeam *teams; /* as many as the settings name */
} FtQuota;

FtTeam *ft_quota_team (FtScheduler *scheduler, const char *name);
gboolean ft_quota_allows (const FtScheduler *scheduler, const FtTeam *team, const FtJobSpec *spec);
guint ft_quota_count (const FtScheduler *scheduler, const FtTeam *team, const FtJobSpec *spec);
void ft_quota_mark_guaranteed (FtScheduler *scheduler);
