/* Decodes workers' heartbeats directly from CBOR. Most messages that a leader receives are heartbeats, and each
 * contains a map for every task that is running or has ended recently. Decoding a heartbeat through a value tree takes
 * about 100 microseconds, so this module builds no value tree.
 *
 * This decoder accepts only the plain form of a heartbeat: all lengths are definite, all texts are printable ASCII, and
 * no required field of the heartbeat occurs twice. For every other form it calls the tree decoder
 * (ft_message_worker_heartbeat()), which alone decides whether a message is valid. */
#include <cbor.h>
#include <string.h>

#include "core/constants.h"
#include "wire/cbor.h"
#include "wire/messages.h"
#include "wire/protocol.h"

/* The types of CBOR items that the plain form may contain. */
typedef enum {
  ITEM_OTHER, /* any other item, or none: the message is not of the plain form */
  ITEM_UINT,
  ITEM_REAL,
  ITEM_TEXT,
  ITEM_BOOL,
  ITEM_NULL,
  ITEM_ARRAY,
  ITEM_MAP,
} ItemKind;

/* One item from the streaming decoder. The entries of an array or map follow in the input. */
typedef struct {
  ItemKind kind;
  guint64 count;    /* value of an integer or boolean, length of a text in bytes, or number of entries */
  double real;      /* value of a real */
  const char *text; /* a text without a zero byte at its end, borrowed from the input */
} Item;

/* The input and the position of the next item. */
typedef struct {
  const guint8 *data;
  gsize size;     /* length of the input in bytes */
  gsize position; /* offset of the next item in bytes */
} Reader;

/* The result of reading a field of a map, after its key. */
typedef enum {
  FIELD_READ,      /* the value was read and is valid */
  FIELD_UNKNOWN,   /* the field is unknown, and its value is not read yet */
  FIELD_NOT_PLAIN, /* the field occurs twice, or its value is invalid or not of the plain form */
} FieldResult;

/* The required fields of a heartbeat. The value of a constant is the position of its bit in the set of fields that
 * have been read. */
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
  HEARTBEAT_FIELDS, /* number of required fields */
} HeartbeatField;

/* The set that contains every required field. */
#define HEARTBEAT_ALL_FIELDS ((1u << HEARTBEAT_FIELDS) - 1)

/* The protocol's names of the required fields. */
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

/* Number of required fields of a task: name, attempt and state. */
#define TASK_REQUIRED_FIELDS 3

static void
set_item (void *item, ItemKind kind, guint64 count)
{
  *(Item *) item = (Item){ .kind = kind, .count = count };
}

static void
set_real (void *item, double value)
{
  *(Item *) item = (Item){ .kind = ITEM_REAL, .real = value };
}

/* The callbacks for libcbor's decoder: one for each encoding of an item. */
/* clang-format off */
static void on_u8 (void *item, uint8_t value) { set_item (item, ITEM_UINT, value); }
static void on_u16 (void *item, uint16_t value) { set_item (item, ITEM_UINT, value); }
static void on_u32 (void *item, uint32_t value) { set_item (item, ITEM_UINT, value); }
static void on_u64 (void *item, uint64_t value) { set_item (item, ITEM_UINT, value); }
static void on_float (void *item, float value) { set_real (item, value); }
static void on_double (void *item, double value) { set_real (item, value); }
static void on_null (void *item) { set_item (item, ITEM_NULL, 0); }
static void on_bool (void *item, bool value) { set_item (item, ITEM_BOOL, value); }
static void on_array (void *item, size_t count) { set_item (item, ITEM_ARRAY, count); }
static void on_map (void *item, size_t count) { set_item (item, ITEM_MAP, count); }
static void on_other (void *item) { set_item (item, ITEM_OTHER, 0); }
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

/* Reads the next item. Its kind is ITEM_OTHER if the input has ended or is malformed. */
static Item
next_item (Reader *reader)
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

/* Returns TRUE for a text of 1 to `max_bytes` printable ASCII characters. The tree decoder decides whether any other
 * text is valid. */
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
  Item item = next_item (reader);
  if (*out != NULL || !is_plain_text (&item, FT_TEXT_MAX))
    return FALSE;
  *out = g_strndup (item.text, item.count);
  return TRUE;
}

static gboolean
read_count (Reader *reader, guint64 *out)
{
  Item item = next_item (reader);
  *out = item.count;
  return item.kind == ITEM_UINT && item.count <= G_MAXINT64;
}

static gboolean
read_task_name (Reader *reader, FtTaskStatus *task)
{
  char name[FT_TEXT_MAX + 1];
  Item item = next_item (reader);
  if (task->job != NULL || !is_plain_text (&item, FT_TEXT_MAX))
    return FALSE;
  memcpy (name, item.text, item.count);
  name[item.count] = '\0';
  return ft_message_task_name (name, task);
}

/* Reads the value of a task's field. Sets `state` or `cause` if the field is the task's state or exit reason. */
static FieldResult
read_task_field (Reader *reader, const Item *key, FtTaskStatus *task, Item *state, Item *cause)
{
  gboolean valid;
  if (text_equals (key, FT_WIRE_ATTEMPT)) {
    valid = read_count (reader, &task->attempt);
  } else if (text_equals (key, FT_WIRE_STATE)) {
    *state = next_item (reader);
    valid = is_plain_text (state, FT_TEXT_MAX);
  } else if (text_equals (key, FT_WIRE_EXIT_REASON)) {
    *cause = next_item (reader);
    valid = is_plain_text (cause, FT_TEXT_MAX) || cause->kind == ITEM_NULL;
  } else if (text_equals (key, FT_WIRE_TASK)) {
    valid = read_task_name (reader, task);
  } else {
    return FIELD_UNKNOWN;
  }
  return valid ? FIELD_READ : FIELD_NOT_PLAIN;
}

/* Skips the value of an unknown field. Returns FALSE if the value is not a plain scalar. */
static gboolean
skip_scalar (Reader *reader)
{
  Item item = next_item (reader);
  return item.kind == ITEM_UINT || item.kind == ITEM_BOOL || item.kind == ITEM_NULL
         || is_plain_text (&item, FT_BODY_MAX);
}

/* Completes the reading of a field after the function that reads known fields has returned `result`: skips the value if
 * the field is unknown. Returns FALSE if the message is not of the plain form. */
static gboolean
finish_field (Reader *reader, FieldResult result)
{
  return result == FIELD_READ || (result == FIELD_UNKNOWN && skip_scalar (reader));
}

static gboolean
read_task (Reader *reader, GArray *tasks)
{
  Item map = next_item (reader), state = { 0 }, cause = { 0 };
  FtTaskStatus blank = { 0 };
  guint required = 0;
  if (map.kind != ITEM_MAP)
    return FALSE;
  g_array_append_val (tasks, blank);
  FtTaskStatus *task = &g_array_index (tasks, FtTaskStatus, tasks->len - 1);
  for (guint64 i = 0; i < map.count; i++) {
    Item key = next_item (reader);
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
  Item list = next_item (reader);
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
  Item item = next_item (reader);
  heartbeat->spot = item.count != 0;
  return item.kind == ITEM_BOOL;
}

static gboolean
read_notice (Reader *reader, FtWorkerHeartbeat *heartbeat)
{
  Item item = next_item (reader);
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

/* Reads the value of a heartbeat's field. `fields_read` is the set of the required fields that have been read; the
 * function adds the field to it. */
static FieldResult
read_field (Reader *reader, const Item *key, FtWorkerHeartbeat *heartbeat, guint *fields_read)
{
  guint field = 0;
  while (field < HEARTBEAT_FIELDS && !text_equals (key, heartbeat_fields[field]))
    field++;
  gboolean valid;
  if (field < HEARTBEAT_FIELDS) {
    valid = (*fields_read & (1u << field)) == 0 && read_required_field (reader, (HeartbeatField) field, heartbeat);
    *fields_read |= 1u << field;
  } else if (text_equals (key, FT_WIRE_INTERRUPTION_NOTICE)) {
    valid = read_notice (reader, heartbeat);
  } else {
    return FIELD_UNKNOWN;
  }
  return valid ? FIELD_READ : FIELD_NOT_PLAIN;
}

/* Decodes a heartbeat of the plain form; the caller frees it. Returns NULL if the message is not of the plain form. */
static FtWorkerHeartbeat *
read_plain (const guint8 *data, gsize size)
{
  Reader reader = { data, size, 0 };
  Item map = next_item (&reader);
  g_autoptr (FtWorkerHeartbeat) heartbeat = ft_worker_heartbeat_new ();
  guint fields_read = 0;
  if (map.kind != ITEM_MAP)
    return NULL;
  for (guint64 i = 0; i < map.count; i++) {
    Item key = next_item (&reader);
    if (!is_plain_text (&key, FT_TEXT_MAX)
        || !finish_field (&reader, read_field (&reader, &key, heartbeat, &fields_read)))
      return NULL;
  }
  return fields_read == HEARTBEAT_ALL_FIELDS && reader.position == size ? g_steal_pointer (&heartbeat) : NULL;
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
