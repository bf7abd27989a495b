#include "wire/settings_row.h"

#include <string.h>

static gboolean
parse_choice (const FtTuningInfo *info, const char *text, double *out)
{
  for (guint i = 0; text != NULL && i <= info->max_value; i++)
    if (strcmp (info->choices[i], text) == 0) {
      *out = i;
      return TRUE;
    }
  return FALSE;
}

gboolean
ft_setting_parse (const FtTuningInfo *info, const json_t *value, double *out)
{
  if (info->choices != NULL)
    return parse_choice (info, json_string_value (value), out);
  double number = json_number_value (value);
  if (!json_is_number (value) || !(number >= info->min_value && number <= info->max_value))
    return FALSE;
  *out = number;
  return TRUE;
}

json_t *
ft_setting_value (const FtTuning *tuning, const FtTuningInfo *info)
{
  double value = ft_tuning_get (tuning, info);
  return info->choices != NULL ? json_string (info->choices[(guint) value]) : json_real (value);
}

void
ft_row_settings_parse (const json_t *value, FtTuning *tuning)
{
  const char *name;
  json_t *item;
  ft_tuning_defaults (tuning);
  json_object_foreach ((json_t *) value, name, item)
  {
    const FtTuningInfo *info = ft_tuning_find (name);
    double number;
    if (info != NULL && ft_setting_parse (info, item, &number))
      ft_tuning_set (tuning, info, number);
    else
      g_warning ("setting %s: unknown, or its value cannot be used; left at its default", name);
  }
}
