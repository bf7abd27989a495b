#include "core/recent_map.h"

struct _FtRecentMap {
  GHashTable *values; /* key -> number; the keys are owned by `order` */
  GQueue order;       /* keys, owned, the oldest first */
  guint max_entries;
};

FtRecentMap *
ft_recent_map_new (guint max_entries)
{
  FtRecentMap *map = g_new0 (FtRecentMap, 1);
  map->values = g_hash_table_new (g_str_hash, g_str_equal);
  map->max_entries = max_entries;
  g_queue_init (&map->order);
  return map;
}

void
ft_recent_map_free (FtRecentMap *map)
{
  if (map == NULL)
    return;
  g_hash_table_unref (map->values);
  g_queue_clear_full (&map->order, g_free);
  g_free (map);
}

void
ft_recent_map_add (FtRecentMap *map, const char *key, guint value)
{
  if (g_hash_table_contains (map->values, key))
    return;
  char *owned = g_strdup (key);
  g_hash_table_insert (map->values, owned, GUINT_TO_POINTER (value));
  g_queue_push_tail (&map->order, owned);
  if (g_queue_get_length (&map->order) <= map->max_entries)
    return;
  g_autofree char *oldest = g_queue_pop_head (&map->order);
  g_hash_table_remove (map->values, oldest);
}

gboolean
ft_recent_map_find (const FtRecentMap *map, const char *key, guint *value)
{
  gpointer found;
  if (!g_hash_table_lookup_extended (map->values, key, NULL, &found))
    return FALSE;
  if (value != NULL)
    *value = GPOINTER_TO_UINT (found);
  return TRUE;
}
