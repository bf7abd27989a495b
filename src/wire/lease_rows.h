/**
 * SECTION: lease_rows
 * @title: Rows of leadership
 *
 * The values of the fence, the renewal and the journal row, by which controllers elect a leader
 * (core/lease.h) and by which a former leader's delayed writes are refused, and the transactions
 * that acquire and renew the lease. Used by src/net/leadership.c; write_batch.c writes the journal
 * row.
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
 * @lease_us: lease time that the holder counts with from now on, in microseconds; written in
 *   whole milliseconds
 * @released: whether the holder gives the lease up with this write
 *
 * Returns: (transfer full): the value of the renewal row.
 */
json_t *ft_row_renewal (guint64 token, gint64 lease_us, gboolean released);

/**
 * ft_row_journal:
 * @token: the leader's fencing token
 * @batch: number of the batch within its leadership
 *
 * Returns: (transfer full): the value of the journal row.
 */
json_t *ft_row_journal (guint64 token, guint64 batch);

/**
 * ft_row_journal_parse:
 * @value: the value of the journal row
 * @token: (out): fencing token of the leader that wrote it; 0 if it is malformed
 * @batch: (out): number of its last batch; 0 if it is malformed
 */
void ft_row_journal_parse (const json_t *value, guint64 *token, guint64 *batch);

/**
 * ft_row_lease_parse:
 * @rows: (element-type FtRow): the rows below %FT_PREFIX_LEASE; others are skipped
 * @out: cleared by the caller; filled from the rows that are there. It owns the holder's name
 *   also on failure: ft_lease_rows_clear() frees it
 *
 * Returns: %FALSE if the fence row is malformed.
 */
gboolean ft_row_lease_parse (const GArray *rows, FtLeaseRows *out);

/**
 * ft_txn_claim:
 * @claim: the acquisition that ft_lease_claim() has started
 * @member: name of the controller that acquires the lease
 * @incarnation: random number of that controller's process
 * @lease_us: lease time that it counts with, in microseconds
 *
 * The acquisition of the lease. It is refused if another controller has acquired the lease since
 * its rows were read or, while the holder may be alive, if that has renewed it.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_claim (const FtLeaseClaim *claim, const char *member, guint64 incarnation, gint64 lease_us);

/**
 * ft_txn_renew:
 * @fence_revision: revision at which the holder wrote the fence row
 * @token: the holder's fencing token
 * @lease_us: lease time that the holder counts with from now on, in microseconds
 * @release: whether the holder gives the lease up
 *
 * The renewal or the release of the lease. It is refused once another controller has acquired it.
 *
 * Returns: (transfer full): the transaction.
 */
json_t *ft_txn_renew (guint64 fence_revision, guint64 token, gint64 lease_us, gboolean release);
