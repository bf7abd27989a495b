/* Workers' reports, read straight from CBOR. They are by far the most of what a leader
 * reads, with a map for each task and for each that ended of late: as a value tree one
 * took a hundred microseconds. Whatever is not of the plain form is left to the tree
 * decoder, which alone decides what is valid. */
#include <cbor.h>
#include <string.h>

#include "core/constants.h"
#include "wire/cbor.h"
#include "wire/messages.h"

typedef enum { ITEM_NONE, ITEM_UINT, ITEM_REAL, ITEM_TEXT, ITEM_BOOL, ITEM_NULL, ITEM_ARRAY, ITEM_MAP } ItemKind;

/* One item as the streaming decoder met it; text is borrowed from the input. */
typedef struct {
  ItemKind kind;
  guint64 count; /* number, length, or entries of a container */
  double real;
  const char *text;
} Item;

typedef struct {
  const guint8 *data;
  gsize size, at;
} Reader;

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

/* clang-format off */
static void on_u8 (void *i, uint8_t v) { set (i, ITEM_UINT, v); }
static void on_u16 (void *i, uint16_t v) { set (i, ITEM_UINT, v); }
static void on_u32 (void *i, uint32_t v) { set (i, ITEM_UINT, v); }
static void on_u64 (void *i, uint64_t v) { set (i, ITEM_UINT, v); }
static void on_float (void *i, float v) { set_real (i, v); }
static void on_double (void *i, double v) { set_real (i, v); }
static void on_null (void *i) { set (i, ITEM_NULL, 0); }
static void on_bool (void *i, bool v) { set (i, ITEM_BOOL, v); }
static void on_array (void *i, size_t n) { set (i, ITEM_ARRAY, n); }
static void on_map (void *i, size_t n) { set (i, ITEM_MAP, n); }
static void other (void *i) { set (i, ITEM_NONE, 0); }
static void other_8 (void *i, uint8_t v) { (void) v; other (i); }
static void other_16 (void *i, uint16_t v) { (void) v; other (i); }
static void other_32 (void *i, uint32_t v) { (void) v; other (i); }
static void other_64 (void *i, uint64_t v) { (void) v; other (i); }
static void other_bytes (void *i, cbor_data d, size_t n) { (void) d; (void) n; other (i); }
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
  .negint8 = other_8,
  .negint16 = other_16,
  .negint32 = other_32,
  .negint64 = other_64,
  .byte_string = other_bytes,
  .byte_string_start = other,
  .string = on_text,
  .string_start = other,
  .array_start = on_array,
  .indef_array_start = other,
  .map_start = on_map,
  .indef_map_start = other,
  .tag = other_64,
  .float2 = on_float,
  .float4 = on_float,
  .float8 = on_double,
  .null = on_null,
  .undefined = other,
  .boolean = on_bool,
  .indef_break = other,
};

static Item
next (Reader *reader)
{
  Item item = { 0 };
  struct cbor_decoder_result result
      = cbor_stream_decode (reader->data + reader->at, reader->size - reader->at, &callbacks, &item);
  if (result.status != CBOR_DECODER_FINISHED)
    item.kind = ITEM_NONE;
  reader->at += result.read;
  return item;
}

static gboolean
is (const Item *item, const char *text)
{
  return item->count == strlen (text) && memcmp (item->text, text, item->count) == 0;
}

/* Plain printable ASCII; whatever else may be valid is the tree decoder's to say. */
static gboolean
plain (const Item *item, gsize most)
{
  if (item->kind != ITEM_TEXT || item->count == 0 || item->count > most)
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
  if (*out != NULL || !plain (&item, FT_TEXT_MAX))
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
read_name (const Item *item, FtTaskStatus *task)
{
  char name[FT_TEXT_MAX + 1];
  if (!plain (item, FT_TEXT_MAX))
    return FALSE;
  memcpy (name, item->text, item->count);
  name[item->count] = '\0';
  return ft_message_task_name (name, task);
}

/* 1: a field was read; 0: one that is not known here; -1: not plain. */
static int
read_task_field (Reader *reader, const Item *key, FtTaskStatus *task, Item *state, Item *cause)
{
  if (is (key, "try"))
    return read_count (reader, &task->attempt) ? 1 : -1;
  if (is (key, "standing")) {
    *state = next (reader);
    return plain (state, FT_TEXT_MAX) ? 1 : -1;
  }
  if (is (key, "cause")) {
    *cause = next (reader);
    return plain (cause, FT_TEXT_MAX) || cause->kind == ITEM_NULL ? 1 : -1;
  }
  if (!is (key, "piece"))
    return 0;
  Item name = next (reader);
  return task->job == NULL && read_name (&name, task) ? 1 : -1;
}

static gboolean
skip_scalar (Reader *reader)
{
  Item item = next (reader);
  return item.kind == ITEM_UINT || item.kind == ITEM_BOOL || item.kind == ITEM_NULL || plain (&item, FT_BODY_MAX);
}

static gboolean
read_task (Reader *reader, GArray *tasks)
{
  Item map = next (reader), state = { 0 }, cause = { 0 };
  FtTaskStatus blank = { 0 };
  guint fields = 0;
  if (map.kind != ITEM_MAP)
    return FALSE;
  g_array_append_val (tasks, blank);
  FtTaskStatus *task = &g_array_index (tasks, FtTaskStatus, tasks->len - 1);
  for (guint64 i = 0; i < map.count; i++) {
    Item key = next (reader);
    int read = plain (&key, FT_TEXT_MAX) ? read_task_field (reader, &key, task, &state, &cause) : -1;
    if (read < 0 || (read == 0 && !skip_scalar (reader)))
      return FALSE;
    fields += read > 0 && !is (&key, "cause");
  }
  return fields == 3 && task->job != NULL
         && ft_message_task_state (state.text, state.count, cause.text, cause.count, task);
}

static gboolean
read_list (Reader *reader, GArray *tasks)
{
  Item list = next (reader);
  if (list.kind != ITEM_ARRAY || tasks->len > 0)
    return FALSE;
  for (guint64 i = 0; i < list.count; i++)
    if (!read_task (reader, tasks))
      return FALSE;
  return TRUE;
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

/* 1, 0 or -1 as above; `seen` has a bit for each field that must be there. */
static int
read_field (Reader *reader, const Item *key, FtWorkerHeartbeat *heartbeat, guint *seen)
{
  static const char *const names[]
      = { "hearth", "address", "build", "yard", "shift", "tally", "baton", "loaners", "pieces" };
  char **texts[] = { &heartbeat->machine, &heartbeat->addr, &heartbeat->type, &heartbeat->zone };
  guint64 *counts[] = { &heartbeat->incarnation, &heartbeat->sequence, &heartbeat->token };
  guint i = 0;
  while (i < G_N_ELEMENTS (names) && !is (key, names[i]))
    i++;
  if (i == G_N_ELEMENTS (names))
    return !is (key, "recall_s") ? 0 : read_notice (reader, heartbeat) ? 1 : -1;
  if (*seen & (1u << i))
    return -1;
  *seen |= 1u << i;
  if (i < 4)
    return read_text (reader, texts[i]) ? 1 : -1;
  if (i < 7)
    return read_count (reader, counts[i - 4]) ? 1 : -1;
  if (i == 8)
    return read_list (reader, heartbeat->tasks) ? 1 : -1;
  Item item = next (reader);
  heartbeat->spot = item.count != 0;
  return item.kind == ITEM_BOOL ? 1 : -1;
}

static FtWorkerHeartbeat *
read_plain (const guint8 *data, gsize size)
{
  Reader r = { data, size, 0 };
  Item map = next (&r);
  g_autoptr (FtWorkerHeartbeat) heartbeat = ft_worker_heartbeat_new ();
  guint seen = 0;
  if (map.kind != ITEM_MAP)
    return NULL;
  for (guint64 i = 0; i < map.count; i++) {
    Item key = next (&r);
    int read = plain (&key, FT_TEXT_MAX) ? read_field (&r, &key, heartbeat, &seen) : -1;
    if (read < 0 || (read == 0 && !skip_scalar (&r)))
      return NULL;
  }
  return seen == (1u << 9) - 1 && r.at == size ? g_steal_pointer (&heartbeat) : NULL;
}

FtWorkerHeartbeat *
ft_message_worker_heartbeat_read (const guint8 *data, gsize size)
{
  FtWorkerHeartbeat *heartbeat = read_plain (data, size);
  if (heartbeat != NULL)
    return heartbeat;
  json_t *tree = ft_cbor_decode (data, size);
  heartbeat = ft_message_worker_heartbeat (tree);
  json_decref (tree);
  return heartbeat;
}
