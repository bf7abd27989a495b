#include "net/catalog_cache.h"

#include "core/constants.h"
#include "core/duration.h"
#include "wire/cloud.h"

struct _FtCatalogCache {
  const FtConfig *config;    /* borrowed */
  FtHttpClient *client;      /* borrowed */
  FtMalformedLog *malformed; /* borrowed */
  FtCatalogUpdated updated;
  gpointer data;
  FtCatalog *catalog;  /* owned reference; NULL: no catalog was read yet */
  gboolean in_flight;  /* a request has been sent and not answered */
  gint64 next_read_at; /* earliest time of the next request; monotonic, microseconds */
};

FtCatalogCache *
ft_catalog_cache_new (const FtConfig *config, FtHttpClient *cloud_client, FtMalformedLog *malformed,
                      FtCatalogUpdated updated, gpointer data)
{
  FtCatalogCache *cache = g_new0 (FtCatalogCache, 1);
  cache->config = config;
  cache->client = cloud_client;
  cache->malformed = malformed;
  cache->updated = updated;
  cache->data = data;
  return cache;
}

void
ft_catalog_cache_free (FtCatalogCache *cache)
{
  if (cache == NULL)
    return;
  ft_catalog_unref (cache->catalog);
  g_free (cache);
}

static void
on_catalog (guint status, const json_t *body, gpointer data)
{
  FtCatalogCache *cache = data;
  gboolean answered = status == FT_HTTP_OK;
  FtCatalog *catalog = answered ? ft_cloud_catalog (body) : NULL;
  double pause_s = catalog != NULL ? FT_CATALOG_EVERY_S : FT_CATALOG_RETRY_S;
  cache->in_flight = FALSE;
  cache->next_read_at = g_get_monotonic_time () + ft_seconds (pause_s);
  if (answered && catalog == NULL)
    ft_malformed_log_add (cache->malformed, FT_COUNT_MALFORMED_CLOUD, "catalog");
  if (catalog == NULL)
    return;
  ft_catalog_unref (cache->catalog);
  cache->catalog = catalog;
  cache->updated (catalog, cache->data);
}

void
ft_catalog_cache_tick (FtCatalogCache *cache, gint64 now)
{
  if (cache->in_flight || now < cache->next_read_at)
    return;
  cache->in_flight = TRUE;
  ft_http_send (cache->client, "GET", cache->config->cloud_addr, "/catalog", FT_BODY_CBOR, NULL, FT_CLOUD_TIMEOUT_S,
                FALSE, on_catalog, cache);
}

FtCatalog *
ft_catalog_cache_get (const FtCatalogCache *cache)
{
  return cache->catalog;
}
