/* Whether a job may be accepted: pure checks of its spec against the teams' limits and the machine types.
 *
 * Called by every controller for a submission, before the job is stored. */
#pragma once
#include "core/types.h"

typedef enum {
  FT_ADMIT,
  FT_ADMIT_NOT_YET, /* the machine types are unknown: the user may try again */
  FT_ADMIT_NEVER,   /* unknown team, no fitting type, over the team's limit */
} FtAdmission;

/* `catalog` may be NULL: not known yet. `why` is set to a static text that says why the job is not admitted. */
FtAdmission ft_admission_check (const FtSettings *settings, const FtCatalog *catalog, const FtJobSpec *spec,
                                const char **why);
