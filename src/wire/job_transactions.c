#include "wire/job_transactions.h"

#include "wire/job_rows.h"
#include "wire/store_keys.h"
#include "wire/store_messages.h"

json_t *
ft_txn_submit (const FtJobSpec *spec)
{
  g_autofree char *job_key = ft_key_job (spec->ref);
  g_autofree char *open_key = ft_key_open (spec->ref);
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, job_key, 0);
  ft_txn_put (txn, job_key, ft_row_job_open (spec));
  ft_txn_put (txn, open_key, ft_row_open (spec));
  return txn;
}

json_t *
ft_txn_submit_cancelled (const FtJobSpec *spec, gint64 wall_ms)
{
  g_autofree char *job_key = ft_key_job (spec->ref);
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, job_key, 0);
  ft_txn_put (txn, job_key, ft_row_job_ended (FT_JOB_END_CANCELLED, spec->tasks, wall_ms));
  return txn;
}

json_t *
ft_txn_cancel (const char *ref, guint64 revision, guint tasks, gint64 wall_ms)
{
  g_autofree char *job_key = ft_key_job (ref);
  g_autofree char *cancellation_key = ft_key_cancellation (ref);
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, job_key, revision);
  ft_txn_put (txn, job_key, ft_row_job_ended (FT_JOB_END_CANCELLED, tasks, wall_ms));
  ft_txn_put (txn, cancellation_key, ft_row_cancellation (wall_ms));
  return txn;
}
