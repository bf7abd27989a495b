/* Operators' settings: names, ranges, defaults and the checks between them. */
#pragma once
#include "core/types.h"

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
  const char *const *choices; /* NULL: a number */
} FtTuningInfo;

/* The table; `n` gets its length. */
const FtTuningInfo *ft_tuning_table (guint *count);
const FtTuningInfo *ft_tuning_find (const char *name);
void ft_tuning_defaults (FtTuning *tuning);
double ft_tuning_get (const FtTuning *tuning, const FtTuningInfo *info);
void ft_tuning_set (FtTuning *tuning, const FtTuningInfo *info, double value);
/* Longest time a leader without the store may go on answering reports: what it
 * keeps alive must be gone within cancel_s of a cancellation it cannot see. */
gint64 ft_tuning_answer_grace (const FtSettings *settings);
/* NULL if the settings together keep every rule; otherwise the reason, new. */
char *ft_tuning_check (const FtTuning *tuning, const FtSettings *settings);
