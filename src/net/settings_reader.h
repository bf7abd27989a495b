/* The operators' settings in force and their version, kept by the admin endpoints (admin*.c),
 * which read the row anew now and then. */
#pragma once
#include "core/tuning.h"

typedef struct {
  FtTuning tuning;
  guint64 settings_version;    /* revision of the row; 0: defaults */
  gint64 next_settings;        /* when the row is read next; monotonic, microseconds */
  gboolean settings_in_flight; /* it is being read */
} FtSettingsReader;
