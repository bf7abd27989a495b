/**
 * SECTION: lease_rows
 * @title: Rows for leader election
 *
 * Encodes and decodes the fence row, the renewal row and the journal row, and builds the transactions
 * that acquire and renew the lease. Controllers elect a leader with the fence row and the renewal row
 * (see core/lease.h). The store refuses the delayed writes of a former leader because these writes
 * are conditional on the fence row and the journal row. Used by src/net/leadership.c and, for the
 * journal row, by write_batch.c.
 */
#pragma once
#include <glib.h>
#include <jansson.h>

#include "core/lease.h"

/**
 * ft_row_fence:
 * @token: fencing token of the acquisition
 * @holder: name of the controller that acquires the lease
 * @incarnation: random number of that controller's process
 *
 * Returns: (transfer full): the value of the fence row.
 */
json_t *ft_row_fence (guint64 token, const char *holder, guint64 incarnation);

/**
 * ft_row_renewal:
 * @token: the holder's fencing token
 * @lease_us: lease time that the holder uses from this renewal on, in microseconds; it is stored in
 *   whole milliseconds
 * @released: whether the holder releases the lease with this write
 *
 * Returns: (transfer full): the value of the renewal row.
 */
json_t *ft_row_renewal (guint64 token, gint64 lease_us, gboolean released);

/**
 * ft_row_journal:
 * @token: the leader's fencing token
 * @batch: number of the batch of writes within this leadership
 *
 * Returns: (transfer full): the value of the journal row.
 */
json_t *ft_row_journal (guint64 token, guint64 batch);

/**
 * ft_row_journal_parse:
 * @value: the value of the journal row
 * @token: (out): fencing token of the leader that wrote the row; 0 if this field is malformed
 * @batch: (out): number of that leader's last batch; 0 if this field is malformed
 */
void ft_row_journal_parse (const json_t *value, guint64 *token, guint64 *batch);

/**
 * ft_row_lease_parse:
 * @rows: (element-type FtRow): the rows whose keys begin with %FT_PREFIX_LEASE; all but the fence row
 *   and the renewal row are ignored
 * @out: filled from the rows that exist; the caller sets all fields to zero before the call, and
 *   frees the contents with ft_lease_rows_clear() after it, also on failure
 *
 * Returns: %TRUE on success, %FALSE if the fence row is malformed.
 */
gboolean ft_row_lease_parse (const GArray *rows, FtLeaseRows *out);

/**
 * ft_txn_claim:
 * @claim: the acquisition that ft_lease_claim() has started
 * @member: name of the controller that acquires the lease
 * @incarnation: random number of that controller's process
 * @lease_us: lease time that this controller uses, in microseconds
 *
 * Acquires the lease. The store refuses the transaction if another controller has acquired the lease
 * since this controller read the fence row and the renewal row. If the previous holder may still be alive
 * (@claim->check_renewal), the store also refuses it if that holder has renewed the lease since.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_claim (const FtLeaseClaim *claim, const char *member, guint64 incarnation, gint64 lease_us);

/**
 * ft_txn_renew:
 * @fence_revision: revision at which the holder wrote the fence row
 * @token: the holder's fencing token
 * @lease_us: lease time that the holder uses from this renewal on, in microseconds
 * @release: whether the holder releases the lease instead of renewing it
 *
 * Renews or releases the lease. The store refuses the transaction once another controller has
 * acquired the lease.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_renew (guint64 fence_revision, guint64 token, gint64 lease_us, gboolean release);
