/* Operators' settings: their names, ranges, defaults and the checks between them.
 *
 * They live in the key-value store and are changed through the administration API only. The table is made from
 * FT_OPERATOR_SETTINGS (constants.h). Read by all controllers; the scheduler gets a copy. */
#pragma once
#include "core/types.h"

/* The values, in the units of the table. */
typedef struct {
  double lease_s, sweep_s, sweep_jitter, renew_fraction;
  double sample_size;
  double idle_spot_s, idle_ordinary_s, headroom_per_boot_s;
  double spot_share;
  double log_level;
} FtTuning;

typedef struct {
  const char *name, *unit, *what;
  double least, most, standard;
  gsize offset;               /* of the value in FtTuning */
  const char *const *choices; /* what the value counts through; NULL: it is a number */
} FtTuningInfo;

/* The table, static; `count` gets its length. */
const FtTuningInfo *ft_tuning_table (guint *count);

/* The setting of that name; static, NULL: there is none. */
const FtTuningInfo *ft_tuning_find (const char *name);

/* Sets all values to their defaults. */
void ft_tuning_defaults (FtTuning *tuning);

/* The value of one setting. */
double ft_tuning_get (const FtTuning *tuning, const FtTuningInfo *info);

/* Sets it, unchecked. */
void ft_tuning_set (FtTuning *tuning, const FtTuningInfo *info, double value);

/* The answer grace period in microseconds: the longest time for which a leader without the key-value store may go on
 * answering heartbeats. What it keeps alive must be gone within cancel_s of a cancellation that it cannot see. */
gint64 ft_tuning_answer_grace (const FtSettings *settings);

/* NULL if the settings together keep every rule; otherwise the reason for operators, new. */
char *ft_tuning_check (const FtTuning *tuning, const FtSettings *settings);
