#include "net/http.h"

#include <libsoup/soup.h>
#include <string.h>

#include "core/constants.h"
#include "wire/cbor.h"

/* ---- bodies ---- */

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

/* ---- client ---- */

struct _FtHttpClient {
  SoupSession *session;
};

typedef struct {
  SoupMessage *msg;
  FtBodyKind kind;
  GCancellable *cancel;
  guint timer;
  FtHttpDone done;
  gpointer data;
} Call;

FtHttpClient *
ft_http_client_new (guint per_host, guint most)
{
  FtHttpClient *client = g_new0 (FtHttpClient, 1);
  client->session = soup_session_new_with_options ("max-conns", (int) most, "max-conns-per-host", (int) per_host,
                                                   "idle-timeout", FT_CLIENT_IDLE_S, "timeout", 0, NULL);
  soup_session_set_proxy_resolver (client->session, NULL);
  return client;
}

void
ft_http_client_free (FtHttpClient *client)
{
  if (client == NULL)
    return;
  soup_session_abort (client->session);
  g_object_unref (client->session);
  g_free (client);
}

static gboolean
on_timeout (gpointer data)
{
  Call *call = data;
  call->timer = 0;
  g_cancellable_cancel (call->cancel);
  return G_SOURCE_REMOVE;
}

static void
on_answer (GObject *source, GAsyncResult *result, gpointer data)
{
  Call *call = data;
  g_autoptr (GError) error = NULL;
  g_autoptr (GBytes) bytes = soup_session_send_and_read_finish (SOUP_SESSION (source), result, &error);
  if (call->timer != 0)
    g_source_remove (call->timer);
  guint status = error == NULL ? soup_message_get_status (call->msg) : 0;
  gsize size = 0;
  const guint8 *text = status != 0 ? g_bytes_get_data (bytes, &size) : NULL;
  json_t *body = ft_http_decode (call->kind, text, size);
  call->done (status, body, call->data);
  json_decref (body);
  g_object_unref (call->msg);
  g_object_unref (call->cancel);
  g_free (call);
}

void
ft_http_send (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
              const json_t *body, double timeout_s, gboolean once, FtHttpDone done, gpointer data)
{
  g_autofree char *uri = g_strconcat ("http://", addr, path, NULL);
  SoupMessage *msg = soup_message_new (method, uri);
  if (msg == NULL) {
    g_warning ("http: %s is no address", addr);
    done (0, NULL, data);
    return;
  }
  Call *call = g_new0 (Call, 1);
  call->msg = msg;
  call->kind = kind;
  call->done = done;
  call->data = data;
  call->cancel = g_cancellable_new ();
  soup_message_add_flags (msg, SOUP_MESSAGE_NO_REDIRECT);
  soup_message_add_flags (msg, once ? SOUP_MESSAGE_NEW_CONNECTION : SOUP_MESSAGE_IDEMPOTENT);
  if (once)
    soup_message_headers_replace (soup_message_get_request_headers (msg), "Connection", "close");
  if (body != NULL) {
    g_autoptr (GBytes) bytes = ft_http_encode (kind, body);
    soup_message_set_request_body_from_bytes (msg, ft_http_content_type (kind), bytes);
  }
  call->timer = g_timeout_add ((guint) (timeout_s * 1000), on_timeout, call);
  soup_session_send_and_read_async (client->session, msg, G_PRIORITY_DEFAULT, call->cancel, on_answer, call);
}
