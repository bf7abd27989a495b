/* Decides whether a job may be accepted: pure checks of its spec against the team's limit and the machine types.
 *
 * Each controller calls this for a submission, before it stores the job. */
#pragma once
#include "core/types.h"

typedef enum {
  FT_ADMIT,         /* the job may be accepted */
  FT_ADMIT_NOT_YET, /* the machine types are not known yet: the user may try again later */
  FT_ADMIT_NEVER,   /* the team is unknown, the job exceeds the team's limit, or no machine type fits its tasks */
} FtAdmission;

/* Checks the job. `catalog` is NULL if the machine types are not known yet. If the job is not admitted, `why` is set to
 * a static text with the reason. */
FtAdmission ft_admission_check (const FtSettings *settings, const FtCatalog *catalog, const FtJobSpec *spec,
                                const char **why);
