/* The operators' settings in force and their version, kept by the admin endpoints (admin*.c),
 * which read the row anew now and then. */
#pragma once
#include "core/tuning.h"

/**
 * FtSettingsReader:
 * @tuning: the settings in force
 * @settings_version: revision of their row; 0: the defaults are in force
 * @next_settings: when the row is read next; monotonic, microseconds
 * @settings_in_flight: it is being read
 */
typedef struct {
  FtTuning tuning;
  guint64 settings_version;
  gint64 next_settings;
  gboolean settings_in_flight;
} FtSettingsReader;
