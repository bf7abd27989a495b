/**
 * SECTION: settings_row
 * @title: The operators' settings row
 *
 * Encodes and decodes the operators' settings (see core/tuning.h) for their row in the key-value store
 * and for the administration API. The row has one field for each setting that is not at its default.
 * Used by src/net.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/tuning.h"

/**
 * ft_row_settings_parse:
 * @value: the value of the settings row
 * @tuning: (out): all settings; each setting without a field in the row gets its default
 *
 * Decodes the settings row. An unknown setting, which a newer version may have stored, is logged and
 * ignored. A setting with an invalid value is logged and gets its default. A malformed row must not
 * stop a controller.
 */
void ft_row_settings_parse (const json_t *value, FtTuning *tuning);

/**
 * ft_setting_value:
 * @tuning: the operators' settings
 * @info: the description of one setting
 *
 * Returns: (transfer full): the value of the setting as JSON: a number, or the text of the choice if
 * the setting has a fixed list of choices.
 */
json_t *ft_setting_value (const FtTuning *tuning, const FtTuningInfo *info);

/**
 * ft_setting_parse:
 * @info: the description of one setting
 * @value: a value for the setting as JSON
 * @out: (out): the number, or the position of the choice if the setting has a fixed list of choices
 *
 * Returns: %TRUE on success; %FALSE, with @out unchanged, if @value is not valid: a number out of the
 * setting's range, a text that is not one of the choices, or a value of the wrong type.
 */
gboolean ft_setting_parse (const FtTuningInfo *info, const json_t *value, double *out);
