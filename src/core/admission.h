/* May a job be accepted? Pure checks against the catalog and the teams. */
#pragma once
#include "core/types.h"

typedef enum {
  FT_ADMIT,
  FT_ADMIT_NOT_YET, /* the machine types are unknown */
  FT_ADMIT_NEVER,   /* unknown team, no fitting type, over the team's limit */
} FtAdmission;

/* `why` is set to a static text when the job is not admitted. */
FtAdmission ft_admission_check (const FtSettings *settings, const FtCatalog *catalog, const FtJobSpec *spec,
                                const char **why);
