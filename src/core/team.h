/* What a team uses now, beside what its settings allow.
 *
 * A plain record, owned by the quota. Attempts count into it what they take on machines, and the
 * jobs what of theirs may run unseen after a failover; quota and placement read it. */
#pragma once
#include "core/types.h"

typedef struct _FtTeam FtTeam;

struct _FtTeam {
  const FtTeamLimit *limit;          /* borrowed from the settings */
  double cpus, gpus;                 /* bound on machines */
  double unknown_cpus, unknown_gpus; /* of tasks that may be on machines that have not reported since the failover */
};
