/* The cloud's machine types, as read from it now and then. The leader's scheduler and the
 * admission of jobs use them. */
#pragma once
#include "config.h"
#include "core/types.h"
#include "net/http.h"
#include "net/malformed.h"

typedef struct _FtCatalogCache FtCatalogCache;
/* A catalog was read; it is borrowed for the call. */
typedef void (*FtCatalogRead) (FtCatalog *catalog, gpointer data);

/* All arguments are borrowed for the cache's life. */
FtCatalogCache *ft_catalog_cache_new (const FtConfig *config, FtHttpClient *cloud_client, FtMalformedLog *malformed,
                                      FtCatalogRead read, gpointer data);
/* To be called after `cloud_client` was freed, with its requests. */
void ft_catalog_cache_free (FtCatalogCache *cache);
/* Reads the catalog if that is due. `now`: monotonic, microseconds. */
void ft_catalog_cache_tick (FtCatalogCache *cache, gint64 now);
/* The catalog read last; NULL: none yet. Borrowed until the main loop runs again. */
FtCatalog *ft_catalog_cache_get (const FtCatalogCache *cache);
