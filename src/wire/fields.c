#include "wire/fields.h"

#include <math.h>
#include <string.h>

gboolean
ft_field_is_null (const json_t *map, const char *name)
{
  const json_t *item = json_object_get (map, name);
  return item == NULL || json_is_null (item);
}

static char *
text_of (const json_t *item, gsize most)
{
  if (!json_is_string (item))
    return NULL;
  gsize size = json_string_length (item);
  const char *text = json_string_value (item);
  if (size == 0 || size > most || strlen (text) != size)
    return NULL;
  return g_strdup (text);
}

gboolean
ft_field_text (const json_t *map, const char *name, gsize most, char **out)
{
  char *text = text_of (json_object_get (map, name), most);
  if (text == NULL)
    return FALSE;
  g_free (*out);
  *out = text;
  return TRUE;
}

gboolean
ft_field_text_or_null (const json_t *map, const char *name, gsize most, char **out)
{
  if (!ft_field_is_null (map, name))
    return ft_field_text (map, name, most, out);
  g_clear_pointer (out, g_free);
  return TRUE;
}

gboolean
ft_field_count (const json_t *map, const char *name, guint64 least, guint64 most, guint64 *out)
{
  const json_t *item = json_object_get (map, name);
  if (!json_is_integer (item) || json_integer_value (item) < 0)
    return FALSE;
  guint64 value = (guint64) json_integer_value (item);
  if (value < least || value > most)
    return FALSE;
  *out = value;
  return TRUE;
}

gboolean
ft_field_amount (const json_t *map, const char *name, double least, double most, double *out)
{
  const json_t *item = json_object_get (map, name);
  if (!json_is_number (item))
    return FALSE;
  double value = json_number_value (item);
  if (!isfinite (value) || value < least || value > most)
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
ft_field_texts (const json_t *map, const char *name, gsize most, GStrv *out)
{
  const json_t *list = json_object_get (map, name);
  if (!json_is_array (list))
    return FALSE;
  g_autoptr (GPtrArray) texts = g_ptr_array_new_with_free_func (g_free);
  for (size_t i = 0; i < json_array_size (list); i++) {
    char *text = text_of (json_array_get (list, i), most);
    if (text == NULL)
      return FALSE;
    g_ptr_array_add (texts, text);
  }
  g_ptr_array_add (texts, NULL);
  g_strfreev (*out);
  *out = (GStrv) g_ptr_array_free (g_steal_pointer (&texts), FALSE);
  return TRUE;
}
