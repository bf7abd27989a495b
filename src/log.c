#include "log.h"

#include <stdio.h>
#include <string.h>

#define LEVELS_ERROR (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING)
#define LEVELS_INFO (LEVELS_ERROR | G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO)
#define LEVELS_DEBUG (LEVELS_INFO | G_LOG_LEVEL_DEBUG)

static GLogLevelFlags shown_levels = LEVELS_ERROR;
static char *member_name;

static const char *
level_name (GLogLevelFlags level)
{
  if (level & (G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL))
    return "error";
  if (level & G_LOG_LEVEL_WARNING)
    return "warning";
  return level & G_LOG_LEVEL_DEBUG ? "debug" : "info";
}

static GLogWriterOutput
write_line (GLogLevelFlags level, const GLogField *fields, gsize field_count, gpointer data)
{
  (void) data;
  if ((level & shown_levels) == 0)
    return G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < field_count; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      fprintf (stderr, "%s %s %s\n", member_name, level_name (level), (const char *) fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

gboolean
ft_log_set_level (const char *name)
{
  if (g_strcmp0 (name, "error") == 0)
    shown_levels = LEVELS_ERROR;
  else if (g_strcmp0 (name, "info") == 0)
    shown_levels = LEVELS_INFO;
  else if (g_strcmp0 (name, "debug") == 0)
    shown_levels = LEVELS_DEBUG;
  else
    return FALSE;
  return TRUE;
}

void
ft_log_init (const char *member)
{
  member_name = g_strdup (member);
  g_log_set_writer_func (write_line, NULL, NULL);
  ft_log_set_level (g_getenv ("LOG_LEVEL"));
}
