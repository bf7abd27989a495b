#include "wire/store.h"

#include <string.h>

#include "core/constants.h"
#include "wire/fields.h"
#include "wire/messages.h"

/* ---- the service's messages ---- */

json_t *
ft_txn_new (void)
{
  return json_pack ("{s:[], s:[]}", "if", "apply");
}

void
ft_txn_if (json_t *txn, const char *key, guint64 revision)
{
  json_array_append_new (json_object_get (txn, "if"),
                         json_pack ("{s:s, s:I}", "key", key, "stamp", (json_int_t) revision));
}

void
ft_txn_put (json_t *txn, const char *key, json_t *value)
{
  json_array_append_new (json_object_get (txn, "apply"), json_pack ("{s:s, s:o}", "write", key, "data", value));
}

void
ft_txn_delete (json_t *txn, const char *key)
{
  json_array_append_new (json_object_get (txn, "apply"), json_pack ("{s:s}", "delete", key));
}

gboolean
ft_store_revision (const json_t *body, guint64 *revision)
{
  return ft_field_count (body, "ledger", 0, G_MAXINT64, revision);
}

gboolean
ft_store_failed (const json_t *body, const char *key)
{
  const json_t *failed = json_object_get (body, "failed");
  for (size_t i = 0; i < json_array_size (failed); i++)
    if (g_strcmp0 (json_string_value (json_array_get (failed, i)), key) == 0)
      return TRUE;
  return FALSE;
}

static gboolean
read_row (json_t *item, const char *key_name, FtRow *row)
{
  row->key = json_string_value (json_object_get (item, key_name));
  row->value = json_object_get (item, "data");
  return row->key != NULL && ft_field_count (item, "stamp", 0, G_MAXINT64, &row->revision);
}

gboolean
ft_store_row (const json_t *body, FtRow *row)
{
  return read_row ((json_t *) body, "key", row) && row->value != NULL;
}

GArray *
ft_store_rows (const json_t *body, gboolean *more)
{
  const json_t *list = json_object_get (body, "pairs");
  if (!json_is_array (list))
    return NULL;
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FtRow));
  for (size_t i = 0; i < json_array_size (list); i++) {
    FtRow row = { 0 };
    if (!read_row (json_array_get (list, i), "key", &row) || row.value == NULL)
      return NULL;
    g_array_append_val (rows, row);
  }
  *more = json_is_true (json_object_get (body, "more"));
  return g_steal_pointer (&rows);
}

GArray *
ft_store_events (const json_t *body)
{
  const json_t *list = json_object_get (body, "events");
  if (list != NULL && !json_is_array (list))
    return NULL;
  g_autoptr (GArray) rows = g_array_new (FALSE, TRUE, sizeof (FtRow));
  for (size_t i = 0; i < json_array_size (list); i++) {
    json_t *item = json_array_get (list, i);
    FtRow row = { 0 };
    gboolean put = json_object_get (item, "write") != NULL;
    if (!read_row (item, put ? "write" : "delete", &row) || put != (row.value != NULL))
      return NULL;
    g_array_append_val (rows, row);
  }
  return g_steal_pointer (&rows);
}

/* ---- keys ---- */

char *
ft_key_job (const char *ref)
{
  return g_strconcat ("j/", ref, NULL);
}

char *
ft_key_open (const char *ref)
{
  return g_strconcat (FT_PREFIX_OPEN, ref, NULL);
}

char *
ft_key_cancellation (const char *ref)
{
  return g_strconcat (FT_PREFIX_OPEN, ref, "/w", NULL);
}

static char *
key_chunk (const char *ref, guint chunk)
{
  return g_strdup_printf (FT_PREFIX_DONE "%s/%u", ref, chunk);
}

static char *
key_registry (const char *row)
{
  return g_strconcat (FT_PREFIX_REGISTRY, row, NULL);
}

char *
ft_key_open_ref (const char *key, gboolean *cancelled)
{
  if (!g_str_has_prefix (key, FT_PREFIX_OPEN))
    return NULL;
  *cancelled = g_str_has_suffix (key, "/w");
  gsize skip = strlen (FT_PREFIX_OPEN);
  return g_strndup (key + skip, strlen (key) - skip - (*cancelled ? 2 : 0));
}

gboolean
ft_key_chunk_parse (const char *key, char **ref, guint *chunk)
{
  const char *slash = strrchr (key, '/');
  guint64 number;
  if (!g_str_has_prefix (key, FT_PREFIX_DONE) || slash == key + 1
      || !g_ascii_string_to_unsigned (slash + 1, 10, 0, FT_JOB_TASKS_MAX, &number, NULL))
    return FALSE;
  *ref = g_strndup (key + 2, (gsize) (slash - key - 2));
  *chunk = (guint) number;
  return TRUE;
}

/* ---- rows ---- */

json_t *
ft_row_fence (guint64 token, const char *holder, guint64 incarnation)
{
  return json_pack ("{s:I, s:s, s:I}", "token", (json_int_t) token, "holder", holder, "incarnation",
                    (json_int_t) incarnation);
}

json_t *
ft_row_renewal (guint64 token, gint64 lease_us, gboolean released)
{
  return json_pack ("{s:I, s:I, s:b}", "token", (json_int_t) token, "lease_ms", (json_int_t) (lease_us / 1000),
                    "released", released);
}

json_t *
ft_row_journal (guint64 token, guint64 batch)
{
  return json_pack ("{s:I, s:I}", "token", (json_int_t) token, "batch", (json_int_t) batch);
}

gboolean
ft_row_lease_parse (const GArray *rows, FtLeaseRows *out)
{
  for (guint i = 0; i < rows->len; i++) {
    const FtRow *row = &g_array_index (rows, FtRow, i);
    if (strcmp (row->key, FT_KEY_FENCE) == 0) {
      out->fence_revision = row->revision;
      if (!ft_field_count (row->value, "token", 0, G_MAXINT32, &out->token)
          || !ft_field_count (row->value, "incarnation", 0, G_MAXINT64, &out->incarnation)
          || !ft_field_text (row->value, "holder", FT_TEXT_MAX, &out->holder))
        return FALSE;
    } else if (strcmp (row->key, FT_KEY_RENEWAL) == 0) {
      out->renewal_revision = row->revision;
      guint64 lease_ms = 0;
      ft_field_count (row->value, "lease_ms", 0, G_MAXINT32, &lease_ms);
      out->lease_us = (gint64) lease_ms * 1000;
      out->released = json_is_true (json_object_get (row->value, "released"));
    }
  }
  return TRUE;
}

json_t *
ft_row_cancellation (gint64 wall_ms)
{
  return json_pack ("{s:I}", "at_ms", (json_int_t) wall_ms);
}

gint64
ft_row_cancellation_time (const json_t *value)
{
  guint64 wall_ms = 0;
  ft_field_count (value, "at_ms", 0, G_MAXINT64, &wall_ms);
  return (gint64) wall_ms;
}

json_t *
ft_row_job_open (const FtJobSpec *spec)
{
  json_t *row = json_pack ("{s:s, s:i}", "state", "open", "tasks", (int) spec->tasks);
  if (spec->dependencies != NULL)
    json_object_set_new (row, "needs", json_true ());
  return row;
}

json_t *
ft_row_job_ended (FtJobEnd end, guint tasks, gint64 wall_ms)
{
  return json_pack ("{s:s, s:i, s:I}", "state", end == FT_JOB_END_DONE ? "done" : "cancelled", "tasks", (int) tasks,
                    "ended_ms", (json_int_t) wall_ms);
}

gboolean
ft_row_job_parse (const json_t *value, FtJobRow *out)
{
  const char *state = json_string_value (json_object_get (value, "state"));
  guint64 tasks, ended_ms = 0;
  if (state == NULL || !ft_field_count (value, "tasks", 0, FT_JOB_TASKS_MAX, &tasks))
    return FALSE;
  ft_field_count (value, "ended_ms", 0, G_MAXINT64, &ended_ms);
  *out = (FtJobRow){ .open = strcmp (state, "open") == 0,
                     .has_dependencies = json_is_true (json_object_get (value, "needs")),
                     .end = strcmp (state, "done") == 0 ? FT_JOB_END_DONE : FT_JOB_END_CANCELLED,
                     .tasks = (guint) tasks,
                     .ended_wall_ms = (gint64) ended_ms };
  return out->open || out->end == FT_JOB_END_DONE || strcmp (state, "cancelled") == 0;
}

static json_t *
text_list (GStrv texts)
{
  if (texts == NULL)
    return json_null ();
  json_t *list = json_array ();
  for (guint i = 0; texts[i] != NULL; i++)
    json_array_append_new (list, json_string (texts[i]));
  return list;
}

/* Refs as one text, without their common prefix: a row has to hold hundreds of them. */
static char *
pack_refs (GStrv refs)
{
  GString *text = g_string_new (NULL);
  for (guint i = 0; refs[i] != NULL; i++)
    g_string_append_printf (text, "%s%s", i > 0 ? " " : "", refs[i] + strlen (FT_REF_PREFIX));
  return g_string_free (text, FALSE);
}

static gboolean
unpack_refs (const json_t *value, GStrv *out)
{
  if (!json_is_string (value) || json_string_length (value) == 0)
    return FALSE;
  g_auto (GStrv) refs = g_strsplit (json_string_value (value), " ", -1);
  for (guint i = 0; refs[i] != NULL; i++) {
    char *ref = g_strconcat (FT_REF_PREFIX, refs[i], NULL);
    g_free (refs[i]);
    refs[i] = ref;
    if (!ft_ref_valid (ref))
      return FALSE;
  }
  *out = g_steal_pointer (&refs);
  return TRUE;
}

json_t *
ft_row_open (const FtJobSpec *spec)
{
  json_t *row = json_pack (
      "{s:s, s:s, s:i, s:i, s:i, s:f, s:f, s:f, s:s, s:f, s:o, s:s?, s:b, s:b, s:b, s:f, s:f, s:f, s:f, s:I, s:i}",
      "class", spec->job_class, "team", spec->team, "kind", (int) spec->kind, "priority", (int) spec->priority, "tasks",
      (int) spec->tasks, "cpus", spec->cpus, "gpus", spec->gpus, "memory_gb", spec->memory_gb, "image", spec->image,
      "image_gb", spec->image_gb, "types", text_list (spec->types), "zone", spec->zone, "one_zone", spec->one_zone,
      "spread", spec->spread, "spot", spec->spot, "estimate_s", spec->estimate_s, "checkpoint_s", spec->checkpoint_s,
      "save_s", spec->save_s, "deadline_s", spec->deadline_s, "submitted_ms", (json_int_t) spec->submitted_wall_ms,
      "sent", (int) spec->dispatch_watermark);
  if (spec->dependencies == NULL)
    return row;
  g_autofree char *dependencies = pack_refs (spec->dependencies);
  json_object_set_new (row, "awaits", json_string (dependencies));
  return row;
}

gsize
ft_row_open_size (const FtJobSpec *spec)
{
  json_t *row = ft_row_open (spec);
  /* As it is when its dispatch watermark has been raised. */
  json_object_set_new (row, "sent", json_integer (FT_JOB_TASKS_MAX));
  json_object_set_new (row, "stamp", json_integer (G_MAXINT64));
  gsize size = json_dumpb (row, NULL, 0, 0);
  json_decref (row);
  return size;
}

static gboolean
read_open_amounts (const json_t *value, FtJobSpec *spec)
{
  struct {
    const char *name;
    double *target;
  } amounts[] = { { "cpus", &spec->cpus },
                  { "gpus", &spec->gpus },
                  { "memory_gb", &spec->memory_gb },
                  { "image_gb", &spec->image_gb },
                  { "estimate_s", &spec->estimate_s },
                  { "checkpoint_s", &spec->checkpoint_s },
                  { "save_s", &spec->save_s },
                  { "deadline_s", &spec->deadline_s } };
  for (guint i = 0; i < G_N_ELEMENTS (amounts); i++)
    if (!ft_field_amount (value, amounts[i].name, 0, G_MAXDOUBLE, amounts[i].target))
      return FALSE;
  return TRUE;
}

guint64
ft_row_open_revision (const FtRow *row)
{
  guint64 revision;
  return ft_field_count (row->value, "stamp", 1, G_MAXINT64, &revision) ? revision : row->revision;
}

FtJobSpec *
ft_row_open_parse (const char *ref, const json_t *value)
{
  g_autoptr (FtJobSpec) spec = g_new0 (FtJobSpec, 1);
  guint64 kind = FT_KIND_ARRAY, priority, tasks, submitted, sent;
  spec->ref = g_strdup (ref);
  if (!ft_field_text (value, "class", FT_TEXT_MAX, &spec->job_class)
      || !ft_field_text (value, "team", FT_TEXT_MAX, &spec->team)
      /* Rows of before there were kinds have none. */
      || !(ft_field_is_null (value, "kind") || ft_field_count (value, "kind", 0, FT_KIND_SERVICE, &kind))
      || !ft_field_count (value, "priority", 0, FT_PRIORITY_PRODUCTION, &priority)
      || !ft_field_count (value, "tasks", 1, FT_JOB_TASKS_MAX, &tasks) || !read_open_amounts (value, spec)
      || !ft_field_text (value, "image", FT_TEXT_MAX, &spec->image)
      || !(ft_field_is_null (value, "types") || ft_field_texts (value, "types", FT_TEXT_MAX, &spec->types))
      || !ft_field_text_or_null (value, "zone", FT_TEXT_MAX, &spec->zone)
      || !ft_field_bool (value, "one_zone", &spec->one_zone) || !ft_field_bool (value, "spread", &spec->spread)
      || !ft_field_bool (value, "spot", &spec->spot)
      || !ft_field_count (value, "submitted_ms", 0, G_MAXINT64, &submitted))
    return NULL;
  /* Rows of before there was a dispatch watermark have none: all of it may have been sent. */
  sent = tasks;
  if (!ft_field_is_null (value, "sent") && !ft_field_count (value, "sent", 0, tasks, &sent))
    return NULL;
  /* A job is never started before those that it needs because they could not be read. */
  if (!ft_field_is_null (value, "awaits") && !unpack_refs (json_object_get (value, "awaits"), &spec->dependencies))
    return NULL;
  spec->dispatch_watermark = (guint) sent;
  spec->kind = (FtJobKind) kind;
  spec->priority = (FtPriority) priority;
  spec->tasks = (guint) tasks;
  spec->submitted_wall_ms = (gint64) submitted;
  return g_steal_pointer (&spec);
}

const char *
ft_row_chunk_bits (const json_t *value)
{
  return json_string_value (json_object_get (value, "bits"));
}

static gboolean
read_machine (FtScheduler *scheduler, const char *row, const char *name, const json_t *value)
{
  g_autofree char *addr = NULL, *type = NULL, *zone = NULL;
  gboolean spot;
  if (!ft_field_text (value, "addr", FT_TEXT_MAX, &addr) || !ft_field_text (value, "type", FT_TEXT_MAX, &type)
      || !ft_field_text (value, "zone", FT_TEXT_MAX, &zone) || !ft_field_bool (value, "spot", &spot))
    return FALSE;
  ft_scheduler_load_machine (scheduler, row, name, addr, type, zone, spot);
  return TRUE;
}

gboolean
ft_row_machine_parse (FtScheduler *scheduler, const FtRow *row)
{
  if (!g_str_has_prefix (row->key, FT_PREFIX_REGISTRY))
    return FALSE;
  const char *id = row->key + strlen (FT_PREFIX_REGISTRY);
  const json_t *list = json_object_get (row->value, "machines");
  if (list == NULL)
    return read_machine (scheduler, id, id, row->value); /* rows of before name one machine, by their key */
  gboolean all = json_is_array (list);
  for (size_t i = 0; i < json_array_size (list); i++) {
    const json_t *item = json_array_get (list, i);
    g_autofree char *name = NULL;
    all &= ft_field_text (item, "name", FT_TEXT_MAX, &name) && read_machine (scheduler, id, name, item);
  }
  return all;
}

const char *
ft_key_drained_name (const char *key)
{
  return g_str_has_prefix (key, FT_PREFIX_DRAINED) ? key + strlen (FT_PREFIX_DRAINED) : NULL;
}

char *
ft_key_drained (const char *machine)
{
  return g_strconcat (FT_PREFIX_DRAINED, machine, NULL);
}

gboolean
ft_setting_parse (const FtTuningInfo *info, const json_t *value, double *out)
{
  const char *text = json_string_value (value);
  if (info->choices != NULL) {
    for (guint i = 0; text != NULL && i <= info->most; i++)
      if (strcmp (info->choices[i], text) == 0) {
        *out = i;
        return TRUE;
      }
    return FALSE;
  }
  double number = json_number_value (value);
  if (!json_is_number (value) || !(number >= info->least && number <= info->most))
    return FALSE;
  *out = number;
  return TRUE;
}

json_t *
ft_setting_value (const FtTuning *tuning, const FtTuningInfo *info)
{
  double value = ft_tuning_get (tuning, info);
  return info->choices != NULL ? json_string (info->choices[(guint) value]) : json_real (value);
}

void
ft_row_settings_parse (const json_t *value, FtTuning *tuning)
{
  const char *name;
  json_t *item;
  ft_tuning_defaults (tuning);
  json_object_foreach ((json_t *) value, name, item)
  {
    const FtTuningInfo *info = ft_tuning_find (name);
    double number;
    if (info != NULL && ft_setting_parse (info, item, &number))
      ft_tuning_set (tuning, info, number);
    else
      g_warning ("setting %s: unknown, or its value cannot be used; left at its default", name);
  }
}

/* ---- a leader's batch ---- */

static void
add_job_ended (json_t *txn, const FtWrite *write, FtJobEnd end, gint64 wall_ms)
{
  g_autofree char *job = ft_key_job (write->name), *open = ft_key_open (write->name);
  ft_txn_if (txn, job, write->revision);
  ft_txn_put (txn, job, ft_row_job_ended (end, write->tasks, wall_ms));
  ft_txn_delete (txn, open);
}

static void
add_job_stopped (json_t *txn, const FtWrite *write)
{
  g_autofree char *open = ft_key_open (write->name), *mark = ft_key_cancellation (write->name);
  ft_txn_delete (txn, open);
  ft_txn_delete (txn, mark);
}

static json_t *
marked_row (const FtWrite *write)
{
  json_t *row = ft_row_open (write->spec);
  json_object_set_new (row, "sent", json_integer (write->watermark));
  json_object_set_new (row, "stamp", json_integer ((json_int_t) write->revision));
  return row;
}

static json_t *
registry_value (const GArray *machines)
{
  json_t *list = json_array ();
  for (guint i = 0; i < machines->len; i++) {
    const FtListedMachine *listed = &g_array_index (machines, FtListedMachine, i);
    json_array_append_new (list, json_pack ("{s:s, s:s, s:s, s:s, s:b}", "name", listed->name, "addr", listed->addr,
                                            "type", listed->type, "zone", listed->zone, "spot", listed->spot));
  }
  return json_pack ("{s:o}", "machines", list);
}

void
ft_txn_add_write (json_t *txn, const FtWrite *write, gint64 wall_ms)
{
  g_autofree char *key = NULL;
  switch (write->kind) {
  case FT_WRITE_REGISTRY_ROW:
    key = key_registry (write->name);
    ft_txn_put (txn, key, registry_value (write->machines));
    break;
  case FT_WRITE_REGISTRY_ROW_DELETE:
    key = key_registry (write->name);
    ft_txn_delete (txn, key);
    break;
  case FT_WRITE_DRAIN_DELETE:
    key = ft_key_drained (write->name);
    ft_txn_delete (txn, key);
    break;
  case FT_WRITE_WATERMARK:
    key = ft_key_open (write->name);
    ft_txn_put (txn, key, marked_row (write));
    break;
  case FT_WRITE_CHUNK:
    key = key_chunk (write->name, write->chunk);
    ft_txn_put (txn, key, json_pack ("{s:s}", "bits", write->bits));
    break;
  case FT_WRITE_CHUNK_DELETE:
    key = key_chunk (write->name, write->chunk);
    ft_txn_delete (txn, key);
    break;
  case FT_WRITE_JOB_DONE:
    add_job_ended (txn, write, FT_JOB_END_DONE, wall_ms);
    break;
  case FT_WRITE_JOB_STOPPED:
    add_job_stopped (txn, write);
    break;
  case FT_WRITE_JOB_CANCELLED:
    add_job_ended (txn, write, FT_JOB_END_CANCELLED, wall_ms);
    break;
  }
}

const char *
ft_store_conflicted_job (const json_t *body, const GPtrArray *writes)
{
  for (guint i = 0; i < writes->len; i++) {
    const FtWrite *write = g_ptr_array_index (writes, i);
    g_autofree char *key = ft_key_job (write->name);
    gboolean conditional = write->kind == FT_WRITE_JOB_DONE || write->kind == FT_WRITE_JOB_CANCELLED;
    if (conditional && ft_store_failed (body, key))
      return write->name;
  }
  return NULL;
}
