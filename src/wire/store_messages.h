/**
 * SECTION: store_messages
 * @title: Messages of the key-value store
 *
 * Encodes transactions with compare-and-swap conditions and decodes the key-value store's answers to
 * transactions, reads, list requests and watches. This module knows nothing about the contents of
 * rows. The store's field names do not occur outside of it. Used by src/net and by the modules of
 * src/wire that build transactions.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * ft_txn_new:
 *
 * Returns: (transfer full): an empty transaction; free it with json_decref(). The store applies
 * either all changes of a transaction or none.
 */
json_t *ft_txn_new (void);

/**
 * ft_txn_new_check:
 *
 * Returns: (transfer full): a transaction that accepts only conditions and changes nothing. Its answer
 * names the rows that are no longer at the expected revisions. Free it with json_decref().
 */
json_t *ft_txn_new_check (void);

/**
 * ft_txn_change_count:
 * @txn: (nullable): the body of any request to the store
 *
 * Returns: the number of changes in the transaction, which the store limits; 0 if the request is not a
 * transaction.
 */
guint ft_txn_change_count (const json_t *txn);

/**
 * ft_txn_if:
 * @txn: a transaction
 * @key: key of a row
 * @revision: the expected revision of the row; 0 if the row must not exist
 *
 * Adds a condition. The store refuses the transaction if the row is not at the expected revision.
 */
void ft_txn_if (json_t *txn, const char *key, guint64 revision);

/**
 * ft_txn_put:
 * @txn: a transaction
 * @key: key of the row to write
 * @value: (transfer full): the row's new value
 *
 * Adds a change that writes a row.
 */
void ft_txn_put (json_t *txn, const char *key, json_t *value);

/**
 * ft_txn_delete:
 * @txn: a transaction
 * @key: key of the row to delete; the row need not exist
 *
 * Adds a change that deletes a row.
 */
void ft_txn_delete (json_t *txn, const char *key);

/**
 * ft_store_revision:
 * @body: an answer of the store
 * @revision: (out): revision of the whole store at the time of the answer
 *
 * Returns: %TRUE on success; %FALSE, with @revision unchanged, if the answer contains no valid
 * revision of the store.
 */
gboolean ft_store_revision (const json_t *body, guint64 *revision);

/**
 * ft_store_failed:
 * @body: the answer to a transaction that the store refused
 * @key: key of a row
 *
 * Returns: whether the condition on this row is one of the conditions that did not hold.
 */
gboolean ft_store_failed (const json_t *body, const char *key);

/**
 * FtRow:
 * @key: the row's key
 * @value: the row's value; %NULL if the row comes from an event that reports its deletion
 * @revision: revision of the store at which the row was last written or deleted
 *
 * A row that was read from the store. Key and value are borrowed from the answer, which must outlive
 * the row.
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
 * Returns: %TRUE on success; %FALSE if the answer is malformed, in which case @row is undefined.
 */
gboolean ft_store_row (const json_t *body, FtRow *row);

/**
 * ft_store_rows:
 * @body: the answer to a list request
 * @more: (out): whether further rows follow this page; set only on success
 *
 * Returns: (transfer full) (nullable): an array of #FtRow in the order of the answer, which is that of
 * their keys; %NULL if any part of the answer is malformed.
 */
GArray *ft_store_rows (const json_t *body, gboolean *more);

/**
 * ft_store_events:
 * @body: the answer to a watch request
 *
 * Returns: (transfer full) (nullable): an array of #FtRow, one for each change in the order of the
 * changes, empty if nothing has changed; %NULL if any part of the answer is malformed.
 */
GArray *ft_store_events (const json_t *body);
