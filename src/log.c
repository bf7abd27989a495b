#include "log.h"

#include <glib.h>
#include <stdio.h>
#include <string.h>

static GLogLevelFlags shown = G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING;
static char *self;

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
writer (GLogLevelFlags level, const GLogField *fields, gsize n, gpointer data)
{
  (void) data;
  if ((level & shown) == 0)
    return G_LOG_WRITER_HANDLED;
  for (gsize i = 0; i < n; i++)
    if (strcmp (fields[i].key, "MESSAGE") == 0)
      fprintf (stderr, "%s %s %s\n", self, level_name (level), (const char *) fields[i].value);
  return G_LOG_WRITER_HANDLED;
}

int
ft_log_set_level (const char *name)
{
  GLogLevelFlags errors = G_LOG_LEVEL_ERROR | G_LOG_LEVEL_CRITICAL | G_LOG_LEVEL_WARNING;
  if (g_strcmp0 (name, "error") == 0)
    shown = errors;
  else if (g_strcmp0 (name, "info") == 0)
    shown = errors | G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO;
  else if (g_strcmp0 (name, "debug") == 0)
    shown = errors | G_LOG_LEVEL_MESSAGE | G_LOG_LEVEL_INFO | G_LOG_LEVEL_DEBUG;
  else
    return 0;
  return 1;
}

void
ft_log_init (const char *member)
{
  self = g_strdup (member);
  g_log_set_writer_func (writer, NULL, NULL);
  ft_log_set_level (g_getenv ("LOG_LEVEL"));
}
