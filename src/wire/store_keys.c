#include "wire/store_keys.h"

#include <string.h>

#include "core/constants.h"

#define PREFIX_JOB "j/"
#define SUFFIX_CANCELLATION "/w"

char *
ft_key_job (const char *ref)
{
  return g_strconcat (PREFIX_JOB, ref, NULL);
}

char *
ft_key_open (const char *ref)
{
  return g_strconcat (FT_PREFIX_OPEN, ref, NULL);
}

char *
ft_key_cancellation (const char *ref)
{
  return g_strconcat (FT_PREFIX_OPEN, ref, SUFFIX_CANCELLATION, NULL);
}

char *
ft_key_chunk (const char *ref, guint chunk)
{
  return g_strdup_printf (FT_PREFIX_DONE "%s/%u", ref, chunk);
}

char *
ft_key_registry (const char *row)
{
  return g_strconcat (FT_PREFIX_REGISTRY, row, NULL);
}

char *
ft_key_drained (const char *machine)
{
  return g_strconcat (FT_PREFIX_DRAINED, machine, NULL);
}

char *
ft_key_open_ref (const char *key, gboolean *cancelled)
{
  if (!g_str_has_prefix (key, FT_PREFIX_OPEN))
    return NULL;
  const char *name = key + strlen (FT_PREFIX_OPEN);
  *cancelled = g_str_has_suffix (name, SUFFIX_CANCELLATION);
  return g_strndup (name, strlen (name) - (*cancelled ? strlen (SUFFIX_CANCELLATION) : 0));
}

gboolean
ft_key_chunk_parse (const char *key, char **ref, guint *chunk)
{
  if (!g_str_has_prefix (key, FT_PREFIX_DONE))
    return FALSE;
  const char *name = key + strlen (FT_PREFIX_DONE);
  const char *slash = strrchr (name, '/');
  guint64 number;
  if (slash == NULL || !g_ascii_string_to_unsigned (slash + 1, 10, 0, FT_JOB_TASKS_MAX, &number, NULL))
    return FALSE;
  *ref = g_strndup (name, (gsize) (slash - name));
  *chunk = (guint) number;
  return TRUE;
}

const char *
ft_key_drained_name (const char *key)
{
  return g_str_has_prefix (key, FT_PREFIX_DRAINED) ? key + strlen (FT_PREFIX_DRAINED) : NULL;
}
