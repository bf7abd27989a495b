/* A cache of the cloud's catalog of machine types, which it reads at regular intervals. The leader's scheduler
 * and the admission of jobs use the catalog. */
#pragma once
#include "config.h"
#include "core/types.h"
#include "net/http.h"
#include "net/malformed.h"

/**
 * FtCatalogCache:
 *
 * The cache of the catalog. There is one per process; the node owns it.
 */
typedef struct _FtCatalogCache FtCatalogCache;

/**
 * FtCatalogUpdated:
 * @catalog: (transfer none): the catalog that was read
 * @data: the `data` argument of ft_catalog_cache_new()
 *
 * Called each time a catalog was read.
 */
typedef void (*FtCatalogUpdated) (FtCatalog *catalog, gpointer data);

/**
 * ft_catalog_cache_new:
 * @config: the settings file, which contains the cloud's address
 * @cloud_client: the HTTP client that sends the requests for the catalog
 * @malformed: the log of malformed messages, to which malformed catalogs are added
 * @updated: called for each catalog that was read
 * @data: passed to @updated
 *
 * All arguments are borrowed and must outlive the cache, except for @cloud_client; see
 * ft_catalog_cache_free().
 *
 * Returns: (transfer full): a cache that has no catalog yet
 */
FtCatalogCache *ft_catalog_cache_new (const FtConfig *config, FtHttpClient *cloud_client, FtMalformedLog *malformed,
                                      FtCatalogUpdated updated, gpointer data);

/**
 * ft_catalog_cache_free:
 * @cache: (nullable) (transfer full): the cache
 *
 * Must be called after the HTTP client was freed, since a request in flight may still call back into the
 * cache.
 */
void ft_catalog_cache_free (FtCatalogCache *cache);

/**
 * ft_catalog_cache_tick:
 * @now: monotonic time in microseconds
 *
 * Requests the catalog if a read is due: FT_CATALOG_EVERY_S after a successful read, FT_CATALOG_RETRY_S after
 * a failed read.
 */
void ft_catalog_cache_tick (FtCatalogCache *cache, gint64 now);

/**
 * ft_catalog_cache_get:
 *
 * Returns: (transfer none) (nullable): the catalog of the last successful read, valid until the main loop
 *   runs again; %NULL if no read has succeeded yet
 */
FtCatalog *ft_catalog_cache_get (const FtCatalogCache *cache);
