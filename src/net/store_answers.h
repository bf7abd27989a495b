/* Reads the answers of the key-value store that an FtStoreDone callback gets: checks the result and parses the body
 * with the functions of wire/store.h in one step. */
#pragma once
#include "net/store_client.h"

/**
 * ft_store_read_row:
 * @result: the result of the request
 * @body: (nullable): the answer's body
 * @row: (out): the row, borrowed from @body
 *
 * Returns: @result, or %FT_STORE_MALFORMED if @result is %FT_STORE_OK and @body is not a row. @row is
 *     set only if %FT_STORE_OK is returned.
 */
FtStoreResult ft_store_read_row (FtStoreResult result, const json_t *body, FtRow *row);

/**
 * ft_store_read_job:
 * @row: (out): the row, borrowed from @body
 * @job: (out): the contents of the row, which must be a job's own row
 *
 * Returns: as ft_store_read_row()
 */
FtStoreResult ft_store_read_job (FtStoreResult result, const json_t *body, FtRow *row, FtJobRow *job);

/**
 * ft_store_read_rows:
 * @rows: (out) (transfer full) (element-type FtRow): the rows of a page of a list, which borrow from
 *     @body; %NULL unless %FT_STORE_OK is returned
 * @more: (out): whether there are rows after this page
 *
 * Returns: as ft_store_read_row()
 */
FtStoreResult ft_store_read_rows (FtStoreResult result, const json_t *body, GArray **rows, gboolean *more);

/**
 * ft_store_read_events:
 * @rows: (out) (transfer full) (element-type FtRow): the rows that have changed, which borrow from
 *     @body; %NULL unless %FT_STORE_OK is returned
 * @revision: (out): the revision up to which @rows contains all changes
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
