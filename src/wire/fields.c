#include "wire/fields.h"

#include <math.h>
#include <string.h>

#include "core/constants.h"

G_DEFINE_QUARK (ft - wire - error - quark, ft_wire_error)

gboolean
ft_field_fail (const json_t *map, const char *name, GError **error)
{
  if (ft_field_is_null (map, name))
    g_set_error (error, FT_WIRE_ERROR, FT_WIRE_ERROR_MISSING_FIELD, "field %s is missing", name);
  else
    g_set_error (error, FT_WIRE_ERROR, FT_WIRE_ERROR_INVALID_FIELD, "field %s is invalid", name);
  return FALSE;
}

gboolean
ft_field_is_null (const json_t *map, const char *name)
{
  const json_t *item = json_object_get (map, name);
  return item == NULL || json_is_null (item);
}

/* Returns a copy of the text, which the caller frees; NULL if `item` is not a text of 1 to `max_bytes` bytes without a
 * zero byte. */
static char *
copy_text (const json_t *item, gsize max_bytes)
{
  if (!json_is_string (item))
    return NULL;
  gsize size = json_string_length (item);
  const char *text = json_string_value (item);
  if (size == 0 || size > max_bytes || strlen (text) != size)
    return NULL;
  return g_strdup (text);
}

gboolean
ft_field_text (const json_t *map, const char *name, gsize max_bytes, char **out)
{
  char *text = copy_text (json_object_get (map, name), max_bytes);
  if (text == NULL)
    return FALSE;
  g_free (*out);
  *out = text;
  return TRUE;
}

gboolean
ft_field_text_or_null (const json_t *map, const char *name, gsize max_bytes, char **out)
{
  if (!ft_field_is_null (map, name))
    return ft_field_text (map, name, max_bytes, out);
  g_clear_pointer (out, g_free);
  return TRUE;
}

/* Reads a whole number, which a sender may write as a decimal number like 4.0. Returns FALSE if `item` is none, or is
 * negative, or is a decimal number too large to be exact. */
static gboolean
read_whole (const json_t *item, guint64 *value)
{
  double real = json_real_value (item);
  if (json_is_integer (item) && json_integer_value (item) >= 0)
    *value = (guint64) json_integer_value (item);
  else if (json_is_real (item) && real >= 0 && real <= FT_EXACT_REAL_MAX && real == floor (real))
    *value = (guint64) real;
  else
    return FALSE;
  return TRUE;
}

gboolean
ft_field_count (const json_t *map, const char *name, guint64 min, guint64 max, guint64 *out)
{
  guint64 value;
  if (!read_whole (json_object_get (map, name), &value) || value < min || value > max)
    return FALSE;
  *out = value;
  return TRUE;
}

gboolean
ft_field_amount (const json_t *map, const char *name, double min, double max, double *out)
{
  const json_t *item = json_object_get (map, name);
  if (!json_is_number (item))
    return FALSE;
  double value = json_number_value (item);
  if (!isfinite (value) || value < min || value > max)
    return FALSE;
  *out = value;
  return TRUE;
}

gboolean
ft_field_bool (const json_t *map, const char *name, gboolean *out)
{
  const json_t *item = json_object_get (map, name);
  if (!json_is_boolean (item))
    return FALSE;
  *out = json_is_true (item);
  return TRUE;
}

gboolean
ft_field_texts (const json_t *map, const char *name, gsize max_bytes, GStrv *out)
{
  const json_t *list = json_object_get (map, name);
  if (!json_is_array (list))
    return FALSE;
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < json_array_size (list); i++) {
    char *text = copy_text (json_array_get (list, i), max_bytes);
    if (text == NULL)
      return FALSE;
    g_ptr_array_add (texts, text);
  }
  g_ptr_array_add (texts, NULL);
  g_strfreev (*out);
  *out = (GStrv) g_ptr_array_free (g_steal_pointer (&texts), FALSE);
  return TRUE;
}
