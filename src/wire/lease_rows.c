#include "wire/lease_rows.h"

#include <string.h>

#include "core/constants.h"
#include "wire/fields.h"
#include "wire/store_keys.h"
#include "wire/store_messages.h"

#define FIELD_TOKEN "token"
#define FIELD_HOLDER "holder"
#define FIELD_INCARNATION "incarnation"
#define FIELD_LEASE_MS "lease_ms"
#define FIELD_RELEASED "released"
#define FIELD_BATCH "batch"

#define US_PER_MS 1000

json_t *
ft_row_fence (guint64 token, const char *holder, guint64 incarnation)
{
  return json_pack ("{s:I, s:s, s:I}", FIELD_TOKEN, (json_int_t) token, FIELD_HOLDER, holder, FIELD_INCARNATION,
                    (json_int_t) incarnation);
}

json_t *
ft_row_renewal (guint64 token, gint64 lease_us, gboolean released)
{
  return json_pack ("{s:I, s:I, s:b}", FIELD_TOKEN, (json_int_t) token, FIELD_LEASE_MS,
                    (json_int_t) (lease_us / US_PER_MS), FIELD_RELEASED, released);
}

json_t *
ft_row_journal (guint64 token, guint64 batch)
{
  return json_pack ("{s:I, s:I}", FIELD_TOKEN, (json_int_t) token, FIELD_BATCH, (json_int_t) batch);
}

void
ft_row_journal_parse (const json_t *value, guint64 *token, guint64 *batch)
{
  *token = (guint64) json_integer_value (json_object_get (value, FIELD_TOKEN));
  *batch = (guint64) json_integer_value (json_object_get (value, FIELD_BATCH));
}

static gboolean
read_fence (const FtRow *row, FtLeaseRows *out)
{
  out->fence_revision = row->revision;
  return ft_field_count (row->value, FIELD_TOKEN, 0, FT_FENCING_TOKEN_MAX, &out->token)
         && ft_field_count (row->value, FIELD_INCARNATION, 0, G_MAXINT64, &out->incarnation)
         && ft_field_text (row->value, FIELD_HOLDER, FT_TEXT_MAX, &out->holder);
}

static void
read_renewal (const FtRow *row, FtLeaseRows *out)
{
  /* Older versions wrote no lease time. It stays 0, which means unknown. */
  guint64 lease_ms = 0;
  ft_field_count (row->value, FIELD_LEASE_MS, 0, G_MAXINT32, &lease_ms);
  out->renewal_revision = row->revision;
  out->lease_us = (gint64) lease_ms * US_PER_MS;
  out->released = json_is_true (json_object_get (row->value, FIELD_RELEASED));
}

gboolean
ft_row_lease_parse (const GArray *rows, FtLeaseRows *out)
{
  for (guint i = 0; i < rows->len; i++) {
    const FtRow *row = &g_array_index (rows, FtRow, i);
    if (strcmp (row->key, FT_KEY_RENEWAL) == 0)
      read_renewal (row, out);
    else if (strcmp (row->key, FT_KEY_FENCE) == 0 && !read_fence (row, out))
      return FALSE;
  }
  return TRUE;
}

json_t *
ft_txn_claim (const FtLeaseClaim *claim, const char *member, guint64 incarnation, gint64 lease_us)
{
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_FENCE, claim->fence_revision);
  if (claim->check_renewal)
    ft_txn_if (txn, FT_KEY_RENEWAL, claim->renewal_revision);
  ft_txn_put (txn, FT_KEY_FENCE, ft_row_fence (claim->token, member, incarnation));
  ft_txn_put (txn, FT_KEY_RENEWAL, ft_row_renewal (claim->token, lease_us, FALSE));
  ft_txn_put (txn, FT_KEY_JOURNAL, ft_row_journal (claim->token, 0));
  return txn;
}

json_t *
ft_txn_renew (guint64 fence_revision, guint64 token, gint64 lease_us, gboolean release)
{
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_FENCE, fence_revision);
  ft_txn_put (txn, FT_KEY_RENEWAL, ft_row_renewal (token, lease_us, release));
  return txn;
}
