/* Client of the key-value store (the "state service" of the protocol).
 *
 * It owns the connections to the store, the budgets that are this controller's share of the store's
 * rate limits, the queues of requests that wait for these budgets, and the record of whether the store
 * serves this controller. Every module that reads or writes rows uses it. The functions of wire/store.h
 * build and parse the messages. All times are monotonic, in microseconds. */
#pragma once
#include "config.h"
#include "net/http.h"
#include "net/store_result.h"
#include "wire/store.h"

/**
 * FtStoreClient:
 *
 * The client. There is one per process, owned by the node.
 */
typedef struct _FtStoreClient FtStoreClient;

/**
 * FtStorePriority:
 * @FT_STORE_PRIORITY_LEASE: reads, claims and renewals of the lease, and the recovery; these requests
 *     never wait for a budget
 * @FT_STORE_PRIORITY_CANCEL: users' cancellations and the reads that they need; sent before all other
 *     requests that wait for a budget
 * @FT_STORE_PRIORITY_COMMIT: the leader's batches and reads, submissions, and operators' changes
 * @FT_STORE_PRIORITY_READ: reads for users and of the settings; at most FT_STORE_QUEUE_MAX wait, for at most
 *     FT_USER_DEADLINE_S
 *
 * The order in which requests that wait for a budget are sent.
 */
typedef enum {
  FT_STORE_PRIORITY_LEASE,
  FT_STORE_PRIORITY_CANCEL,
  FT_STORE_PRIORITY_COMMIT,
  FT_STORE_PRIORITY_READ,
} FtStorePriority;

/**
 * FtStoreDone:
 * @result: the result of the request
 * @body: (transfer none) (nullable): the answer's body; %NULL if there is none or it cannot be decoded
 * @data: the pointer that was passed with the request
 *
 * Called once for each request, unless the client is freed earlier. As every completion callback (see
 * #FtHttpDone), it is called from the main loop: never before the requesting function has returned, also if
 * the request is refused because its queue is full.
 */
typedef void (*FtStoreDone) (FtStoreResult result, const json_t *body, gpointer data);

/* ---- requests ---- */

/**
 * ft_store_client_new:
 * @config: contains the store's address and limits; borrowed for the call
 *
 * Returns: (transfer full): the client of a controller that does not lead
 */
FtStoreClient *ft_store_client_new (const FtConfig *config);

/**
 * ft_store_client_free:
 * @store: (nullable) (transfer full): the client
 *
 * Drops the requests in flight and in the queues without calling their callbacks, also those of refused
 * requests. Callers' data that only a callback would free is leaked, which is acceptable only at the end of the
 * process. See ft_store_client_in_flight().
 */
void ft_store_client_free (FtStoreClient *store);

/**
 * ft_store_client_set_leading:
 * @leading: whether this controller leads, and therefore uses the leader's share of the store's rate
 *     limits
 */
void ft_store_client_set_leading (FtStoreClient *store, gboolean leading);

/**
 * ft_store_client_get:
 * @key: key of the row
 * @done: called with the row
 * @data: data of @done
 *
 * Reads a row.
 */
void ft_store_client_get (FtStoreClient *store, const char *key, FtStorePriority priority, FtStoreDone done,
                          gpointer data);

/**
 * ft_store_client_list:
 * @prefix: prefix of the rows' keys
 * @after: (nullable): the last key of the previous page; %NULL for the first page
 * @done: called with a page of up to FT_LIST_LIMIT rows
 * @data: data of @done
 *
 * Reads a page of the rows under a prefix.
 */
void ft_store_client_list (FtStoreClient *store, const char *prefix, const char *after, FtStorePriority priority,
                           FtStoreDone done, gpointer data);

/**
 * ft_store_client_commit:
 * @txn: a transaction made by ft_txn_new() or ft_txn_new_check(); the client takes a reference
 * @done: called with the revision of the commit, or with %FT_STORE_CONFLICT
 * @data: data of @done
 *
 * Commits a transaction.
 */
void ft_store_client_commit (FtStoreClient *store, const json_t *txn, FtStorePriority priority, FtStoreDone done,
                             gpointer data);

/**
 * ft_store_client_watch:
 * @prefix: prefix of the rows' keys
 * @since: revision after which changes are reported
 * @done: called with the changes: at once if there are any, else at the first change or after FT_WATCH_S
 * @data: data of @done
 *
 * Watches rows for changes, on a connection that only watches use and without waiting for the budget.
 */
void ft_store_client_watch (FtStoreClient *store, const char *prefix, guint64 since, FtStoreDone done, gpointer data);

/* ---- contact and load ---- */

/**
 * FtStoreQueueStatus:
 * @length: number of requests that wait for a budget now
 * @longest: the greatest @length since the client was made
 * @refused: number of requests that were refused since then, because the queue was full or they had waited for too
 *     long
 *
 * How full one queue of requests is.
 */
typedef struct {
  guint length;
  guint longest;
  guint64 refused;
} FtStoreQueueStatus;

/**
 * ft_store_client_queue_status:
 * @priority: the priority of the queue's requests; not %FT_STORE_PRIORITY_LEASE, whose requests never wait
 *
 * Returns: how full the queue is
 */
FtStoreQueueStatus ft_store_client_queue_status (const FtStoreClient *store, FtStorePriority priority);

/**
 * ft_store_client_has_contact:
 * @now: monotonic time
 *
 * Returns: whether the store has served this controller before, and requests to it have not been failing
 *     for FT_CONTACT_LOST_S or longer
 */
gboolean ft_store_client_has_contact (const FtStoreClient *store, gint64 now);

/**
 * ft_store_client_failing_since:
 *
 * Returns: when the first request failed since the store last served this controller, not counting
 *     requests refused because of the rate limits; 0 if none has failed
 */
gint64 ft_store_client_failing_since (const FtStoreClient *store);

/**
 * ft_store_client_last_served_at:
 *
 * Returns: when the store last served this controller; 0 if it never did
 */
gint64 ft_store_client_last_served_at (const FtStoreClient *store);

/**
 * ft_store_client_in_flight:
 *
 * Returns: the number of requests that were sent and await their answer
 */
guint ft_store_client_in_flight (const FtStoreClient *store);

/**
 * ft_store_client_queued:
 *
 * Returns: the number of requests that wait for a budget, not counting cancellations
 */
guint ft_store_client_queued (const FtStoreClient *store);

/**
 * ft_store_client_has_spare_writes:
 *
 * Returns: whether at least FT_SPARE_WRITES_SHARE of the budget for changes is unused and no change
 *     waits for it
 */
gboolean ft_store_client_has_spare_writes (FtStoreClient *store);

/**
 * ft_store_client_write_wait_s:
 *
 * Returns: seconds until the budget allows all changes that wait now; 0 or less if it allows them now
 */
double ft_store_client_write_wait_s (const FtStoreClient *store);
