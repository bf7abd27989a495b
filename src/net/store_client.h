/* Client of the key-value store (the "state service" of the protocol).
 *
 * It owns the connections to the store, this controller's share of the store's rate limits, the
 * queues of requests that wait for that share, and the record of whether the store serves us.
 * Every module that reads or writes rows uses it; the messages themselves are built and read
 * by wire/store.h. All times are monotonic, in microseconds. */
#pragma once
#include "config.h"
#include "net/http.h"
#include "wire/store.h"

typedef struct _FtStoreClient FtStoreClient;

/* The order in which requests get a share of the budget. */
typedef enum {
  FT_STORE_PRIORITY_LEASE,  /* renewals and acquisitions: never wait for a budget */
  FT_STORE_PRIORITY_CANCEL, /* cancellations: before all that waits for a budget */
  FT_STORE_PRIORITY_COMMIT, /* the leader's batches, submissions */
  FT_STORE_PRIORITY_READ,
} FtStorePriority;

/* How a request ended. Only of FT_STORE_UNANSWERED, FT_STORE_FAILED and FT_STORE_MALFORMED is
 * it unknown whether a transaction was committed; FT_STORE_OK says that it was, all others
 * that it was not. */
typedef enum {
  FT_STORE_OK,          /* read, or committed */
  FT_STORE_NOT_FOUND,   /* there is no such row */
  FT_STORE_CONFLICT,    /* a condition of the transaction does not hold; the body names it */
  FT_STORE_COMPACTED,   /* the changes since that revision are no longer kept: read the rows again */
  FT_STORE_INVALID,     /* refused as such: the same request will never be accepted */
  FT_STORE_THROTTLED,   /* refused for the store's rate limits, more often than it is resent here */
  FT_STORE_UNAVAILABLE, /* refused for now by the store, or by the full queue of this client */
  FT_STORE_UNANSWERED,  /* no answer came in time; the request may still be executed */
  FT_STORE_FAILED,      /* an answer that the protocol does not know */
  FT_STORE_MALFORMED,   /* answered as FT_STORE_OK, but the body cannot be read; see ft_store_read_row() */
} FtStoreResult;

/* Called once when a request has ended. `body` is borrowed for the call; NULL if there is none
 * or it cannot be decoded. */
typedef void (*FtStoreDone) (FtStoreResult result, const json_t *body, gpointer data);

/* Reads the body of an answer with `result`. Each returns FT_STORE_OK with what was read,
 * FT_STORE_MALFORMED if the answer was one of success that cannot be read, and else `result`.
 * What they fill belongs to `body`, except `rows`: a new array of FtRow, NULL unless OK. */
FtStoreResult ft_store_read_row (FtStoreResult result, const json_t *body, FtRow *row);
FtStoreResult ft_store_read_rows (FtStoreResult result, const json_t *body, GArray **rows, gboolean *more);
FtStoreResult ft_store_read_events (FtStoreResult result, const json_t *body, GArray **rows, guint64 *revision);
FtStoreResult ft_store_read_job (FtStoreResult result, const json_t *body, FtRow *row, FtJobRow *job);
FtStoreResult ft_store_read_revision (FtStoreResult result, const json_t *body, guint64 *revision);

/* `config` is borrowed only for the call. */
FtStoreClient *ft_store_client_new (const FtConfig *config);
/* Requests that still wait for the budget are dropped without calling their `done`. */
void ft_store_client_free (FtStoreClient *store);
/* Whether this controller leads, and so allows itself the leader's share of the limits. */
void ft_store_client_set_leading (FtStoreClient *store, gboolean leading);

/* Reads one row. `done` is called once, as by all of these; at once, before the function
 * returns, only where the queue of FT_STORE_PRIORITY_READ is full. */
void ft_store_client_get (FtStoreClient *store, const char *key, FtStorePriority priority, FtStoreDone done,
                          gpointer data);
/* Reads a page of up to FT_LIST_LIMIT rows under `prefix`, behind the key `after` (NULL: from the first). */
void ft_store_client_list (FtStoreClient *store, const char *prefix, const char *after, FtStorePriority priority,
                           FtStoreDone done, gpointer data);
/* Commits a transaction of ft_txn_new(), which stays the caller's; FT_STORE_CONFLICT if a condition does not hold. */
void ft_store_client_commit (FtStoreClient *store, const json_t *txn, FtStorePriority priority, FtStoreDone done,
                             gpointer data);
/* Waits up to FT_WATCH_S for changes under `prefix` after the revision `since`, on a connection of its own. */
void ft_store_client_follow (FtStoreClient *store, const char *prefix, guint64 since, FtStoreDone done, gpointer data);

/* TRUE if the store serves us: it has answered before, and has not failed us for FT_CONTACT_LOST_S. */
gboolean ft_store_client_contact (const FtStoreClient *store, gint64 now);
/* Since when it has failed us without a break; 0: it serves us. */
gint64 ft_store_client_failing_since (const FtStoreClient *store);
/* Number of requests that wait for the budget, cancellations not counted. */
guint ft_store_client_queued (const FtStoreClient *store);
/* TRUE if the budget for changes is mostly unused and none waits for it. */
gboolean ft_store_client_spare_writes (FtStoreClient *store);
/* Seconds until the changes that wait now have been sent, within the budget. */
double ft_store_client_write_wait_s (const FtStoreClient *store);
/* When the store last served us; 0: never. */
gint64 ft_store_client_last_served (const FtStoreClient *store);
