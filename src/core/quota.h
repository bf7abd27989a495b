/* What each team uses and may use. */
#pragma once
#include "core/team.h"
#include "core/types.h"

typedef struct _FtScheduler FtScheduler;
typedef struct {
  FtTeam *teams; /* as many as the settings name */
  guint n_teams;
} FtQuota;

FtTeam *ft_quota_team (const FtQuota *quota, const char *name);
gboolean ft_quota_allows (const FtScheduler *scheduler, const FtTeam *team, const FtJobSpec *spec);
guint ft_quota_count (const FtScheduler *scheduler, const FtTeam *team, const FtJobSpec *spec);
void ft_quota_mark_guaranteed (FtScheduler *scheduler);
