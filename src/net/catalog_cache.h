/* The cloud's machine types, as read from it now and then. The leader's scheduler and the
 * admission of jobs use them. */
#pragma once
#include "config.h"
#include "core/types.h"
#include "net/http.h"
#include "net/malformed.h"

/**
 * FtCatalogCache:
 *
 * One per process, owned by the node.
 */
typedef struct _FtCatalogCache FtCatalogCache;

/**
 * FtCatalogUpdated:
 * @catalog: (transfer none): what was read
 * @data: that of ft_catalog_cache_new()
 */
typedef void (*FtCatalogUpdated) (FtCatalog *catalog, gpointer data);

/**
 * ft_catalog_cache_new:
 * @config: names the cloud's address
 * @cloud_client: on which the catalog is read
 * @malformed: is given catalogs that cannot be read
 * @read: called for each catalog that was read
 * @data: of @read
 *
 * All arguments are borrowed for the cache's life.
 *
 * Returns: (transfer full): a cache without a catalog
 */
FtCatalogCache *ft_catalog_cache_new (const FtConfig *config, FtHttpClient *cloud_client, FtMalformedLog *malformed,
                                      FtCatalogUpdated read, gpointer data);

/**
 * ft_catalog_cache_free:
 * @cache: (nullable) (transfer full): the cache
 *
 * To be called after its client was freed, with the request that may be under way.
 */
void ft_catalog_cache_free (FtCatalogCache *cache);

/**
 * ft_catalog_cache_tick:
 * @now: monotonic time in microseconds
 *
 * Reads the catalog if that is due.
 */
void ft_catalog_cache_tick (FtCatalogCache *cache, gint64 now);

/**
 * ft_catalog_cache_get:
 *
 * Returns: (transfer none) (nullable): the catalog that was read last, NULL if none was yet; valid
 *     until the main loop runs again
 */
FtCatalog *ft_catalog_cache_get (const FtCatalogCache *cache);
