/**
 * SECTION: store_messages
 * @title: Messages of the key-value store
 *
 * Requests to and answers from the key-value store, whatever the rows are about: transactions
 * with compare-and-swap conditions, lists, watches. The protocol's own field names stop here.
 * Used by src/net for each request, and by write_batch.c.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * ft_txn_new:
 *
 * Returns: (transfer full): an empty transaction; json_decref() frees it. The store applies all
 * of its changes or none.
 */
json_t *ft_txn_new (void);

/**
 * ft_txn_new_check:
 *
 * Returns: (transfer full): a transaction that can have conditions only. It changes nothing: its
 * answer tells which rows are no longer at the expected revisions.
 */
json_t *ft_txn_new_check (void);

/**
 * ft_txn_change_count:
 * @txn: (nullable): any request's body
 *
 * Returns: the number of its changes, which count against the store's limit; 0 if it is not a
 * transaction.
 */
guint ft_txn_change_count (const json_t *txn);

/**
 * ft_txn_if:
 * @txn: a transaction
 * @key: key of a row
 * @revision: revision that the row must have; 0: the row must not exist
 *
 * Adds a condition: the transaction fails unless the row is at that revision.
 */
void ft_txn_if (json_t *txn, const char *key, guint64 revision);

/**
 * ft_txn_put:
 * @txn: a transaction
 * @key: key of the row to write
 * @value: (transfer full): its new value
 */
void ft_txn_put (json_t *txn, const char *key, json_t *value);

/**
 * ft_txn_delete:
 * @txn: a transaction
 * @key: key of the row to delete; it need not exist
 */
void ft_txn_delete (json_t *txn, const char *key);

/**
 * ft_store_revision:
 * @body: an answer
 * @revision: (out): revision of the whole store at the answer
 *
 * Returns: %FALSE, with nothing set, if the answer has none.
 */
gboolean ft_store_revision (const json_t *body, guint64 *revision);

/**
 * ft_store_failed:
 * @body: the answer to a transaction that was refused
 * @key: key of a row
 *
 * Returns: whether the row's condition is among those that did not hold.
 */
gboolean ft_store_failed (const json_t *body, const char *key);

/**
 * FtRow:
 * @key: its key
 * @value: its value; %NULL in an event that tells of its deletion
 * @revision: revision of the store at which it was last written or deleted
 *
 * A row as read. Key and value are borrowed from the message, which must outlive the row.
 */
typedef struct {
  const char *key;
  json_t *value;
  guint64 revision;
} FtRow;

/**
 * ft_store_row:
 * @body: the answer to the read of one row
 * @row: (out): the row
 *
 * Returns: %FALSE if the answer is malformed; what @row holds is then undefined.
 */
gboolean ft_store_row (const json_t *body, FtRow *row);

/**
 * ft_store_rows:
 * @body: the answer to a list request
 * @more: (out): whether there are rows beyond this page; set only on success
 *
 * Returns: (transfer full) (nullable): an array of #FtRow in the order of their keys, or %NULL if
 * any part is malformed.
 */
GArray *ft_store_rows (const json_t *body, gboolean *more);

/**
 * ft_store_events:
 * @body: the answer to a watch
 *
 * Returns: (transfer full) (nullable): an array of #FtRow in the order of the changes, empty if
 * nothing has changed, or %NULL if any part is malformed.
 */
GArray *ft_store_events (const json_t *body);
