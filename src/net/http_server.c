/* The HTTP server: libmicrohttpd, whose epoll descriptor is a source of the main loop.
 *
 * libsoup's server needs one main loop source for each connection, which is expensive because several
 * hundred workers keep their connections open. docs/design.md has the measurement. */
#include <gio/gio.h>
#include <glib-unix.h>
#include <microhttpd.h>
#include <string.h>

#include "core/constants.h"
#include "net/http.h"
#include "net/http_connections.h"

G_DEFINE_QUARK (ft - http - error - quark, ft_http_error)

struct _FtHttpServer {
  gboolean stopping; /* TRUE while the server stops: it answers every request with 503 */
  struct MHD_Daemon *daemon;
  FtBodyKind kind;
  FtHttpHandler handler;
  gpointer data;
  guint max_file_descriptors; /* number of connections that may stay open */
  FtHttpConnections *connections;
  guint turn;           /* number of the current run of libmicrohttpd */
  guint epoll_source;   /* main loop source of libmicrohttpd's epoll descriptor */
  guint retry_source;   /* main loop source that runs libmicrohttpd without an epoll event; 0: none */
  guint overdue_source; /* main loop source that closes connections which owe a request for too long */
  GHashTable *waiting;  /* set of suspended requests, which their handlers have not answered yet */
};

/* The connection owns the request and frees it in on_completed(). If the server is freed before the
 * handler answers, `server` becomes NULL and ft_http_respond() frees the request instead. */
struct _FtHttpRequest {
  FtHttpServer *server; /* NULL: the server was freed before the handler answered */
  struct MHD_Connection *connection;
  char *method, *path, *query;
  GByteArray *raw_body;          /* body as received, up to FT_BODY_MAX bytes */
  gsize body_size;               /* bytes of the body received, also those that are not kept */
  json_t *body;                  /* decoded body; NULL: not decoded yet, or malformed */
  gboolean is_decoded;           /* decoding was attempted, with or without success */
  gboolean close_after_response; /* the server closes the connection after the answer */
  gboolean is_suspended;         /* the handler has returned and will answer later */
  guint status;                  /* HTTP status of the answer */
  struct MHD_Response *response; /* NULL: not answered yet */
};

static gboolean on_retry (gpointer data);

/* Schedules a run of libmicrohttpd that does not wait for an epoll event. */
static void
schedule_retry (FtHttpServer *server, guint after_ms)
{
  if (server->retry_source != 0)
    return;
  server->retry_source = after_ms == 0 ? g_idle_add_full (G_PRIORITY_DEFAULT, on_retry, server, NULL)
                                       : g_timeout_add (after_ms, on_retry, server);
}

/* ---- requests ---- */

/* Returns the connection's record in FtHttpServer.connections. */
static FtHttpConnection *
record_of (struct MHD_Connection *connection)
{
  return MHD_get_connection_info (connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT)->socket_context;
}

static void
request_free (FtHttpRequest *request)
{
  if (request->response != NULL)
    MHD_destroy_response (request->response);
  g_byte_array_unref (request->raw_body);
  json_decref (request->body);
  g_free (request->method);
  g_free (request->path);
  g_free (request->query);
  g_free (request);
}

/* Creates the request. libmicrohttpd calls this function with the raw request target before any other callback. */
static void *
on_target (void *data, const char *target, struct MHD_Connection *connection)
{
  FtHttpRequest *request = g_new0 (FtHttpRequest, 1);
  const char *query = strchr (target, '?');
  request->server = data;
  request->connection = connection;
  request->raw_body = g_byte_array_new ();
  request->query = g_strdup (query != NULL ? query + 1 : "");
  ft_http_connection_request_begun (record_of (connection), g_get_monotonic_time ());
  return request;
}

static void
on_completed (void *data, struct MHD_Connection *connection, void **context, enum MHD_RequestTerminationCode code)
{
  (void) data;
  (void) code;
  FtHttpRequest *request = *context;
  *context = NULL;
  if (request != NULL && request->server != NULL) {
    ft_http_connection_request_over (record_of (connection), g_get_monotonic_time ());
    request_free (request);
  }
}

static void
on_connection (void *data, struct MHD_Connection *connection, void **context, enum MHD_ConnectionNotificationCode code)
{
  FtHttpServer *server = data;
  if (code == MHD_CONNECTION_NOTIFY_STARTED) {
    int socket = MHD_get_connection_info (connection, MHD_CONNECTION_INFO_CONNECTION_FD)->connect_fd;
    *context = ft_http_connections_opened (server->connections, socket, g_get_monotonic_time ());
  } else {
    /* After it has reached its limit, libmicrohttpd listens again in the run after the one that closes connections. */
    if (ft_http_connections_count (server->connections) > server->max_file_descriptors)
      schedule_retry (server, 0);
    ft_http_connection_closed (*context);
    *context = NULL;
  }
}

/* Keeps a body of up to FT_BODY_MAX bytes, whatever Content-Length says. Closes the connection if the body
 * exceeds FT_BODY_ABORT_BYTES bytes. */
static enum MHD_Result
append_chunk (FtHttpRequest *request, const char *chunk, size_t *size)
{
  request->body_size += *size;
  if (request->body_size <= FT_BODY_MAX) {
    g_byte_array_append (request->raw_body, (const guint8 *) chunk, (guint) *size);
    ft_http_connection_body_received (record_of (request->connection), *size, g_get_monotonic_time ());
  }
  *size = 0;
  return request->body_size > FT_BODY_ABORT_BYTES ? MHD_NO : MHD_YES;
}

static struct MHD_Response *
response_new (FtHttpServer *server, const json_t *body)
{
  if (body == NULL)
    return MHD_create_response_from_buffer (0, (void *) "", MHD_RESPMEM_PERSISTENT);
  g_autoptr (GBytes) bytes = ft_http_encode (server->kind, body);
  gsize size;
  const void *data = g_bytes_get_data (bytes, &size);
  struct MHD_Response *response = MHD_create_response_from_buffer (size, (void *) data, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE, ft_http_content_type (server->kind));
  return response;
}

static enum MHD_Result
queue_response (FtHttpRequest *request)
{
  return MHD_queue_response (request->connection, request->status, request->response);
}

/* Sets the answer to 503 without the handler, because the server is stopping. */
static void
set_unavailable (FtHttpServer *server, FtHttpRequest *request)
{
  request->status = FT_HTTP_UNAVAILABLE;
  request->response = response_new (server, NULL);
}

static enum MHD_Result
on_request (void *data, struct MHD_Connection *connection, const char *path, const char *method, const char *version,
            const char *chunk, size_t *size, void **context)
{
  FtHttpServer *server = data;
  FtHttpRequest *request = *context;
  (void) connection;
  (void) version;
  if (request->method == NULL) { /* first call: the headers are complete, the body follows */
    request->method = g_strdup (method);
    request->path = g_strdup (path);
    return MHD_YES;
  }
  if (*size > 0)
    return append_chunk (request, chunk, size);
  if (request->response != NULL)
    return queue_response (request); /* the handler has answered, which resumed the connection */
  if (server->stopping) {
    set_unavailable (server, request);
    return queue_response (request);
  }
  ft_http_connection_request_complete (record_of (connection));
  server->handler (request, server->data);
  if (request->response != NULL)
    return queue_response (request);
  request->is_suspended = TRUE;
  g_hash_table_add (server->waiting, request);
  MHD_suspend_connection (connection);
  return MHD_YES;
}

const char *
ft_http_method (const FtHttpRequest *request)
{
  return request->method;
}

const char *
ft_http_path (const FtHttpRequest *request)
{
  return request->path;
}

const char *
ft_http_query (const FtHttpRequest *request)
{
  return request->query;
}

const json_t *
ft_http_body (FtHttpRequest *request)
{
  if (!request->is_decoded && request->body_size <= FT_BODY_MAX)
    request->body = ft_http_decode (request->server->kind, request->raw_body->data, request->raw_body->len);
  request->is_decoded = TRUE;
  return request->body;
}

const guint8 *
ft_http_raw_body (const FtHttpRequest *request, gsize *size)
{
  *size = request->raw_body->len;
  return request->body_size <= FT_BODY_MAX ? request->raw_body->data : NULL;
}

void
ft_http_respond (FtHttpRequest *request, guint status, json_t *body)
{
  FtHttpServer *server = request->server;
  if (server == NULL) {
    json_decref (body);
    request_free (request);
    return;
  }
  g_return_if_fail (request->response == NULL);
  request->status = status;
  request->response = response_new (server, body);
  json_decref (body);
  if (status == FT_HTTP_UNAVAILABLE || status == FT_HTTP_TOO_MANY_REQUESTS) {
    char after[8];
    g_snprintf (after, sizeof after, "%d", FT_RETRY_AFTER_S);
    MHD_add_response_header (request->response, MHD_HTTP_HEADER_RETRY_AFTER, after);
  }
  if (request->close_after_response || ft_http_connections_count (server->connections) > server->max_file_descriptors)
    MHD_add_response_header (request->response, MHD_HTTP_HEADER_CONNECTION, "close");
  if (request->is_suspended) {
    request->is_suspended = FALSE;
    g_hash_table_remove (server->waiting, request);
    MHD_resume_connection (request->connection);
    schedule_retry (server, 0); /* MHD_resume_connection() does not wake an external main loop */
  }
}

void
ft_http_close_after_response (FtHttpRequest *request)
{
  request->close_after_response = TRUE;
}

void
ft_http_unavailable (FtHttpRequest *request)
{
  ft_http_respond (request, FT_HTTP_UNAVAILABLE, NULL);
}

/* ---- the server ---- */

static void
run_libmicrohttpd (FtHttpServer *server)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  server->turn++;
  MHD_run (server->daemon);
  /* libmicrohttpd may have work left for which no epoll event will come. */
  if (MHD_get_timeout (server->daemon, &timeout_ms) == MHD_YES)
    schedule_retry (server, (guint) MIN (timeout_ms, G_MAXINT));
}

static gboolean
on_retry (gpointer data)
{
  ((FtHttpServer *) data)->retry_source = 0;
  run_libmicrohttpd (data);
  return G_SOURCE_REMOVE;
}

static gboolean
on_overdue_timer (gpointer data)
{
  const FtHttpServer *server = data;
  ft_http_connections_close_overdue (server->connections, g_get_monotonic_time ());
  return G_SOURCE_CONTINUE;
}

static gboolean
on_readable (gint fd, GIOCondition condition, gpointer data)
{
  (void) fd;
  (void) condition;
  run_libmicrohttpd (data);
  return G_SOURCE_CONTINUE;
}

static struct MHD_Daemon *
start_daemon (FtHttpServer *server, const struct sockaddr *address)
{
  const unsigned flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  return MHD_start_daemon (flags, 0, NULL, NULL, on_request, server, MHD_OPTION_SOCK_ADDR, address,
                           MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_CONNECTION_LIMIT,
                           server->max_file_descriptors + FT_CONNECTIONS_SPARE, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                           (size_t) FT_CONNECTION_MEMORY, MHD_OPTION_CONNECTION_TIMEOUT, 0u,
                           MHD_OPTION_URI_LOG_CALLBACK, on_target, server, MHD_OPTION_NOTIFY_COMPLETED, on_completed,
                           NULL, MHD_OPTION_NOTIFY_CONNECTION, on_connection, server, MHD_OPTION_END);
}

static GSocketAddress *
parse_address (const char *addr)
{
  g_auto (GStrv) parts = g_strsplit (addr, ":", 2);
  if (g_strv_length (parts) != 2)
    return NULL;
  return g_inet_socket_address_new_from_string (parts[0], (guint) g_ascii_strtoull (parts[1], NULL, 10));
}

FtHttpServer *
ft_http_server_new (const char *addr, FtBodyKind kind, guint max_file_descriptors, FtHttpHandler handler, gpointer data,
                    GError **error)
{
  g_autoptr (GSocketAddress) address = parse_address (addr);
  struct sockaddr_storage native;
  if (address == NULL || !g_socket_address_to_native (address, &native, sizeof native, NULL)) {
    g_set_error (error, FT_HTTP_ERROR, FT_HTTP_ERROR_ADDRESS, "%s is not an address and a port", addr);
    return NULL;
  }
  g_autoptr (FtHttpServer) server = g_new0 (FtHttpServer, 1);
  server->kind = kind;
  server->handler = handler;
  server->data = data;
  server->max_file_descriptors = max_file_descriptors;
  server->waiting = g_hash_table_new (g_direct_hash, g_direct_equal);
  server->connections = ft_http_connections_new (max_file_descriptors);
  server->daemon = start_daemon (server, (const struct sockaddr *) &native);
  if (server->daemon == NULL) {
    g_set_error (error, FT_HTTP_ERROR, FT_HTTP_ERROR_LISTEN, "%s cannot be listened on", addr);
    return NULL;
  }
  int fd = MHD_get_daemon_info (server->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
  server->epoll_source = g_unix_fd_add (fd, G_IO_IN, on_readable, server);
  server->overdue_source = g_timeout_add (FT_CONNECTIONS_CHECK_MS, on_overdue_timer, server);
  return g_steal_pointer (&server);
}

/* libmicrohttpd must not be stopped while connections are suspended. Every waiting request is therefore
 * answered with 503 and its connection resumed. Requests that arrive during the last run get 503 too. */
static void
stop (FtHttpServer *server)
{
  server->stopping = TRUE;
  GHashTableIter it;
  gpointer key;
  g_hash_table_iter_init (&it, server->waiting);
  while (g_hash_table_iter_next (&it, &key, NULL)) {
    FtHttpRequest *request = key;
    set_unavailable (server, request);
    request->server = NULL;
    MHD_resume_connection (request->connection);
  }
  MHD_run (server->daemon);
  MHD_stop_daemon (server->daemon);
}

void
ft_http_server_free (FtHttpServer *server)
{
  if (server == NULL)
    return;
  g_clear_handle_id (&server->epoll_source, g_source_remove);
  g_clear_handle_id (&server->retry_source, g_source_remove);
  g_clear_handle_id (&server->overdue_source, g_source_remove);
  if (server->daemon != NULL)
    stop (server);
  g_hash_table_unref (server->waiting);
  ft_http_connections_free (server->connections);
  g_free (server);
}

guint
ft_http_server_connections (const FtHttpServer *server)
{
  return ft_http_connections_count (server->connections);
}

guint
ft_http_server_turn (const FtHttpServer *server)
{
  return server->turn;
}
