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

/**
 * FtStoreClient:
 *
 * One per process, owned by the node.
 */
typedef struct _FtStoreClient FtStoreClient;

/**
 * FtStorePriority:
 * @FT_STORE_PRIORITY_LEASE: reading, claiming and renewing the lease, and the recovery: never
 *     waits for the budget
 * @FT_STORE_PRIORITY_CANCEL: users' cancellations: before all else that waits for the budget
 * @FT_STORE_PRIORITY_COMMIT: the leader's batches, submissions
 * @FT_STORE_PRIORITY_READ: what users ask; the queue is bounded
 *
 * The order in which requests get a share of the budget.
 */
typedef enum {
  FT_STORE_PRIORITY_LEASE,
  FT_STORE_PRIORITY_CANCEL,
  FT_STORE_PRIORITY_COMMIT,
  FT_STORE_PRIORITY_READ,
} FtStorePriority;

/**
 * FtStoreResult:
 * @FT_STORE_OK: read, or committed
 * @FT_STORE_NOT_FOUND: there is no such row
 * @FT_STORE_CONFLICT: a condition of the transaction does not hold; the body names the rows
 * @FT_STORE_COMPACTED: the changes since that revision are no longer kept: the rows must be read again
 * @FT_STORE_INVALID: refused as such: the same request will never be accepted
 * @FT_STORE_THROTTLED: refused for the store's rate limits, more often than it is resent here
 * @FT_STORE_UNAVAILABLE: refused for now by the store, or by the full queue of this client
 * @FT_STORE_UNANSWERED: no answer came in time; the request may still be executed
 * @FT_STORE_FAILED: an answer that the protocol does not know
 * @FT_STORE_MALFORMED: answered as %FT_STORE_OK, but the body cannot be read; only from the
 *     ft_store_read_*() functions
 *
 * How a request ended. After %FT_STORE_UNANSWERED and %FT_STORE_FAILED it is unknown whether a
 * transaction was committed; after any other result but %FT_STORE_OK and %FT_STORE_MALFORMED it
 * was not.
 */
typedef enum {
  FT_STORE_OK,
  FT_STORE_NOT_FOUND,
  FT_STORE_CONFLICT,
  FT_STORE_COMPACTED,
  FT_STORE_INVALID,
  FT_STORE_THROTTLED,
  FT_STORE_UNAVAILABLE,
  FT_STORE_UNANSWERED,
  FT_STORE_FAILED,
  FT_STORE_MALFORMED,
} FtStoreResult;

/**
 * FtStoreDone:
 * @result: how the request ended
 * @body: (transfer none) (nullable): the answer's body, NULL if there is none or it cannot be decoded
 * @data: that of the request
 *
 * Called once for each request, unless the client is freed before. It runs in the main loop, or
 * before the requesting function returns if the queue of %FT_STORE_PRIORITY_READ is full.
 */
typedef void (*FtStoreDone) (FtStoreResult result, const json_t *body, gpointer data);

/* ---- reading answers ---- */

/**
 * ft_store_read_row:
 * @result: that of the answer
 * @body: (nullable): that of the answer
 * @row: (out): the row, borrowed of @body
 *
 * Returns: @result; %FT_STORE_MALFORMED if that is %FT_STORE_OK and @body is no row. @row is set
 *     with %FT_STORE_OK only.
 */
FtStoreResult ft_store_read_row (FtStoreResult result, const json_t *body, FtRow *row);

/**
 * ft_store_read_job:
 * @row: (out): the row, borrowed of @body
 * @job: (out): what it says, if it is a job's own row
 *
 * Returns: as ft_store_read_row()
 */
FtStoreResult ft_store_read_job (FtStoreResult result, const json_t *body, FtRow *row, FtJobRow *job);

/**
 * ft_store_read_rows:
 * @rows: (out) (transfer full): FtRow of a page of a list, borrowed of @body; NULL unless %FT_STORE_OK
 * @more: (out): whether the list goes on
 *
 * Returns: as ft_store_read_row()
 */
FtStoreResult ft_store_read_rows (FtStoreResult result, const json_t *body, GArray **rows, gboolean *more);

/**
 * ft_store_read_events:
 * @rows: (out) (transfer full): FtRow that have changed, borrowed of @body; NULL unless %FT_STORE_OK
 * @revision: (out): the revision up to which they are told
 *
 * Returns: as ft_store_read_row()
 */
FtStoreResult ft_store_read_events (FtStoreResult result, const json_t *body, GArray **rows, guint64 *revision);

/**
 * ft_store_read_revision:
 * @revision: (out): the revision at which a transaction was committed
 *
 * Returns: as ft_store_read_row()
 */
FtStoreResult ft_store_read_revision (FtStoreResult result, const json_t *body, guint64 *revision);

/* ---- requests ---- */

/**
 * ft_store_client_new:
 * @config: names the store's address and limits; borrowed for the call
 *
 * Returns: (transfer full): the client of a controller that does not lead
 */
FtStoreClient *ft_store_client_new (const FtConfig *config);

/**
 * ft_store_client_free:
 * @store: (nullable) (transfer full): the client
 *
 * Requests under way and in the queues are dropped: their callbacks are not called, and what these
 * own is lost, as at the end of the process. See ft_store_client_in_flight().
 */
void ft_store_client_free (FtStoreClient *store);

/**
 * ft_store_client_set_leading:
 * @leading: whether this controller leads, and so has the leader's share of the store's limits
 */
void ft_store_client_set_leading (FtStoreClient *store, gboolean leading);

/**
 * ft_store_client_get:
 * @key: of the row to read
 * @done: called with the row
 * @data: of @done
 */
void ft_store_client_get (FtStoreClient *store, const char *key, FtStorePriority priority, FtStoreDone done,
                          gpointer data);

/**
 * ft_store_client_list:
 * @prefix: of the rows' keys
 * @after: (nullable): the last key of the page before, NULL for the first page
 * @done: called with a page of up to FT_LIST_LIMIT rows
 * @data: of @done
 */
void ft_store_client_list (FtStoreClient *store, const char *prefix, const char *after, FtStorePriority priority,
                           FtStoreDone done, gpointer data);

/**
 * ft_store_client_commit:
 * @txn: a transaction of ft_txn_new(); a reference is taken
 * @done: called with the revision, or %FT_STORE_CONFLICT
 * @data: of @done
 */
void ft_store_client_commit (FtStoreClient *store, const json_t *txn, FtStorePriority priority, FtStoreDone done,
                             gpointer data);

/**
 * ft_store_client_watch:
 * @prefix: of the rows' keys
 * @since: revision after which changes are wanted
 * @done: called with the changes, at once if there are some, else after up to FT_WATCH_S
 * @data: of @done
 *
 * Watches for changes, on a connection of its own and without waiting for the budget.
 */
void ft_store_client_watch (FtStoreClient *store, const char *prefix, guint64 since, FtStoreDone done, gpointer data);

/* ---- contact and load ---- */

/**
 * ft_store_client_has_contact:
 * @now: monotonic time
 *
 * Returns: whether the store has served us before, and has not failed us without a break for
 *     FT_CONTACT_LOST_S
 */
gboolean ft_store_client_has_contact (const FtStoreClient *store, gint64 now);

/**
 * ft_store_client_failing_since:
 *
 * Returns: since when the store has failed us without a break, 0 if it serves us
 */
gint64 ft_store_client_failing_since (const FtStoreClient *store);

/**
 * ft_store_client_last_served_at:
 *
 * Returns: when the store last served us, 0 if it never did
 */
gint64 ft_store_client_last_served_at (const FtStoreClient *store);

/**
 * ft_store_client_in_flight:
 *
 * Returns: the number of requests that were sent and whose answer has not come
 */
guint ft_store_client_in_flight (const FtStoreClient *store);

/**
 * ft_store_client_queued:
 *
 * Returns: the number of requests that wait for the budget, cancellations not counted
 */
guint ft_store_client_queued (const FtStoreClient *store);

/**
 * ft_store_client_has_spare_writes:
 *
 * Returns: whether the budget for changes is mostly unused and nothing waits for it
 */
gboolean ft_store_client_has_spare_writes (FtStoreClient *store);

/**
 * ft_store_client_write_wait_s:
 *
 * Returns: seconds until the changes that wait now will have been sent, within the budget
 */
double ft_store_client_write_wait_s (const FtStoreClient *store);
