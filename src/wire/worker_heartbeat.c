/* Workers' heartbeats, read straight from CBOR. They are by far the most of what a leader reads,
 * with a map for each task that runs or has ended lately: decoding one by way of a value tree took
 * a hundred microseconds. Only the plain form is read here (definite lengths, ASCII texts, no
 * field twice); anything else is left to the tree decoder, which alone decides what is valid. */
#include <cbor.h>
#include <string.h>

#include "core/constants.h"
#include "wire/cbor.h"
#include "wire/messages.h"
#include "wire/protocol.h"

typedef enum {
  ITEM_OTHER, /* of no use here: the message is not plain */
  ITEM_UINT,
  ITEM_REAL,
  ITEM_TEXT,
  ITEM_BOOL,
  ITEM_NULL,
  ITEM_ARRAY,
  ITEM_MAP,
} ItemKind;

/* One item as the streaming decoder met it; text is borrowed from the input. */
typedef struct {
  ItemKind kind;
  guint64 count; /* value of a number or boolean, length of a text, entries of a container */
  double real;
  const char *text;
} Item;

typedef struct {
  const guint8 *data;
  gsize size;
  gsize position;
} Reader;

/* What became of a map's field. */
typedef enum {
  FIELD_READ,
  FIELD_UNKNOWN,   /* its value is still to be skipped */
  FIELD_NOT_PLAIN, /* missing, twice, invalid, or of a form that is not read here */
} FieldResult;

/* The fields that a heartbeat must have; each has a bit in the set of those met. */
typedef enum {
  HEARTBEAT_MACHINE,
  HEARTBEAT_ADDRESS,
  HEARTBEAT_MACHINE_TYPE,
  HEARTBEAT_ZONE,
  HEARTBEAT_INCARNATION,
  HEARTBEAT_SEQUENCE,
  HEARTBEAT_TOKEN,
  HEARTBEAT_SPOT,
  HEARTBEAT_TASKS,
  HEARTBEAT_FIELDS,
} HeartbeatField;

#define HEARTBEAT_ALL_FIELDS ((1u << HEARTBEAT_FIELDS) - 1)

static const char *const heartbeat_fields[HEARTBEAT_FIELDS] = {
  [HEARTBEAT_MACHINE] = FT_WIRE_MACHINE,
  [HEARTBEAT_ADDRESS] = FT_WIRE_ADDRESS,
  [HEARTBEAT_MACHINE_TYPE] = FT_WIRE_MACHINE_TYPE,
  [HEARTBEAT_ZONE] = FT_WIRE_ZONE,
  [HEARTBEAT_INCARNATION] = FT_WIRE_INCARNATION,
  [HEARTBEAT_SEQUENCE] = FT_WIRE_SEQUENCE,
  [HEARTBEAT_TOKEN] = FT_WIRE_FENCING_TOKEN,
  [HEARTBEAT_SPOT] = FT_WIRE_SPOT,
  [HEARTBEAT_TASKS] = FT_WIRE_TASKS,
};

/* Fields that a task must have: name, attempt and state. */
#define TASK_REQUIRED_FIELDS 3

static void
set (void *item, ItemKind kind, guint64 count)
{
  *(Item *) item = (Item){ .kind = kind, .count = count };
}

static void
set_real (void *item, double value)
{
  *(Item *) item = (Item){ .kind = ITEM_REAL, .real = value };
}

/* Callbacks of libcbor, one for each encoding of an item. */
/* clang-format off */
static void on_u8 (void *item, uint8_t value) { set (item, ITEM_UINT, value); }
static void on_u16 (void *item, uint16_t value) { set (item, ITEM_UINT, value); }
static void on_u32 (void *item, uint32_t value) { set (item, ITEM_UINT, value); }
static void on_u64 (void *item, uint64_t value) { set (item, ITEM_UINT, value); }
static void on_float (void *item, float value) { set_real (item, value); }
static void on_double (void *item, double value) { set_real (item, value); }
static void on_null (void *item) { set (item, ITEM_NULL, 0); }
static void on_bool (void *item, bool value) { set (item, ITEM_BOOL, value); }
static void on_array (void *item, size_t count) { set (item, ITEM_ARRAY, count); }
static void on_map (void *item, size_t count) { set (item, ITEM_MAP, count); }
static void on_other (void *item) { set (item, ITEM_OTHER, 0); }
static void on_other_8 (void *item, uint8_t value) { (void) value; on_other (item); }
static void on_other_16 (void *item, uint16_t value) { (void) value; on_other (item); }
static void on_other_32 (void *item, uint32_t value) { (void) value; on_other (item); }
static void on_other_64 (void *item, uint64_t value) { (void) value; on_other (item); }
static void on_bytes (void *item, cbor_data data, size_t size) { (void) data; (void) size; on_other (item); }
/* clang-format on */

static void
on_text (void *item, cbor_data data, size_t size)
{
  *(Item *) item = (Item){ .kind = ITEM_TEXT, .count = size, .text = (const char *) data };
}

static const struct cbor_callbacks callbacks = {
  .uint8 = on_u8,
  .uint16 = on_u16,
  .uint32 = on_u32,
  .uint64 = on_u64,
  .negint8 = on_other_8,
  .negint16 = on_other_16,
  .negint32 = on_other_32,
  .negint64 = on_other_64,
  .byte_string = on_bytes,
  .byte_string_start = on_other,
  .string = on_text,
  .string_start = on_other,
  .array_start = on_array,
  .indef_array_start = on_other,
  .map_start = on_map,
  .indef_map_start = on_other,
  .tag = on_other_64,
  .float2 = on_float,
  .float4 = on_float,
  .float8 = on_double,
  .null = on_null,
  .undefined = on_other,
  .boolean = on_bool,
  .indef_break = on_other,
};

static Item
next (Reader *reader)
{
  Item item = { 0 };
  struct cbor_decoder_result result
      = cbor_stream_decode (reader->data + reader->position, reader->size - reader->position, &callbacks, &item);
  if (result.status != CBOR_DECODER_FINISHED)
    item.kind = ITEM_OTHER;
  reader->position += result.read;
  return item;
}

static gboolean
text_equals (const Item *item, const char *text)
{
  return item->count == strlen (text) && memcmp (item->text, text, item->count) == 0;
}

/* A text of printable ASCII; whether any other is valid is for the tree decoder to say. */
static gboolean
is_plain_text (const Item *item, gsize max_bytes)
{
  if (item->kind != ITEM_TEXT || item->count == 0 || item->count > max_bytes)
    return FALSE;
  for (guint64 i = 0; i < item->count; i++)
    if (item->text[i] < ' ' || item->text[i] > '~')
      return FALSE;
  return TRUE;
}

static gboolean
read_text (Reader *reader, char **out)
{
  Item item = next (reader);
  if (*out != NULL || !is_plain_text (&item, FT_TEXT_MAX))
    return FALSE;
  *out = g_strndup (item.text, item.count);
  return TRUE;
}

static gboolean
read_count (Reader *reader, guint64 *out)
{
  Item item = next (reader);
  *out = item.count;
  return item.kind == ITEM_UINT && item.count <= G_MAXINT64;
}

static gboolean
read_task_name (Reader *reader, FtTaskStatus *task)
{
  char name[FT_TEXT_MAX + 1];
  Item item = next (reader);
  if (task->job != NULL || !is_plain_text (&item, FT_TEXT_MAX))
    return FALSE;
  memcpy (name, item.text, item.count);
  name[item.count] = '\0';
  return ft_message_task_name (name, task);
}

static FieldResult
read_task_field (Reader *reader, const Item *key, FtTaskStatus *task, Item *state, Item *cause)
{
  gboolean valid;
  if (text_equals (key, FT_WIRE_ATTEMPT)) {
    valid = read_count (reader, &task->attempt);
  } else if (text_equals (key, FT_WIRE_STATE)) {
    *state = next (reader);
    valid = is_plain_text (state, FT_TEXT_MAX);
  } else if (text_equals (key, FT_WIRE_EXIT_REASON)) {
    *cause = next (reader);
    valid = is_plain_text (cause, FT_TEXT_MAX) || cause->kind == ITEM_NULL;
  } else if (text_equals (key, FT_WIRE_TASK)) {
    valid = read_task_name (reader, task);
  } else {
    return FIELD_UNKNOWN;
  }
  return valid ? FIELD_READ : FIELD_NOT_PLAIN;
}

static gboolean
skip_scalar (Reader *reader)
{
  Item item = next (reader);
  return item.kind == ITEM_UINT || item.kind == ITEM_BOOL || item.kind == ITEM_NULL
         || is_plain_text (&item, FT_BODY_MAX);
}

/* The rest of a field's outcome: an unknown one's value is skipped. */
static gboolean
finish_field (Reader *reader, FieldResult result)
{
  return result == FIELD_READ || (result == FIELD_UNKNOWN && skip_scalar (reader));
}

static gboolean
read_task (Reader *reader, GArray *tasks)
{
  Item map = next (reader), state = { 0 }, cause = { 0 };
  FtTaskStatus blank = { 0 };
  guint required = 0;
  if (map.kind != ITEM_MAP)
    return FALSE;
  g_array_append_val (tasks, blank);
  FtTaskStatus *task = &g_array_index (tasks, FtTaskStatus, tasks->len - 1);
  for (guint64 i = 0; i < map.count; i++) {
    Item key = next (reader);
    if (!is_plain_text (&key, FT_TEXT_MAX))
      return FALSE;
    FieldResult result = read_task_field (reader, &key, task, &state, &cause);
    if (!finish_field (reader, result))
      return FALSE;
    required += result == FIELD_READ && !text_equals (&key, FT_WIRE_EXIT_REASON);
  }
  return required == TASK_REQUIRED_FIELDS && task->job != NULL
         && ft_message_task_state (state.text, state.count, cause.text, cause.count, task);
}

static gboolean
read_tasks (Reader *reader, GArray *tasks)
{
  Item list = next (reader);
  if (list.kind != ITEM_ARRAY)
    return FALSE;
  for (guint64 i = 0; i < list.count; i++)
    if (!read_task (reader, tasks))
      return FALSE;
  return TRUE;
}

static gboolean
read_spot (Reader *reader, FtWorkerHeartbeat *heartbeat)
{
  Item item = next (reader);
  heartbeat->spot = item.count != 0;
  return item.kind == ITEM_BOOL;
}

static gboolean
read_notice (Reader *reader, FtWorkerHeartbeat *heartbeat)
{
  Item item = next (reader);
  if (item.kind == ITEM_NULL)
    return TRUE;
  heartbeat->notice_s = item.kind == ITEM_REAL ? item.real : (double) item.count;
  return (item.kind == ITEM_UINT || item.kind == ITEM_REAL) && heartbeat->notice_s >= 0
         && heartbeat->notice_s <= FT_AMOUNT_MAX;
}

static gboolean
read_required_field (Reader *reader, HeartbeatField field, FtWorkerHeartbeat *heartbeat)
{
  switch (field) {
  case HEARTBEAT_MACHINE:
    return read_text (reader, &heartbeat->machine);
  case HEARTBEAT_ADDRESS:
    return read_text (reader, &heartbeat->addr);
  case HEARTBEAT_MACHINE_TYPE:
    return read_text (reader, &heartbeat->type);
  case HEARTBEAT_ZONE:
    return read_text (reader, &heartbeat->zone);
  case HEARTBEAT_INCARNATION:
    return read_count (reader, &heartbeat->incarnation);
  case HEARTBEAT_SEQUENCE:
    return read_count (reader, &heartbeat->sequence);
  case HEARTBEAT_TOKEN:
    return read_count (reader, &heartbeat->token);
  case HEARTBEAT_SPOT:
    return read_spot (reader, heartbeat);
  case HEARTBEAT_TASKS:
    return read_tasks (reader, heartbeat->tasks);
  case HEARTBEAT_FIELDS:
    break;
  }
  return FALSE;
}

/* `met` has a bit for each required field that has been read. */
static FieldResult
read_field (Reader *reader, const Item *key, FtWorkerHeartbeat *heartbeat, guint *met)
{
  guint field = 0;
  while (field < HEARTBEAT_FIELDS && !text_equals (key, heartbeat_fields[field]))
    field++;
  gboolean valid;
  if (field < HEARTBEAT_FIELDS) {
    valid = (*met & (1u << field)) == 0 && read_required_field (reader, (HeartbeatField) field, heartbeat);
    *met |= 1u << field;
  } else if (text_equals (key, FT_WIRE_INTERRUPTION_NOTICE)) {
    valid = read_notice (reader, heartbeat);
  } else {
    return FIELD_UNKNOWN;
  }
  return valid ? FIELD_READ : FIELD_NOT_PLAIN;
}

/* NULL if the message is not of the plain form. */
static FtWorkerHeartbeat *
read_plain (const guint8 *data, gsize size)
{
  Reader reader = { data, size, 0 };
  Item map = next (&reader);
  g_autoptr (FtWorkerHeartbeat) heartbeat = ft_worker_heartbeat_new ();
  guint met = 0;
  if (map.kind != ITEM_MAP)
    return NULL;
  for (guint64 i = 0; i < map.count; i++) {
    Item key = next (&reader);
    if (!is_plain_text (&key, FT_TEXT_MAX) || !finish_field (&reader, read_field (&reader, &key, heartbeat, &met)))
      return NULL;
  }
  return met == HEARTBEAT_ALL_FIELDS && reader.position == size ? g_steal_pointer (&heartbeat) : NULL;
}

FtWorkerHeartbeat *
ft_message_worker_heartbeat_from_cbor (const guint8 *data, gsize size)
{
  FtWorkerHeartbeat *heartbeat = read_plain (data, size);
  if (heartbeat != NULL)
    return heartbeat;
  json_t *tree = ft_cbor_decode (data, size);
  heartbeat = ft_message_worker_heartbeat (tree);
  json_decref (tree);
  return heartbeat;
}
