#include "wire/cbor.h"

#include <cbor.h>
#include <math.h>

#include "core/constants.h"

/* This module uses libcbor's streaming decoder. cbor_load() would allocate memory for the length
 * that a header announces, even if the input is shorter. */

/* Value of Frame.items_left for a container of indefinite length, which a break ends. */
#define INDEFINITE G_MAXUINT64
/* Longest head of an item in bytes: one byte for its type, eight for its length or value. */
#define HEAD_MAX 9

/* An array or map whose items are still being decoded. */
typedef struct {
  json_t *node;       /* the array or map, owned by its parent */
  guint64 items_left; /* number of items that are not decoded yet, or INDEFINITE */
  char *key;          /* the decoded key of a map entry whose value is not decoded yet; NULL: none */
} Frame;

/* The value tree that is being built from the decoded items. */
typedef struct {
  json_t *root; /* NULL until the first item is decoded */
  Frame stack[FT_NESTING_MAX];
  int depth;       /* number of frames in use */
  GString *text;   /* the joined chunks of a text of indefinite length; NULL: no such text is being decoded */
  GArray *skipped; /* guint64: the items left in each container that is nested too deep, outermost first; NULL: none is
                      being skipped */
  gboolean failed; /* the input is not valid */
} Builder;

/* Closes the innermost containers that have all of their items. */
static void
builder_close_full (Builder *builder)
{
  while (builder->depth > 0 && builder->stack[builder->depth - 1].items_left == 0)
    builder->depth--;
}

/* Stores the key of a map entry, which must be a text without a zero byte. Takes the reference to `key`. */
static void
frame_set_key (Builder *builder, Frame *frame, json_t *key)
{
  const char *text = json_string_value (key);
  if (text == NULL || strlen (text) != json_string_length (key))
    builder->failed = TRUE;
  else
    frame->key = g_strdup (text);
  json_decref (key);
}

/* Appends an item to an array, or sets the value of the current key of a map. Takes the reference to `value`. */
static void
frame_put (Frame *frame, json_t *value)
{
  if (json_is_array (frame->node)) {
    json_array_append_new (frame->node, value);
  } else {
    json_object_set_new (frame->node, frame->key, value);
    g_clear_pointer (&frame->key, g_free);
  }
  if (frame->items_left != INDEFINITE)
    frame->items_left--;
}

/* Puts a value into the innermost container that is still being decoded. Takes the reference to `value`. Does not close
 * that container, even if it has all of its items now: if `value` is a container too, the caller opens it next, and
 * the outer container must then still count towards the nesting depth. */
static void
builder_put (Builder *builder, json_t *value)
{
  if (builder->failed || builder->text != NULL || (builder->depth == 0 && builder->root != NULL)) {
    builder->failed = TRUE;
    json_decref (value);
    return;
  }
  if (builder->depth == 0) {
    builder->root = value;
    return;
  }
  Frame *frame = &builder->stack[builder->depth - 1];
  if (json_is_object (frame->node) && frame->key == NULL)
    frame_set_key (builder, frame, value);
  else
    frame_put (frame, value);
}

/* ---- values that are nested too deep for any known field: they are read over, and null stands for them ---- */

static guint64 *
innermost_skipped (const Builder *builder)
{
  return &g_array_index (builder->skipped, guint64, builder->skipped->len - 1);
}

/* Ends the innermost skipped container, and each one around it of which it was the last item. */
static void
end_skipped (Builder *builder)
{
  do
    g_array_set_size (builder->skipped, builder->skipped->len - 1);
  while (builder->skipped->len > 0 && *innermost_skipped (builder) != INDEFINITE
         && --*innermost_skipped (builder) == 0);
  if (builder->skipped->len > 0)
    return;
  g_clear_pointer (&builder->skipped, g_array_unref);
  builder_close_full (builder);
}

/* Reads over an item of the innermost skipped container. Takes the reference to `value`. */
static void
skip_value (Builder *builder, json_t *value)
{
  json_decref (value);
  if (builder->text != NULL)
    builder->failed = TRUE;
  else if (*innermost_skipped (builder) != INDEFINITE && --*innermost_skipped (builder) == 0)
    end_skipped (builder);
}

/* Begins to read over an array or a map. Takes the reference to `node`. */
static void
skip_container (Builder *builder, json_t *node, guint64 items)
{
  gboolean is_map = json_is_object (node);
  json_decref (node);
  if (builder->skipped == NULL) {
    builder_put (builder, json_null ());
    builder->skipped = g_array_new (FALSE, FALSE, sizeof (guint64));
  }
  if (builder->text != NULL || (is_map && items != INDEFINITE && items > G_MAXINT64)) {
    builder->failed = TRUE;
    return;
  }
  guint64 left = is_map && items != INDEFINITE ? 2 * items : items;
  g_array_append_val (builder->skipped, left);
  if (left == 0)
    end_skipped (builder);
}

/* ---- items ---- */

/* Adds a value that is complete. */
static void
builder_add (Builder *builder, json_t *value)
{
  if (builder->skipped != NULL) {
    skip_value (builder, value);
    return;
  }
  builder_put (builder, value);
  builder_close_full (builder);
}

/* Adds an array or a map whose items follow in the input. */
static void
builder_open (Builder *builder, json_t *node, guint64 items)
{
  if (builder->skipped != NULL || builder->depth == FT_NESTING_MAX) {
    skip_container (builder, node, items);
    return;
  }
  builder_put (builder, node);
  if (builder->failed)
    return;
  builder->stack[builder->depth++] = (Frame){ .node = node, .items_left = items };
  builder_close_full (builder);
}

static void
builder_text (Builder *builder, const guint8 *data, gsize size)
{
  json_t *text = json_stringn ((const char *) data, size);
  if (text == NULL)
    builder->failed = TRUE; /* the text is not valid UTF-8 */
  else
    builder_add (builder, text);
}

static void
builder_integer (Builder *builder, guint64 value, gboolean negative)
{
  if (value > G_MAXINT64)
    builder_add (builder, json_real (negative ? -1.0 - (double) value : (double) value));
  else
    builder_add (builder, json_integer (negative ? -1 - (gint64) value : (gint64) value));
}

static void
builder_real (Builder *builder, double value)
{
  json_t *real = isfinite (value) ? json_real (value) : NULL;
  if (real == NULL)
    builder->failed = TRUE;
  else
    builder_add (builder, real);
}

static void
builder_fail (void *builder)
{
  ((Builder *) builder)->failed = TRUE;
}

/* The callbacks for libcbor's decoder: one for each encoding of an item. */
/* clang-format off */
static void on_u8 (void *builder, uint8_t value) { builder_integer (builder, value, FALSE); }
static void on_u16 (void *builder, uint16_t value) { builder_integer (builder, value, FALSE); }
static void on_u32 (void *builder, uint32_t value) { builder_integer (builder, value, FALSE); }
static void on_u64 (void *builder, uint64_t value) { builder_integer (builder, value, FALSE); }
static void on_n8 (void *builder, uint8_t value) { builder_integer (builder, value, TRUE); }
static void on_n16 (void *builder, uint16_t value) { builder_integer (builder, value, TRUE); }
static void on_n32 (void *builder, uint32_t value) { builder_integer (builder, value, TRUE); }
static void on_n64 (void *builder, uint64_t value) { builder_integer (builder, value, TRUE); }
static void on_float (void *builder, float value) { builder_real (builder, value); }
static void on_double (void *builder, double value) { builder_real (builder, value); }
static void on_null (void *builder) { builder_add (builder, json_null ()); }
static void on_bool (void *builder, bool value) { builder_add (builder, json_boolean (value)); }
static void on_bytes (void *builder, cbor_data data, size_t size) { (void) data; (void) size; builder_fail (builder); }
static void on_tag (void *builder, uint64_t value) { (void) value; builder_fail (builder); }
static void on_array (void *builder, size_t count) { builder_open (builder, json_array (), count); }
static void on_array_open (void *builder) { builder_open (builder, json_array (), INDEFINITE); }
static void on_map (void *builder, size_t count) { builder_open (builder, json_object (), count); }
static void on_map_open (void *builder) { builder_open (builder, json_object (), INDEFINITE); }
/* clang-format on */

static void
on_string (void *context, cbor_data data, size_t size)
{
  Builder *builder = context;
  if (builder->text != NULL)
    g_string_append_len (builder->text, (const char *) data, size);
  else
    builder_text (builder, data, size);
}

static void
on_string_open (void *context)
{
  Builder *builder = context;
  if (builder->text != NULL)
    builder->failed = TRUE;
  else
    builder->text = g_string_new (NULL);
}

static void
on_break (void *context)
{
  Builder *builder = context;
  if (builder->text != NULL) {
    g_autoptr (GString) text = g_steal_pointer (&builder->text);
    builder_text (builder, (const guint8 *) text->str, text->len);
  } else if (builder->skipped != NULL) {
    if (*innermost_skipped (builder) == INDEFINITE)
      end_skipped (builder);
    else
      builder->failed = TRUE;
  } else if (builder->depth == 0 || builder->stack[builder->depth - 1].items_left != INDEFINITE
             || builder->stack[builder->depth - 1].key != NULL) {
    builder->failed = TRUE;
  } else {
    builder->depth--;
    builder_close_full (builder);
  }
}

static const struct cbor_callbacks callbacks = {
  .uint8 = on_u8,
  .uint16 = on_u16,
  .uint32 = on_u32,
  .uint64 = on_u64,
  .negint8 = on_n8,
  .negint16 = on_n16,
  .negint32 = on_n32,
  .negint64 = on_n64,
  .byte_string = on_bytes,
  .byte_string_start = builder_fail,
  .string = on_string,
  .string_start = on_string_open,
  .array_start = on_array,
  .indef_array_start = on_array_open,
  .map_start = on_map,
  .indef_map_start = on_map_open,
  .tag = on_tag,
  .float2 = on_float,
  .float4 = on_float,
  .float8 = on_double,
  .null = on_null,
  .undefined = builder_fail,
  .boolean = on_bool,
  .indef_break = on_break,
};

/* Frees the keys and the text that remain if the input ends within an item. */
static void
builder_clear (Builder *builder)
{
  for (int i = 0; i < FT_NESTING_MAX; i++)
    g_free (builder->stack[i].key);
  if (builder->text != NULL)
    g_string_free (builder->text, TRUE);
  if (builder->skipped != NULL)
    g_array_unref (builder->skipped);
}

json_t *
ft_cbor_decode (const guint8 *data, gsize size)
{
  Builder builder = { 0 };
  gsize position = 0;
  while (position < size && !builder.failed && !(builder.root != NULL && builder.depth == 0)) {
    struct cbor_decoder_result result = cbor_stream_decode (data + position, size - position, &callbacks, &builder);
    if (result.status != CBOR_DECODER_FINISHED)
      builder.failed = TRUE;
    position += result.read;
  }
  gboolean complete = !builder.failed && builder.root != NULL && builder.depth == 0 && builder.text == NULL
                      && builder.skipped == NULL;
  builder_clear (&builder);
  if (!complete || position != size)
    g_clear_pointer (&builder.root, json_decref);
  return builder.root;
}

/* A function of libcbor that encodes the head of a text, an array or a map of the given length. */
typedef size_t (*HeadWriter) (size_t, unsigned char *, size_t);

static void
append_head (GByteArray *out, HeadWriter write, size_t count)
{
  guint8 head[HEAD_MAX];
  g_byte_array_append (out, head, write (count, head, sizeof head));
}

static void
append_text (GByteArray *out, const char *text, size_t size)
{
  append_head (out, cbor_encode_string_start, size);
  g_byte_array_append (out, (const guint8 *) text, size);
}

static void
append_integer (GByteArray *out, json_int_t value)
{
  guint8 head[HEAD_MAX];
  size_t used = value < 0 ? cbor_encode_negint ((guint64) (-1 - value), head, sizeof head)
                          : cbor_encode_uint ((guint64) value, head, sizeof head);
  g_byte_array_append (out, head, (guint) used);
}

static void append_value (GByteArray *out, const json_t *value);

static void
append_map (GByteArray *out, const json_t *map)
{
  const char *key;
  json_t *item;
  append_head (out, cbor_encode_map_start, json_object_size (map));
  json_object_foreach ((json_t *) map, key, item)
  {
    append_text (out, key, strlen (key));
    append_value (out, item);
  }
}

static void
append_array (GByteArray *out, const json_t *array)
{
  append_head (out, cbor_encode_array_start, json_array_size (array));
  for (size_t i = 0; i < json_array_size (array); i++)
    append_value (out, json_array_get (array, i));
}

static void
append_value (GByteArray *out, const json_t *value)
{
  guint8 head[HEAD_MAX];
  switch (json_typeof (value)) {
  case JSON_OBJECT:
    append_map (out, value);
    break;
  case JSON_ARRAY:
    append_array (out, value);
    break;
  case JSON_STRING:
    append_text (out, json_string_value (value), json_string_length (value));
    break;
  case JSON_INTEGER:
    append_integer (out, json_integer_value (value));
    break;
  case JSON_REAL:
    g_byte_array_append (out, head, (guint) cbor_encode_double (json_real_value (value), head, sizeof head));
    break;
  case JSON_TRUE:
  case JSON_FALSE:
    g_byte_array_append (out, head, (guint) cbor_encode_bool (json_is_true (value), head, sizeof head));
    break;
  case JSON_NULL:
    g_byte_array_append (out, head, (guint) cbor_encode_null (head, sizeof head));
    break;
  }
}

GBytes *
ft_cbor_encode (const json_t *value)
{
  GByteArray *out = g_byte_array_new ();
  append_value (out, value);
  return g_byte_array_free_to_bytes (out);
}
