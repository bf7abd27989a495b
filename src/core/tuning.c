#include "core/tuning.h"

#include "core/constants.h"
#include "core/duration.h"

static const char *const log_choices[] = FT_LOG_CHOICES;

/* Converts a row of FT_OPERATOR_SETTINGS into an element of the table. */
#define ROW(name, field, unit, least, most, standard, what)                                                            \
  { name, unit, what, least, most, standard, offsetof (FtTuning, field), NULL },

static FtTuningInfo table[] = { FT_OPERATOR_SETTINGS (ROW) };

const FtTuningInfo *
ft_tuning_table (guint *count)
{
  *count = G_N_ELEMENTS (table);
  for (guint i = 0; i < G_N_ELEMENTS (table); i++)
    if (g_str_equal (table[i].unit, "choice"))
      table[i].choices = log_choices;
  return table;
}

const FtTuningInfo *
ft_tuning_find (const char *name)
{
  guint count;
  const FtTuningInfo *all = ft_tuning_table (&count);
  for (guint i = 0; i < count; i++)
    if (g_strcmp0 (all[i].name, name) == 0)
      return &all[i];
  return NULL;
}

double
ft_tuning_get (const FtTuning *tuning, const FtTuningInfo *info)
{
  return G_STRUCT_MEMBER (double, tuning, info->offset);
}

void
ft_tuning_set (FtTuning *tuning, const FtTuningInfo *info, double value)
{
  G_STRUCT_MEMBER (double, tuning, info->offset) = value;
}

void
ft_tuning_defaults (FtTuning *tuning)
{
  for (guint i = 0; i < G_N_ELEMENTS (table); i++)
    ft_tuning_set (tuning, &table[i], table[i].default_value);
}

gint64
ft_tuning_answer_grace (const FtSettings *settings)
{
  double grace_s
      = settings->cancel_s - settings->lease_s - FT_ANSWER_GRACE_MARGIN_S - settings->cancel_s * FT_CLOCK_DRIFT;
  return ft_seconds (MAX (grace_s, 0));
}

char *
ft_tuning_check (const FtTuning *tuning, const FtSettings *settings)
{
  double grace_s = (double) ft_tuning_answer_grace (settings) / FT_SECOND;
  if (tuning->lease_s > MAX (grace_s, FT_LEASE_S))
    return g_strdup_printf ("lease_time above %.1f s: a leader without the state service could start tasks of jobs "
                            "whose withdrawal it cannot see in time",
                            MAX (grace_s, FT_LEASE_S));
  double left_s = tuning->lease_s - tuning->lease_s / tuning->renewals_per_lease - FT_LEASE_MARGIN_S;
  if (left_s < FT_RENEW_SLACK_S)
    return g_strdup_printf ("lease_time and renewal_fraction leave %.2f s after a renewal that is lost; %.2f s are "
                            "needed, or a healthy leader loses its lease",
                            left_s, FT_RENEW_SLACK_S);
  if (tuning->sweep_s > tuning->lease_s)
    return g_strdup ("sweep_period is longer than lease_time: a takeover would wait for the sweep");
  return NULL;
}
