/* HTTP/1.1 server on libmicrohttpd and HTTP/1.1 client on libcurl. The GLib main loop of the thread that
 * creates a server or a client drives it, and only that thread may use it. No function here blocks.
 *
 * A body is a tree of jansson values. Users, workers, the cloud and the key-value store encode it as
 * CBOR; the peers and the administration API encode it as JSON. This header is used by every endpoint
 * (front.h, admin.h, peers.c), by every client of a service (store_client.h, leader_*.c, controller.c)
 * and by flintctl. */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * FtHttpStatus:
 * @FT_HTTP_NO_ANSWER: not an HTTP status; no answer came in time, but the server may have executed the request
 * @FT_HTTP_MISDIRECTED: the sender must send the request to the leader; the body names the leader if
 *   this controller knows it
 * @FT_HTTP_UNPROCESSABLE: the request is well formed, but will never be accepted
 * @FT_HTTP_UNAVAILABLE: the request cannot be served now; the sender may retry it after the number of
 *   seconds in the Retry-After header
 *
 * The statuses that flintrack sends and distinguishes. Statuses without a description here have their
 * standard meaning.
 */
typedef enum {
  FT_HTTP_NO_ANSWER = 0,
  FT_HTTP_OK = 200,
  FT_HTTP_CREATED = 201,
  FT_HTTP_BAD_REQUEST = 400,
  FT_HTTP_NOT_FOUND = 404,
  FT_HTTP_METHOD_NOT_ALLOWED = 405,
  FT_HTTP_CONFLICT = 409,
  FT_HTTP_MISDIRECTED = 421,
  FT_HTTP_UNPROCESSABLE = 422,
  FT_HTTP_TOO_MANY_REQUESTS = 429,
  FT_HTTP_UNAVAILABLE = 503,
} FtHttpStatus;

/* ---- bodies ---- */

/* The encoding of a body. */
typedef enum { FT_BODY_CBOR, FT_BODY_JSON } FtBodyKind;

/**
 * ft_http_content_type:
 *
 * Returns: (transfer none): the Content-Type header's value for a body of that kind
 */
const char *ft_http_content_type (FtBodyKind kind);

/**
 * ft_http_encode:
 *
 * Returns: (transfer full): the encoded body
 */
GBytes *ft_http_encode (FtBodyKind kind, const json_t *body);

/**
 * ft_http_decode:
 *
 * Returns: (transfer full) (nullable): the decoded body; %NULL if the bytes are malformed or @size is 0
 */
json_t *ft_http_decode (FtBodyKind kind, const guint8 *data, gsize size);

/* ---- server ---- */

/**
 * FtHttpError:
 * @FT_HTTP_ERROR_ADDRESS: the address is not of the form "ADDRESS:PORT" with a numeric IP address
 * @FT_HTTP_ERROR_LISTEN: the server cannot listen on the address, for example because the port is in use
 *
 * The reason why a server could not be started.
 */
typedef enum { FT_HTTP_ERROR_ADDRESS, FT_HTTP_ERROR_LISTEN } FtHttpError;
#define FT_HTTP_ERROR (ft_http_error_quark ())
/* Returns the error domain of FtHttpError; used through %FT_HTTP_ERROR. */
GQuark ft_http_error_quark (void);

/* A listening socket and its connections. The node or the test that creates the server owns it. */
typedef struct _FtHttpServer FtHttpServer;
/* A received request. Its handler owns it until it is answered by ft_http_respond() or ft_http_unavailable(). */
typedef struct _FtHttpRequest FtHttpRequest;

/**
 * FtHttpHandler:
 * @request: (transfer full): the request
 * @data: the handler's data
 *
 * Called once for each request. The handler answers the request by exactly one call of
 * ft_http_respond() or ft_http_unavailable(), either before the handler returns or later.
 */
typedef void (*FtHttpHandler) (FtHttpRequest *request, gpointer data);

/**
 * ft_http_server_new:
 * @addr: the address to listen on, as "ADDRESS:PORT" with a numeric IP address
 * @kind: the encoding of the bodies of requests and answers
 * @max_file_descriptors: the number of connections that may stay open; while more are open, the server
 *   closes each connection after its next answer
 * @handler: called for each request
 * @data: passed to @handler; must outlive the server
 * @error: set on failure to an %FT_HTTP_ERROR
 *
 * Returns: (transfer full): the server, which already listens; %NULL with @error set on failure
 */
FtHttpServer *ft_http_server_new (const char *addr, FtBodyKind kind, guint max_file_descriptors, FtHttpHandler handler,
                                  gpointer data, GError **error);

/**
 * ft_http_server_free:
 * @server: (transfer full) (nullable): the server
 *
 * Closes all connections. A request that its handler has not answered yet is answered with 503. Its
 * handler must still call ft_http_respond(), which then only frees the request.
 */
void ft_http_server_free (FtHttpServer *server);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtHttpServer, ft_http_server_free)

/**
 * ft_http_server_connections:
 *
 * Returns: the number of open connections
 */
guint ft_http_server_connections (const FtHttpServer *server);

/**
 * ft_http_server_turn:
 *
 * Returns: the number of the server's current turn. A turn is one run of libmicrohttpd, which may handle
 *   several requests before it returns to the main loop.
 */
guint ft_http_server_turn (const FtHttpServer *server);

/**
 * ft_http_method:
 *
 * Returns: (transfer none): the HTTP method, for example "GET"; valid until the request is answered
 */
const char *ft_http_method (const FtHttpRequest *request);

/**
 * ft_http_path:
 *
 * Returns: (transfer none): the path without the query; valid until the request is answered
 */
const char *ft_http_path (const FtHttpRequest *request);

/**
 * ft_http_query:
 *
 * Returns: (transfer none): the query without its question mark, "" if there is none; valid until the
 *   request is answered
 */
const char *ft_http_query (const FtHttpRequest *request);

/**
 * ft_http_body:
 *
 * The first call for a request decodes the body; later calls return the same tree.
 *
 * Returns: (transfer none) (nullable): the decoded body, valid until the request is answered; %NULL if
 *   the body is malformed, missing or larger than FT_BODY_MAX
 */
const json_t *ft_http_body (FtHttpRequest *request);

/**
 * ft_http_raw_body:
 * @size: (out): the number of bytes received, at most FT_BODY_MAX
 *
 * Returns: (transfer none) (nullable): the body as received, not decoded, valid until the request is
 *   answered; %NULL if the body is empty or larger than FT_BODY_MAX
 */
const guint8 *ft_http_raw_body (const FtHttpRequest *request, gsize *size);

/**
 * ft_http_respond:
 * @request: (transfer full): must not be used after the call
 * @status: an FtHttpStatus, or any other HTTP status
 * @body: (transfer full) (nullable): the answer's body
 *
 * Answers the request. Answers with status 503 or 429 carry a Retry-After header of FT_RETRY_AFTER_S
 * seconds.
 */
void ft_http_respond (FtHttpRequest *request, guint status, json_t *body);

/**
 * ft_http_close_after_response:
 *
 * Makes the server close the connection after it has sent the answer. Must be called before the request
 * is answered.
 */
void ft_http_close_after_response (FtHttpRequest *request);

/**
 * ft_http_unavailable:
 * @request: (transfer full): must not be used after the call
 *
 * Answers the request with 503 without a body.
 */
void ft_http_unavailable (FtHttpRequest *request);

/* ---- client ---- */

/* A client with its own connections and limits on their number. The module that creates it owns it. */
typedef struct _FtHttpClient FtHttpClient;

/**
 * FtHttpDone:
 * @status: the answer's HTTP status; %FT_HTTP_NO_ANSWER if no answer came
 * @body: (transfer none) (nullable): the decoded body of the answer, valid during the call; %NULL if it
 *   is missing or malformed
 * @data: the `data` argument of ft_http_send()
 *
 * Called from the main loop, once for each request unless the client is freed first.
 *
 * The contract of this and of every other completion callback in src/net: it is called once, and never before the
 * function that starts the operation has returned, whatever the result and however early it is known. Nor does
 * that function call the callbacks of earlier operations. The caller may therefore go on using what a callback
 * frees. A function that knows the result at once either returns it and says that the callback is not called, or
 * leaves the call to the main loop (see completion_queue.h). When the module that would call it is freed, the
 * callback is not called.
 */
typedef void (*FtHttpDone) (guint status, const json_t *body, gpointer data);

/**
 * FtHttpRawDone:
 * @status: the answer's HTTP status; %FT_HTTP_NO_ANSWER if no answer came
 * @body: (transfer none) (nullable): the body of the answer as received, which the caller decodes itself;
 *   valid during the call; may be %NULL if @size is 0
 * @size: the number of bytes in @body
 * @data: the `data` argument of ft_http_send_raw()
 *
 * Called from the main loop, once for each request unless the client is freed first; see #FtHttpDone.
 */
typedef void (*FtHttpRawDone) (guint status, const guint8 *body, gsize size, gpointer data);

/**
 * ft_http_client_new:
 * @max_per_host: the maximum number of connections to one host
 * @max_file_descriptors: the maximum number of connections to all hosts. While either limit is reached, further
 *   requests wait for a free connection.
 *
 * Returns: (transfer full): a client that has no connections yet
 */
FtHttpClient *ft_http_client_new (guint max_per_host, guint max_file_descriptors);

/**
 * ft_http_client_free:
 * @client: (transfer full) (nullable): the client
 *
 * Aborts the requests in flight without calling their callbacks.
 */
void ft_http_client_free (FtHttpClient *client);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtHttpClient, ft_http_client_free)

/**
 * ft_http_send:
 * @method: the HTTP method
 * @addr: the server's address, as "ADDRESS:PORT"
 * @path: the path, including the query if there is one
 * @kind: the encoding of the bodies of the request and the answer
 * @body: (transfer none) (nullable): the request's body; encoded before the call returns
 * @timeout_s: seconds until the request counts as unanswered, including the wait for a free connection
 * @no_resend: whether to prevent libcurl from resending the request. libcurl resends a request by itself
 *   if the server has closed the reused connection; with %TRUE the request gets a new connection, which
 *   is closed afterwards.
 * @done: called once, unless the client is freed first
 * @data: passed to @done
 *
 * Sends a request and returns at once.
 */
void ft_http_send (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
                   const json_t *body, double timeout_s, gboolean no_resend, FtHttpDone done, gpointer data);

/**
 * ft_http_send_raw:
 *
 * Does the same as ft_http_send(), except that @done gets the answer's body undecoded.
 */
void ft_http_send_raw (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
                       const json_t *body, double timeout_s, gboolean no_resend, FtHttpRawDone done, gpointer data);
