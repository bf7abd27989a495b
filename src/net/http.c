#include "net/http.h"

#include <libsoup/soup.h>
#include <string.h>

#include "core/constants.h"
#include "wire/cbor.h"

/* ---- bodies ---- */

static const char *
content_type (FtBodyKind kind)
{
  return kind == FT_BODY_CBOR ? "application/cbor" : "application/json";
}

static GBytes *
encode (FtBodyKind kind, const json_t *body)
{
  if (kind == FT_BODY_CBOR)
    return ft_cbor_encode (body);
  char *text = json_dumps (body, JSON_COMPACT | JSON_ENCODE_ANY);
  return g_bytes_new_take (text, strlen (text));
}

static json_t *
decode (FtBodyKind kind, GBytes *bytes)
{
  gsize size = 0;
  const guint8 *data = bytes != NULL ? g_bytes_get_data (bytes, &size) : NULL;
  if (size == 0)
    return NULL;
  return kind == FT_BODY_CBOR ? ft_cbor_decode (data, size)
                              : json_loadb ((const char *) data, size, JSON_REJECT_DUPLICATES, NULL);
}

/* ---- server ---- */

struct _FtHttpServer {
  SoupServer *soup;
  FtBodyKind kind;
  FtHttpHandler handler;
  gpointer data;
  guint most;
  GHashTable *sockets; /* open connections; compared only */
};

struct _FtHttpRequest {
  FtHttpServer *server;
  SoupServerMessage *msg;
  json_t *body;
  gboolean read, gone;
  gulong finished_id;
};

static void
socket_gone (gpointer data, GObject *where)
{
  g_hash_table_remove (((FtHttpServer *) data)->sockets, where);
}

static void
count_connection (FtHttpServer *server, SoupServerMessage *msg)
{
  GSocket *socket = soup_server_message_get_socket (msg);
  if (socket != NULL && g_hash_table_add (server->sockets, socket))
    g_object_weak_ref (G_OBJECT (socket), socket_gone, server);
}

/* Bodies are cut off in memory at the limit, whatever their header says. */
static void
on_chunk (SoupServerMessage *msg, GBytes *chunk, gpointer data)
{
  (void) data;
  gsize *total = g_object_get_data (G_OBJECT (msg), "ft-total");
  *total += g_bytes_get_size (chunk);
  if (*total > FT_BODY_MOST)
    soup_message_body_set_accumulate (soup_server_message_get_request_body (msg), FALSE);
  if (*total > FT_BODY_CUT)
    g_socket_close (soup_server_message_get_socket (msg), NULL);
}

static void
on_headers (SoupServer *soup, SoupServerMessage *msg, const char *path, GHashTable *query, gpointer data)
{
  (void) soup;
  (void) path;
  (void) query;
  count_connection (data, msg);
  g_object_set_data_full (G_OBJECT (msg), "ft-total", g_new0 (gsize, 1), g_free);
  g_signal_connect (msg, "got-chunk", G_CALLBACK (on_chunk), NULL);
}

static void
on_finished (SoupServerMessage *msg, gpointer data)
{
  (void) msg;
  ((FtHttpRequest *) data)->gone = TRUE;
}

static void
on_request (SoupServer *soup, SoupServerMessage *msg, const char *path, GHashTable *query, gpointer data)
{
  (void) soup;
  (void) path;
  (void) query;
  FtHttpServer *server = data;
  FtHttpRequest *request = g_new0 (FtHttpRequest, 1);
  request->server = server;
  request->msg = g_object_ref (msg);
  request->finished_id = g_signal_connect (msg, "finished", G_CALLBACK (on_finished), request);
  soup_server_message_pause (msg);
  server->handler (request, server->data);
}

FtHttpServer *
ft_http_server_new (const char *addr, FtBodyKind kind, guint most, FtHttpHandler handler, gpointer data, GError **error)
{
  g_auto (GStrv) parts = g_strsplit (addr, ":", 2);
  g_autoptr (GSocketAddress) address = NULL;
  if (g_strv_length (parts) == 2)
    address = g_inet_socket_address_new_from_string (parts[0], (guint) g_ascii_strtoull (parts[1], NULL, 10));
  if (address == NULL) {
    g_set_error (error, G_IO_ERROR, G_IO_ERROR_INVALID_ARGUMENT, "%s is not an address and a port", addr);
    return NULL;
  }
  FtHttpServer *server = g_new0 (FtHttpServer, 1);
  server->kind = kind;
  server->handler = handler;
  server->data = data;
  server->most = most;
  server->sockets = g_hash_table_new (g_direct_hash, g_direct_equal);
  server->soup = soup_server_new (NULL, NULL);
  soup_server_add_early_handler (server->soup, NULL, on_headers, server, NULL);
  soup_server_add_handler (server->soup, NULL, on_request, server, NULL);
  if (!soup_server_listen (server->soup, address, 0, error)) {
    ft_http_server_free (server);
    return NULL;
  }
  return server;
}

void
ft_http_server_free (FtHttpServer *server)
{
  if (server == NULL)
    return;
  soup_server_disconnect (server->soup);
  g_object_unref (server->soup);
  GHashTableIter it;
  gpointer socket;
  g_hash_table_iter_init (&it, server->sockets);
  while (g_hash_table_iter_next (&it, &socket, NULL))
    g_object_weak_unref (socket, socket_gone, server);
  g_hash_table_unref (server->sockets);
  g_free (server);
}

guint
ft_http_server_connections (const FtHttpServer *server)
{
  return g_hash_table_size (server->sockets);
}

const char *
ft_http_method (const FtHttpRequest *request)
{
  return soup_server_message_get_method (request->msg);
}

const char *
ft_http_path (const FtHttpRequest *request)
{
  return g_uri_get_path (soup_server_message_get_uri (request->msg));
}

const char *
ft_http_query (const FtHttpRequest *request)
{
  const char *query = g_uri_get_query (soup_server_message_get_uri (request->msg));
  return query != NULL ? query : "";
}

const json_t *
ft_http_body (FtHttpRequest *request)
{
  if (request->read)
    return request->body;
  request->read = TRUE;
  gsize *total = g_object_get_data (G_OBJECT (request->msg), "ft-total");
  if (total == NULL || *total > FT_BODY_MOST)
    return NULL;
  g_autoptr (GBytes) bytes = soup_message_body_flatten (soup_server_message_get_request_body (request->msg));
  request->body = decode (request->server->kind, bytes);
  return request->body;
}

static void
request_free (FtHttpRequest *request)
{
  g_signal_handler_disconnect (request->msg, request->finished_id);
  g_object_unref (request->msg);
  json_decref (request->body);
  g_free (request);
}

void
ft_http_respond (FtHttpRequest *request, guint status, json_t *body)
{
  FtHttpServer *server = request->server;
  if (!request->gone) {
    SoupMessageHeaders *headers = soup_server_message_get_response_headers (request->msg);
    soup_server_message_set_status (request->msg, status, NULL);
    if (body != NULL) {
      g_autoptr (GBytes) bytes = encode (server->kind, body);
      soup_message_headers_replace (headers, "Content-Type", content_type (server->kind));
      soup_message_body_append_bytes (soup_server_message_get_response_body (request->msg), bytes);
    }
    if (status == 503 || status == 429) {
      char after[8];
      g_snprintf (after, sizeof after, "%d", FT_RETRY_AFTER_S);
      soup_message_headers_replace (headers, "Retry-After", after);
    }
    if (g_hash_table_size (server->sockets) > server->most)
      soup_message_headers_replace (headers, "Connection", "close");
    soup_server_message_unpause (request->msg);
  }
  json_decref (body);
  request_free (request);
}

void
ft_http_unavailable (FtHttpRequest *request)
{
  ft_http_respond (request, 503, NULL);
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
  json_t *body = status != 0 ? decode (call->kind, bytes) : NULL;
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
    g_autoptr (GBytes) bytes = encode (kind, body);
    soup_message_set_request_body_from_bytes (msg, content_type (kind), bytes);
  }
  call->timer = g_timeout_add ((guint) (timeout_s * 1000), on_timeout, call);
  soup_session_send_and_read_async (client->session, msg, G_PRIORITY_DEFAULT, call->cancel, on_answer, call);
}
