/* Client of the state service: budgets, priorities, bounded queue, contact. */
#pragma once
#include "config.h"
#include "net/http.h"

typedef struct _FtStoreClient FtStoreClient;

typedef enum {
  FT_STORE_PRIORITY_LEASE,  /* renewals and acquisitions: never wait for a budget */
  FT_STORE_PRIORITY_CANCEL, /* cancellations: before all that waits for a budget */
  FT_STORE_PRIORITY_COMMIT, /* the leader's batches, submissions */
  FT_STORE_PRIORITY_READ,
} FtStorePriority;

FtStoreClient *ft_store_client_new (const FtConfig *config);
void ft_store_client_free (FtStoreClient *store);
/* Whether this controller leads, and so allows itself the leader's share of the limits. */
void ft_store_client_set_leading (FtStoreClient *store, gboolean leading);

/* `done` gets status 0 when no answer came: the request may still be executed.
 * 503 from a full queue looks like the service's own. */
void ft_store_client_get (FtStoreClient *store, const char *key, FtStorePriority priority, FtHttpDone done,
                          gpointer data);
void ft_store_client_list (FtStoreClient *store, const char *prefix, const char *after, FtStorePriority priority,
                           FtHttpDone done, gpointer data);
void ft_store_client_commit (FtStoreClient *store, const json_t *txn, FtStorePriority priority, FtHttpDone done,
                             gpointer data);
void ft_store_client_follow (FtStoreClient *store, const char *prefix, guint64 since, FtHttpDone done, gpointer data);

/* TRUE if the service has answered of late, and was not silent since. */
gboolean ft_store_client_contact (const FtStoreClient *store, gint64 now);
/* Since when it has failed us without a break; 0: it serves. */
gint64 ft_store_client_failing_since (const FtStoreClient *store);
/* Requests waiting for the budget. */
guint ft_store_client_queued (const FtStoreClient *store);
/* Whether the budget for changes is mostly unused. */
gboolean ft_store_client_spare_writes (FtStoreClient *store);
/* Seconds until the changes that wait now have been sent, within the budget. */
double ft_store_client_write_wait_s (const FtStoreClient *store);
/* When the service last served us; 0: never. */
gint64 ft_store_client_last_served (const FtStoreClient *store);
