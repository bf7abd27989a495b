/* A map from texts to numbers with a bounded size: it drops its oldest entry when it is full. The map owns its keys.
 * The job table uses it for the jobs that ended recently. */
#pragma once
#include <glib.h>

typedef struct _FtRecentMap FtRecentMap;

/* Returns an empty map for at most `max_entries` entries. */
FtRecentMap *ft_recent_map_new (guint max_entries);
/* Frees the map; NULL is ignored. */
void ft_recent_map_free (FtRecentMap *map);

/* Adds an entry with a copy of the key. If the map has the key already, its value and its age stay the same. */
void ft_recent_map_add (FtRecentMap *map, const char *key, guint value);

/* Sets `value`, which may be NULL, to the value of the key. Returns FALSE if the key was never added or was dropped. */
gboolean ft_recent_map_find (const FtRecentMap *map, const char *key, guint *value);
