#include "ctl/output.h"

#include <stdio.h>
#include <string.h>

#include <glib.h>

/* Returns the text that is printed for one value. Free it with g_free (). */
static char *
format_value (const json_t *value)
{
  if (json_is_string (value))
    return g_strdup (json_string_value (value));
  if (json_is_integer (value))
    return g_strdup_printf ("%" JSON_INTEGER_FORMAT, json_integer_value (value));
  if (json_is_real (value))
    return g_strdup_printf ("%g", json_real_value (value));
  if (json_is_boolean (value))
    return g_strdup (json_is_true (value) ? "yes" : "no");
  return g_strdup ("-");
}

/* Returns the width of the column @name in bytes: the length of its heading or of its longest value. */
static int
column_width (const json_t *rows, const char *name)
{
  int width = (int) strlen (name);
  for (size_t i = 0; i < json_array_size (rows); i++) {
    g_autofree char *text = format_value (json_object_get (json_array_get (rows, i), name));
    width = MAX (width, (int) strlen (text));
  }
  return width;
}

/* Prints one row of a table, or its headings if @row is NULL. The columns are the fields of the object @columns;
 * @widths has the width in bytes of each column. */
static void
print_row (const json_t *columns, const json_t *row, const GArray *widths)
{
  const char *name;
  json_t *value;
  guint column = 0;
  json_object_foreach ((json_t *) columns, name, value)
  {
    g_autofree char *text = row != NULL ? format_value (json_object_get (row, name)) : g_strdup (name);
    printf ("%-*s  ", g_array_index (widths, int, column), text);
    column++;
  }
  printf ("\n");
}

void
ft_ctl_print_table (const json_t *rows)
{
  const json_t *columns = json_array_get (rows, 0);
  const char *name;
  json_t *value;
  if (columns == NULL) {
    printf ("none\n");
    return;
  }
  g_autoptr (GArray) widths = g_array_new (FALSE, FALSE, sizeof (int));
  json_object_foreach ((json_t *) columns, name, value)
  {
    int width = column_width (rows, name);
    g_array_append_val (widths, width);
  }
  print_row (columns, NULL, widths);
  for (size_t i = 0; i < json_array_size (rows); i++)
    print_row (columns, json_array_get (rows, i), widths);
}

void
ft_ctl_print_fields (const json_t *object)
{
  const char *name;
  json_t *value;
  json_object_foreach ((json_t *) object, name, value)
  {
    if (json_is_array (value) || json_is_object (value))
      continue;
    g_autofree char *text = format_value (value);
    printf ("%-18s %s\n", name, text);
  }
}

static void
print_json (const json_t *answer)
{
  char *text = json_dumps (answer, JSON_INDENT (2));
  printf ("%s\n", text);
  free (text);
}

void
ft_ctl_print_answer (FtCtlFormat format, const json_t *answer, const char *list)
{
  if (format == FT_CTL_FORMAT_JSON) {
    print_json (answer);
    return;
  }
  ft_ctl_print_fields (answer);
  if (list != NULL)
    ft_ctl_print_table (json_object_get (answer, list));
}
