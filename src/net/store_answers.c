#include "net/store_answers.h"

static FtStoreResult
read_result (FtStoreResult result, gboolean readable)
{
  return result == FT_STORE_OK && !readable ? FT_STORE_MALFORMED : result;
}

FtStoreResult
ft_store_read_row (FtStoreResult result, const json_t *body, FtRow *row)
{
  return read_result (result, result == FT_STORE_OK && ft_store_row (body, row));
}

FtStoreResult
ft_store_read_rows (FtStoreResult result, const json_t *body, GArray **rows, gboolean *more)
{
  *rows = result == FT_STORE_OK ? ft_store_rows (body, more) : NULL;
  return read_result (result, *rows != NULL);
}

FtStoreResult
ft_store_read_events (FtStoreResult result, const json_t *body, GArray **rows, guint64 *revision)
{
  *rows = result == FT_STORE_OK ? ft_store_events (body) : NULL;
  if (*rows != NULL && !ft_store_revision (body, revision))
    g_clear_pointer (rows, g_array_unref);
  return read_result (result, *rows != NULL);
}

FtStoreResult
ft_store_read_job (FtStoreResult result, const json_t *body, FtRow *row, FtJobRow *job)
{
  FtStoreResult read = ft_store_read_row (result, body, row);
  return read_result (read, read == FT_STORE_OK && ft_row_job_parse (row->value, job));
}

FtStoreResult
ft_store_read_revision (FtStoreResult result, const json_t *body, guint64 *revision)
{
  return read_result (result, result == FT_STORE_OK && ft_store_revision (body, revision));
}
