#include "wire/job_rows.h"

#include <string.h>

#include "core/constants.h"
#include "wire/fields.h"
#include "wire/messages.h"

/* Fields of a state row; the open row has FIELD_TASKS too. */
#define FIELD_STATE "state"
#define FIELD_TASKS "tasks"
#define FIELD_HAS_DEPENDENCIES "needs" /* whether the job was submitted with dependencies */
#define FIELD_ENDED "ended_ms"         /* wall time of the job's end, in milliseconds since 1970 */

/* Values of FIELD_STATE. */
#define STATE_OPEN "open"
#define STATE_DONE "done"
#define STATE_CANCELLED "cancelled"

/* Field of a cancellation row: the wall time of the cancellation, in milliseconds since 1970. */
#define FIELD_CANCELLED_AT "at_ms"

/* Field of a chunk row: a chunk of the bitmap of finished tasks, in base64. */
#define FIELD_BITS "bits"

/* Fields of an open row, in addition to FIELD_TASKS. */
#define FIELD_CLASS "class"
#define FIELD_TEAM "team"
#define FIELD_KIND "kind"
#define FIELD_PRIORITY "priority"
#define FIELD_CPUS "cpus"
#define FIELD_GPUS "gpus"
#define FIELD_MEMORY "memory_gb"
#define FIELD_IMAGE "image"
#define FIELD_IMAGE_SIZE "image_gb"
#define FIELD_TYPES "types"
#define FIELD_ZONE "zone"
#define FIELD_ONE_ZONE "one_zone"
#define FIELD_SPREAD "spread"
#define FIELD_SPOT "spot"
#define FIELD_ESTIMATE "estimate_s"
#define FIELD_CHECKPOINT_INTERVAL "checkpoint_s"
#define FIELD_CHECKPOINT_DURATION "save_s"
#define FIELD_DEADLINE "deadline_s"
#define FIELD_SUBMITTED "submitted_ms"  /* wall time of the acceptance, in milliseconds since 1970 */
#define FIELD_DISPATCH_WATERMARK "sent" /* no task with this index or a higher one was ever sent to a machine */
#define FIELD_DEPENDENCIES "awaits"     /* refs of the jobs that must be done first, as pack_refs() joins them */
#define FIELD_STATE_REVISION "stamp"    /* revision of the job's state row; missing: equal to the open row's revision */

/* ---- cancellation rows and state rows ---- */

json_t *
ft_row_cancellation (gint64 wall_ms)
{
  return json_pack ("{s:I}", FIELD_CANCELLED_AT, (json_int_t) wall_ms);
}

gint64
ft_row_cancellation_time (const json_t *value)
{
  guint64 wall_ms = 0;
  ft_field_count (value, FIELD_CANCELLED_AT, 0, G_MAXINT64, &wall_ms);
  return (gint64) wall_ms;
}

json_t *
ft_row_job_open (const FtJobSpec *spec)
{
  json_t *row = json_pack ("{s:s, s:i}", FIELD_STATE, STATE_OPEN, FIELD_TASKS, (int) spec->tasks);
  if (spec->dependencies != NULL)
    json_object_set_new (row, FIELD_HAS_DEPENDENCIES, json_true ());
  return row;
}

json_t *
ft_row_job_ended (FtJobEnd end, guint tasks, gint64 wall_ms)
{
  return json_pack ("{s:s, s:i, s:I}", FIELD_STATE, end == FT_JOB_END_DONE ? STATE_DONE : STATE_CANCELLED, FIELD_TASKS,
                    (int) tasks, FIELD_ENDED, (json_int_t) wall_ms);
}

gboolean
ft_row_job_parse (const json_t *value, FtJobRow *out)
{
  const char *state = json_string_value (json_object_get (value, FIELD_STATE));
  guint64 tasks, ended_ms = 0;
  if (state == NULL || !ft_field_count (value, FIELD_TASKS, 0, FT_JOB_TASKS_MAX, &tasks))
    return FALSE;
  ft_field_count (value, FIELD_ENDED, 0, G_MAXINT64, &ended_ms);
  *out = (FtJobRow){ .open = strcmp (state, STATE_OPEN) == 0,
                     .has_dependencies = json_is_true (json_object_get (value, FIELD_HAS_DEPENDENCIES)),
                     .end = strcmp (state, STATE_DONE) == 0 ? FT_JOB_END_DONE : FT_JOB_END_CANCELLED,
                     .tasks = (guint) tasks,
                     .ended_wall_ms = (gint64) ended_ms };
  return out->open || out->end == FT_JOB_END_DONE || strcmp (state, STATE_CANCELLED) == 0;
}

/* ---- open rows ---- */

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

/* Joins refs into one text, each without its prefix FT_REF_PREFIX, so that a row can hold hundreds of refs. The caller
 * frees the text. */
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
      FIELD_CLASS, spec->job_class, FIELD_TEAM, spec->team, FIELD_KIND, (int) spec->kind, FIELD_PRIORITY,
      (int) spec->priority, FIELD_TASKS, (int) spec->tasks, FIELD_CPUS, spec->cpus, FIELD_GPUS, spec->gpus,
      FIELD_MEMORY, spec->memory_gb, FIELD_IMAGE, spec->image, FIELD_IMAGE_SIZE, spec->image_gb, FIELD_TYPES,
      text_list (spec->types), FIELD_ZONE, spec->zone, FIELD_ONE_ZONE, spec->one_zone, FIELD_SPREAD, spec->spread,
      FIELD_SPOT, spec->spot, FIELD_ESTIMATE, spec->estimate_s, FIELD_CHECKPOINT_INTERVAL, spec->checkpoint_interval_s,
      FIELD_CHECKPOINT_DURATION, spec->checkpoint_duration_s, FIELD_DEADLINE, spec->deadline_s, FIELD_SUBMITTED,
      (json_int_t) spec->submitted_wall_ms, FIELD_DISPATCH_WATERMARK, (int) spec->dispatch_watermark);
  if (spec->dependencies == NULL)
    return row;
  g_autofree char *dependencies = pack_refs (spec->dependencies);
  json_object_set_new (row, FIELD_DEPENDENCIES, json_string (dependencies));
  return row;
}

json_t *
ft_row_open_with_watermark (const FtJobSpec *spec, guint watermark, guint64 revision)
{
  json_t *row = ft_row_open (spec);
  json_object_set_new (row, FIELD_DISPATCH_WATERMARK, json_integer (watermark));
  json_object_set_new (row, FIELD_STATE_REVISION, json_integer ((json_int_t) revision));
  return row;
}

gsize
ft_row_open_size (const FtJobSpec *spec)
{
  json_t *row = ft_row_open_with_watermark (spec, FT_JOB_TASKS_MAX, G_MAXINT64);
  gsize size = json_dumpb (row, NULL, 0, 0);
  json_decref (row);
  return size;
}

guint64
ft_row_open_state_revision (const FtRow *row)
{
  guint64 revision;
  return ft_field_count (row->value, FIELD_STATE_REVISION, 1, G_MAXINT64, &revision) ? revision : row->revision;
}

static gboolean
read_open_texts (const json_t *value, FtJobSpec *spec, GError **error)
{
  const struct {
    const char *name;
    char **target;
  } texts[] = { { FIELD_CLASS, &spec->job_class }, { FIELD_TEAM, &spec->team }, { FIELD_IMAGE, &spec->image } };
  for (guint i = 0; i < G_N_ELEMENTS (texts); i++)
    if (!ft_field_text (value, texts[i].name, FT_TEXT_MAX, texts[i].target))
      return ft_field_fail (value, texts[i].name, error);
  if (!ft_field_is_null (value, FIELD_TYPES) && !ft_field_texts (value, FIELD_TYPES, FT_TEXT_MAX, &spec->types))
    return ft_field_fail (value, FIELD_TYPES, error);
  if (!ft_field_text_or_null (value, FIELD_ZONE, FT_TEXT_MAX, &spec->zone))
    return ft_field_fail (value, FIELD_ZONE, error);
  return TRUE;
}

static gboolean
read_open_flags (const json_t *value, FtJobSpec *spec, GError **error)
{
  const struct {
    const char *name;
    gboolean *target;
  } flags[] = { { FIELD_ONE_ZONE, &spec->one_zone }, { FIELD_SPREAD, &spec->spread }, { FIELD_SPOT, &spec->spot } };
  for (guint i = 0; i < G_N_ELEMENTS (flags); i++)
    if (!ft_field_bool (value, flags[i].name, flags[i].target))
      return ft_field_fail (value, flags[i].name, error);
  return TRUE;
}

static gboolean
read_open_amounts (const json_t *value, FtJobSpec *spec, GError **error)
{
  const struct {
    const char *name;
    double *target;
  } amounts[] = { { FIELD_CPUS, &spec->cpus },
                  { FIELD_GPUS, &spec->gpus },
                  { FIELD_MEMORY, &spec->memory_gb },
                  { FIELD_IMAGE_SIZE, &spec->image_gb },
                  { FIELD_ESTIMATE, &spec->estimate_s },
                  { FIELD_CHECKPOINT_INTERVAL, &spec->checkpoint_interval_s },
                  { FIELD_CHECKPOINT_DURATION, &spec->checkpoint_duration_s },
                  { FIELD_DEADLINE, &spec->deadline_s } };
  for (guint i = 0; i < G_N_ELEMENTS (amounts); i++)
    if (!ft_field_amount (value, amounts[i].name, 0, G_MAXDOUBLE, amounts[i].target))
      return ft_field_fail (value, amounts[i].name, error);
  return TRUE;
}

static gboolean
read_open_counts (const json_t *value, FtJobSpec *spec, GError **error)
{
  /* Older versions had only array jobs and stored no kind. */
  guint64 kind = FT_KIND_ARRAY, priority, tasks, submitted;
  if (!ft_field_is_null (value, FIELD_KIND) && !ft_field_count (value, FIELD_KIND, 0, FT_KIND_SERVICE, &kind))
    return ft_field_fail (value, FIELD_KIND, error);
  if (!ft_field_count (value, FIELD_PRIORITY, 0, FT_PRIORITY_PRODUCTION, &priority))
    return ft_field_fail (value, FIELD_PRIORITY, error);
  if (!ft_field_count (value, FIELD_TASKS, 1, FT_JOB_TASKS_MAX, &tasks))
    return ft_field_fail (value, FIELD_TASKS, error);
  if (!ft_field_count (value, FIELD_SUBMITTED, 0, G_MAXINT64, &submitted))
    return ft_field_fail (value, FIELD_SUBMITTED, error);
  spec->kind = (FtJobKind) kind;
  spec->priority = (FtPriority) priority;
  spec->tasks = (guint) tasks;
  spec->submitted_wall_ms = (gint64) submitted;
  return TRUE;
}

/* Reads the dispatch watermark. Older versions stored none; any task of a job in their rows may have been sent to a
 * machine. */
static gboolean
read_watermark (const json_t *value, FtJobSpec *spec, GError **error)
{
  guint64 watermark = spec->tasks;
  if (!ft_field_is_null (value, FIELD_DISPATCH_WATERMARK)
      && !ft_field_count (value, FIELD_DISPATCH_WATERMARK, 0, spec->tasks, &watermark))
    return ft_field_fail (value, FIELD_DISPATCH_WATERMARK, error);
  spec->dispatch_watermark = (guint) watermark;
  return TRUE;
}

/* Malformed dependencies make the whole row malformed, because the job must not start before its dependencies are
 * done. */
static gboolean
read_dependencies (const json_t *value, FtJobSpec *spec, GError **error)
{
  if (!ft_field_is_null (value, FIELD_DEPENDENCIES)
      && !unpack_refs (json_object_get (value, FIELD_DEPENDENCIES), &spec->dependencies))
    return ft_field_fail (value, FIELD_DEPENDENCIES, error);
  return TRUE;
}

FtJobSpec *
ft_row_open_parse_full (const char *ref, const json_t *value, GError **error)
{
  g_autoptr (FtJobSpec) spec = g_new0 (FtJobSpec, 1);
  spec->ref = g_strdup (ref);
  if (!read_open_texts (value, spec, error) || !read_open_counts (value, spec, error)
      || !read_open_amounts (value, spec, error) || !read_open_flags (value, spec, error)
      || !read_watermark (value, spec, error) || !read_dependencies (value, spec, error))
    return NULL;
  return g_steal_pointer (&spec);
}

FtJobSpec *
ft_row_open_parse (const char *ref, const json_t *value)
{
  return ft_row_open_parse_full (ref, value, NULL);
}

json_t *
ft_row_chunk (const char *bits)
{
  return json_pack ("{s:s}", FIELD_BITS, bits);
}

const char *
ft_row_chunk_bits (const json_t *value)
{
  return json_string_value (json_object_get (value, FIELD_BITS));
}
