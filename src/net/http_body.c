/* Encoding and decoding of HTTP bodies, shared by the server and the client. */
#include <string.h>

#include "net/http.h"
#include "wire/cbor.h"

const char *
ft_http_content_type (FtBodyKind kind)
{
  return kind == FT_BODY_CBOR ? "application/cbor" : "application/json";
}

GBytes *
ft_http_encode (FtBodyKind kind, const json_t *body)
{
  if (kind == FT_BODY_CBOR)
    return ft_cbor_encode (body);
  char *text = json_dumps (body, JSON_COMPACT | JSON_ENCODE_ANY);
  return g_bytes_new_take (text, strlen (text));
}

json_t *
ft_http_decode (FtBodyKind kind, const guint8 *data, gsize size)
{
  if (size == 0)
    return NULL;
  return kind == FT_BODY_CBOR ? ft_cbor_decode (data, size)
                              : json_loadb ((const char *) data, size, JSON_REJECT_DUPLICATES, NULL);
}
