/* The operators' settings: their names, ranges and defaults, and the checks that compare them with each other.
 *
 * The settings are stored in the key-value store and are changed only through the administration API. The table is
 * generated from FT_OPERATOR_SETTINGS (constants.h). All controllers read the settings; the scheduler gets a copy. */
#pragma once
#include "core/types.h"

/* The values, in the units of the table. */
typedef struct {
  double lease_s, sweep_s, sweep_jitter, renewals_per_lease;
  double sample_size;
  double idle_spot_s, idle_ordinary_s, headroom_per_boot_s;
  double spot_share;
  double log_level;
} FtTuning;

/* The description of a setting. */
typedef struct {
  const char *name, *unit;
  const char *description;     /* the description that operators see */
  double min_value, max_value; /* the range of the value */
  double default_value;        /* the default value */
  gsize offset;                /* offset of the value in FtTuning */
  const char *const *choices;  /* the texts for which the values 0, 1, ... stand; NULL: the value is a number */
} FtTuningInfo;

/* Returns the table of the settings, which is static. Sets `count` to its length. */
const FtTuningInfo *ft_tuning_table (guint *count);

/* Returns the setting of that name, which is static; NULL: there is none. */
const FtTuningInfo *ft_tuning_find (const char *name);

/* Sets all values to their defaults. */
void ft_tuning_defaults (FtTuning *tuning);

/* Returns the value of one setting. */
double ft_tuning_get (const FtTuning *tuning, const FtTuningInfo *info);

/* Sets the value of one setting without a check of its range. */
void ft_tuning_set (FtTuning *tuning, const FtTuningInfo *info, double value);

/* Returns the answer grace period in microseconds: the longest time for which a leader that cannot reach the key-value
 * store may continue to answer heartbeats. Answers keep tasks running, and the leader cannot see that a task is
 * cancelled; such a task must still end within cancel_s of its cancellation. */
gint64 ft_tuning_answer_grace (const FtSettings *settings);

/* Checks the settings against each other and against the settings file. Returns NULL if they are valid; otherwise the
 * reason in words for operators, which the caller frees. */
char *ft_tuning_check (const FtTuning *tuning, const FtSettings *settings);
