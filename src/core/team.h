/* The resources that a team uses now, together with its limits from the settings.
 *
 * A plain record, owned by the quota. Attempts add the resources that they take on machines. Tasks in FT_TASK_UNKNOWN
 * add the resources that they may use on machines that have not reported since the failover. The quota and the
 * placement read the sums. */
#pragma once
#include "core/types.h"

typedef struct _FtTeam FtTeam;

struct _FtTeam {
  const FtTeamLimit *limit;          /* borrowed from the settings */
  double cpus, gpus;                 /* taken by attempts on machines */
  double unknown_cpus, unknown_gpus; /* of tasks that may be on machines that have not reported since the failover */
};
