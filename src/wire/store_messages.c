#include "wire/store_messages.h"

#include "wire/fields.h"

/* Fields of a transaction. */
#define FIELD_CONDITIONS "if" /* list of conditions */
#define FIELD_CHANGES "apply" /* list of changes */

/* Fields of conditions, changes, rows and events. */
#define FIELD_KEY "key"            /* key of the row, in a condition and in a row */
#define FIELD_PUT "write"          /* key of the row that is written, in a change and in an event */
#define FIELD_DELETE "delete"      /* key of the row that is deleted, in a change and in an event */
#define FIELD_VALUE "data"         /* value of the row */
#define FIELD_ROW_REVISION "stamp" /* revision of the row; in a condition, the expected revision */

/* Fields of answers. */
#define FIELD_STORE_REVISION "ledger" /* revision of the whole store */
#define FIELD_FAILED_KEYS "failed"    /* keys of the rows whose conditions did not hold */
#define FIELD_ROWS "pairs"            /* list of rows */
#define FIELD_EVENTS "events"         /* list of changes that a watch returns */
#define FIELD_MORE "more"             /* whether the list of rows continues on another page */

json_t *
ft_txn_new (void)
{
  return json_pack ("{s:[], s:[]}", FIELD_CONDITIONS, FIELD_CHANGES);
}

json_t *
ft_txn_new_check (void)
{
  return json_pack ("{s:[]}", FIELD_CONDITIONS);
}

guint
ft_txn_change_count (const json_t *txn)
{
  return (guint) json_array_size (json_object_get (txn, FIELD_CHANGES));
}

void
ft_txn_if (json_t *txn, const char *key, guint64 revision)
{
  json_t *condition = json_pack ("{s:s, s:I}", FIELD_KEY, key, FIELD_ROW_REVISION, (json_int_t) revision);
  json_array_append_new (json_object_get (txn, FIELD_CONDITIONS), condition);
}

void
ft_txn_put (json_t *txn, const char *key, json_t *value)
{
  json_t *change = json_pack ("{s:s, s:o}", FIELD_PUT, key, FIELD_VALUE, value);
  json_array_append_new (json_object_get (txn, FIELD_CHANGES), change);
}

void
ft_txn_delete (json_t *txn, const char *key)
{
  json_array_append_new (json_object_get (txn, FIELD_CHANGES), json_pack ("{s:s}", FIELD_DELETE, key));
}

gboolean
ft_store_revision (const json_t *body, guint64 *revision)
{
  return ft_field_count (body, FIELD_STORE_REVISION, 0, G_MAXINT64, revision);
}

gboolean
ft_store_failed (const json_t *body, const char *key)
{
  const json_t *failed = json_object_get (body, FIELD_FAILED_KEYS);
  for (size_t i = 0; i < json_array_size (failed); i++)
    if (g_strcmp0 (json_string_value (json_array_get (failed, i)), key) == 0)
      return TRUE;
  return FALSE;
}

/* Reads a row of the store or an event of a watch. `key_field` is the name of the field with the row's key. A missing
 * value sets `row->value` to NULL; the caller decides whether that is valid. */
static gboolean
read_row (json_t *item, const char *key_field, FtRow *row)
{
  row->key = json_string_value (json_object_get (item, key_field));
  row->value = json_object_get (item, FIELD_VALUE);
  return row->key != NULL && ft_field_count (item, FIELD_ROW_REVISION, 0, G_MAXINT64, &row->revision);
}

gboolean
ft_store_row (const json_t *body, FtRow *row)
{
  return read_row ((json_t *) body, FIELD_KEY, row) && row->value != NULL;
}

GArray *
ft_store_rows (const json_t *body, gboolean *more)
{
  const json_t *list = json_object_get (body, FIELD_ROWS);
  if (!json_is_array (list))
    return NULL;
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FtRow));
  for (size_t i = 0; i < json_array_size (list); i++) {
    FtRow row = { 0 };
    if (!ft_store_row (json_array_get (list, i), &row))
      return NULL;
    g_array_append_val (rows, row);
  }
  *more = json_is_true (json_object_get (body, FIELD_MORE));
  return g_steal_pointer (&rows);
}

static gboolean
read_event (json_t *item, FtRow *row)
{
  gboolean put = json_object_get (item, FIELD_PUT) != NULL;
  return read_row (item, put ? FIELD_PUT : FIELD_DELETE, row) && put == (row->value != NULL);
}

GArray *
ft_store_events (const json_t *body)
{
  const json_t *list = json_object_get (body, FIELD_EVENTS);
  /* An answer without a list of events means that nothing has changed. */
  if (list != NULL && !json_is_array (list))
    return NULL;
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FtRow));
  for (size_t i = 0; i < json_array_size (list); i++) {
    FtRow row = { 0 };
    if (!read_event (json_array_get (list, i), &row))
      return NULL;
    g_array_append_val (rows, row);
  }
  return g_steal_pointer (&rows);
}
