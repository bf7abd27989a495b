/**
 * SECTION: settings_row
 * @title: The operators' settings row
 *
 * The row in which operators' settings (core/tuning.h) are kept: one field for each setting that
 * is not at its default. Read and written by src/net/admin.c.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/tuning.h"

/**
 * ft_row_settings_parse:
 * @value: the row's value
 * @tuning: (out): all settings; what the row does not name is at its default
 *
 * Settings that are unknown here, as those of a newer version, and values out of range are logged
 * and left at their defaults: a bad row must not stop a controller.
 */
void ft_row_settings_parse (const json_t *value, FtTuning *tuning);

/**
 * ft_setting_value:
 * @tuning: settings
 * @info: one of the table of settings
 *
 * Returns: (transfer full): that setting's value as JSON, a number or the name of its choice.
 */
json_t *ft_setting_value (const FtTuning *tuning, const FtTuningInfo *info);

/**
 * ft_setting_parse:
 * @info: one of the table of settings
 * @value: a value for it as JSON
 * @out: (out): the value; of a choice its position
 *
 * Returns: %FALSE, with nothing set, if it is neither a number within the range nor a choice.
 */
gboolean ft_setting_parse (const FtTuningInfo *info, const json_t *value, double *out);
