#include "wire/cbor.h"

#include <cbor.h>
#include <math.h>

#include "core/constants.h"

/* The streaming decoder is used, not cbor_load(): the latter reserves memory
 * for the length that a header announces, whatever follows it. */

typedef struct {
  json_t *node; /* array or map being filled, owned by its parent */
  guint64 left; /* items still to come, G_MAXUINT64 if indefinite */
  char *key;    /* key waiting for its value */
} Frame;

typedef struct {
  json_t *root;
  Frame stack[FT_NESTING_MAX];
  int depth;
  GString *text; /* chunked text being joined */
  gboolean failed;
} Builder;

static void
builder_close_full (Builder *builder)
{
  while (builder->depth > 0 && builder->stack[builder->depth - 1].left == 0)
    builder->depth--;
}

/* Hangs a value into the innermost open container, which stays open even if it
 * is full now: a full one still counts as nesting while its last item is open. */
static void
builder_hang (Builder *builder, json_t *value)
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
  if (json_is_array (frame->node)) {
    json_array_append_new (frame->node, value);
  } else if (frame->key == NULL) {
    if (!json_is_string (value) || strlen (json_string_value (value)) != json_string_length (value))
      builder->failed = TRUE;
    else
      frame->key = g_strdup (json_string_value (value));
    json_decref (value);
    return;
  } else {
    json_object_set_new (frame->node, frame->key, value);
    g_clear_pointer (&frame->key, g_free);
  }
  if (frame->left != G_MAXUINT64)
    frame->left--;
}

static void
builder_add (Builder *builder, json_t *value)
{
  builder_hang (builder, value);
  builder_close_full (builder);
}

static void
builder_open (Builder *builder, json_t *node, guint64 items)
{
  if (builder->failed || builder->depth == FT_NESTING_MAX) {
    builder->failed = TRUE;
    json_decref (node);
    return;
  }
  builder_hang (builder, node);
  if (builder->failed)
    return;
  builder->stack[builder->depth++] = (Frame){ .node = node, .left = items };
  builder_close_full (builder);
}

static void
builder_text (Builder *builder, const guint8 *data, gsize size)
{
  json_t *text = json_stringn ((const char *) data, size);
  if (text == NULL)
    builder->failed = TRUE; /* not UTF-8 */
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

/* clang-format off */
static void on_u8 (void *b, uint8_t v) { builder_integer (b, v, FALSE); }
static void on_u16 (void *b, uint16_t v) { builder_integer (b, v, FALSE); }
static void on_u32 (void *b, uint32_t v) { builder_integer (b, v, FALSE); }
static void on_u64 (void *b, uint64_t v) { builder_integer (b, v, FALSE); }
static void on_n8 (void *b, uint8_t v) { builder_integer (b, v, TRUE); }
static void on_n16 (void *b, uint16_t v) { builder_integer (b, v, TRUE); }
static void on_n32 (void *b, uint32_t v) { builder_integer (b, v, TRUE); }
static void on_n64 (void *b, uint64_t v) { builder_integer (b, v, TRUE); }
static void on_float (void *b, float v) { builder_real (b, v); }
static void on_double (void *b, double v) { builder_real (b, v); }
static void on_null (void *b) { builder_add (b, json_null ()); }
static void on_bool (void *b, bool v) { builder_add (b, json_boolean (v)); }
static void on_bytes (void *b, cbor_data d, size_t n) { (void) d; (void) n; ((Builder *) b)->failed = TRUE; }
static void on_fail (void *b) { ((Builder *) b)->failed = TRUE; }
static void on_tag (void *b, uint64_t v) { (void) v; ((Builder *) b)->failed = TRUE; }
static void on_array (void *b, size_t n) { builder_open (b, json_array (), n); }
static void on_array_open (void *b) { builder_open (b, json_array (), G_MAXUINT64); }
static void on_map_open (void *b) { builder_open (b, json_object (), G_MAXUINT64); }
/* clang-format on */

static void
on_map (void *b, size_t n)
{
  builder_open (b, json_object (), n);
}

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
  } else if (builder->depth == 0 || builder->stack[builder->depth - 1].left != G_MAXUINT64
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
  .byte_string_start = on_fail,
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
  .undefined = on_fail,
  .boolean = on_bool,
  .indef_break = on_break,
};

json_t *
ft_cbor_decode (const guint8 *data, gsize size)
{
  Builder b = { 0 };
  gsize at = 0;
  while (at < size && !b.failed && !(b.root != NULL && b.depth == 0)) {
    struct cbor_decoder_result r = cbor_stream_decode (data + at, size - at, &callbacks, &b);
    if (r.status != CBOR_DECODER_FINISHED)
      b.failed = TRUE;
    at += r.read;
  }
  gboolean whole = !b.failed && b.root != NULL && b.depth == 0 && b.text == NULL && at == size;
  for (int i = 0; i < FT_NESTING_MAX; i++)
    g_free (b.stack[i].key);
  if (b.text != NULL)
    g_string_free (b.text, TRUE);
  if (!whole)
    g_clear_pointer (&b.root, json_decref);
  return b.root;
}

typedef size_t (*HeadWriter) (size_t, unsigned char *, size_t);

static void
append_head (GByteArray *out, HeadWriter write, size_t count)
{
  guint8 head[9];
  g_byte_array_append (out, head, write (count, head, sizeof head));
}

static void
append_text (GByteArray *out, const char *text, size_t size)
{
  append_head (out, cbor_encode_string_start, size);
  g_byte_array_append (out, (const guint8 *) text, size);
}

static void
append_value (GByteArray *out, const json_t *value)
{
  guint8 head[9];
  size_t n = 0;
  switch (json_typeof (value)) {
  case JSON_OBJECT: {
    const char *key;
    json_t *item;
    append_head (out, cbor_encode_map_start, json_object_size (value));
    json_object_foreach ((json_t *) value, key, item)
    {
      append_text (out, key, strlen (key));
      append_value (out, item);
    }
    return;
  }
  case JSON_ARRAY:
    append_head (out, cbor_encode_array_start, json_array_size (value));
    for (size_t i = 0; i < json_array_size (value); i++)
      append_value (out, json_array_get (value, i));
    return;
  case JSON_STRING:
    append_text (out, json_string_value (value), json_string_length (value));
    return;
  case JSON_INTEGER: {
    json_int_t v = json_integer_value (value);
    n = v < 0 ? cbor_encode_negint ((guint64) (-1 - v), head, sizeof head)
              : cbor_encode_uint ((guint64) v, head, sizeof head);
    break;
  }
  case JSON_REAL:
    n = cbor_encode_double (json_real_value (value), head, sizeof head);
    break;
  case JSON_TRUE:
  case JSON_FALSE:
    n = cbor_encode_bool (json_is_true (value), head, sizeof head);
    break;
  case JSON_NULL:
    n = cbor_encode_null (head, sizeof head);
    break;
  }
  g_byte_array_append (out, head, n);
}

GBytes *
ft_cbor_encode (const json_t *value)
{
  GByteArray *out = g_byte_array_new ();
  append_value (out, value);
  return g_byte_array_free_to_bytes (out);
}
