/* A bounded map from text to a number that forgets its oldest entries. Owns its keys. Used by the job
 * table for the jobs that ended. */
#pragma once
#include <glib.h>

typedef struct _FtRecentMap FtRecentMap;

/* Holds at most `most` entries. */
FtRecentMap *ft_recent_map_new (guint most);
/* NULL is ignored. */
void ft_recent_map_free (FtRecentMap *map);

/* Adds an entry; one that is there already stays as it is, also in its age. Copies the key. */
void ft_recent_map_add (FtRecentMap *map, const char *key, guint value);

/* FALSE: there is no such entry, or it is forgotten. `value` may be NULL. */
gboolean ft_recent_map_find (const FtRecentMap *map, const char *key, guint *value);
