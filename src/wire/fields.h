/* Strict reading of fields out of a decoded message. Every function returns
 * FALSE, and leaves the target alone, when the field is missing or invalid. */
#pragma once
#include <glib.h>
#include <jansson.h>

gboolean ft_field_text (const json_t *map, const char *name, gsize most, char **out);
/* NULL or missing reads as NULL. */
gboolean ft_field_text_or_null (const json_t *map, const char *name, gsize most, char **out);
gboolean ft_field_count (const json_t *map, const char *name, guint64 least, guint64 most, guint64 *out);
gboolean ft_field_amount (const json_t *map, const char *name, double least, double most, double *out);
gboolean ft_field_bool (const json_t *map, const char *name, gboolean *out);
gboolean ft_field_is_null (const json_t *map, const char *name);
gboolean ft_field_texts (const json_t *map, const char *name, gsize most, GStrv *out);
