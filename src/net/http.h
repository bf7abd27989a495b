/* HTTP/1.1: a server on libmicrohttpd, a client on libcurl, both driven by the GLib main loop of the
 * thread that made them, and used on that thread only. Nothing here blocks.
 *
 * Bodies are trees of jansson values: users, workers, the cloud and the key-value store speak CBOR,
 * the peers and the administration API JSON. Users of this header: every endpoint (front.h,
 * admin.h, peers.c), every client of a service (store_client.h, leader_*.c, controller.c) and flintctl. */
#pragma once
#include <glib.h>
#include <jansson.h>

/**
 * FtHttpStatus:
 * @FT_HTTP_NO_ANSWER: no answer came in time: the request may have been carried out all the same
 * @FT_HTTP_MISDIRECTED: another controller is to be asked, which the body names if it is known
 * @FT_HTTP_UNPROCESSABLE: well formed, but never acceptable
 * @FT_HTTP_UNAVAILABLE: not now: to be repeated after the seconds that Retry-After names
 *
 * The statuses that flintrack sends and distinguishes; the others have their standard meaning.
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

typedef enum { FT_BODY_CBOR, FT_BODY_JSON } FtBodyKind;

/**
 * ft_http_content_type:
 *
 * Returns: the Content-Type of a body of that kind
 */
const char *ft_http_content_type (FtBodyKind kind);

/**
 * ft_http_encode:
 *
 * Returns: (transfer full): the body's bytes
 */
GBytes *ft_http_encode (FtBodyKind kind, const json_t *body);

/**
 * ft_http_decode:
 *
 * Returns: (transfer full) (nullable): the body, or %NULL if it is malformed or empty
 */
json_t *ft_http_decode (FtBodyKind kind, const guint8 *data, gsize size);

/* ---- server ---- */

/**
 * FtHttpError:
 * @FT_HTTP_ERROR_ADDRESS: what is to be listened on is no "ADDRESS:PORT"
 * @FT_HTTP_ERROR_LISTEN: the address cannot be listened on, as when it is in use
 *
 * Why a server could not be started.
 */
typedef enum { FT_HTTP_ERROR_ADDRESS, FT_HTTP_ERROR_LISTEN } FtHttpError;
#define FT_HTTP_ERROR (ft_http_error_quark ())
/* The domain of FtHttpError. */
GQuark ft_http_error_quark (void);

/* A listener with its connections. Owned by the node, or a test, that made it. */
typedef struct _FtHttpServer FtHttpServer;
/* A request from its arrival until ft_http_respond(), which frees it for its handler. */
typedef struct _FtHttpRequest FtHttpRequest;

/**
 * FtHttpHandler:
 * @request: (transfer full): the request
 * @data: the handler's data
 *
 * Called once for each request; must lead to exactly one ft_http_respond() for it, at once or later.
 */
typedef void (*FtHttpHandler) (FtHttpRequest *request, gpointer data);

/**
 * ft_http_server_new:
 * @addr: "ADDRESS:PORT" to listen on
 * @kind: how bodies are encoded in both directions
 * @most: connections that are kept open; those beyond are closed with their next answer
 * @handler: called for each request
 * @data: for @handler; outlives the server
 * @error: of the domain %FT_HTTP_ERROR
 *
 * Returns: (transfer full): the server, listening; %NULL with @error set if it cannot
 */
FtHttpServer *ft_http_server_new (const char *addr, FtBodyKind kind, guint most, FtHttpHandler handler, gpointer data,
                                  GError **error);

/**
 * ft_http_server_free:
 * @server: (transfer full) (nullable): the server
 *
 * Closes all connections. Requests that were not answered yet get 503; their handlers still have to
 * call ft_http_respond(), which then only frees them.
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
 * Returns: the number of the server's present turn: the requests of one turn are handled without a
 *   return to the main loop between them
 */
guint ft_http_server_turn (const FtHttpServer *server);

/**
 * ft_http_method:
 *
 * Returns: the request's method, borrowed until it is answered
 */
const char *ft_http_method (const FtHttpRequest *request);

/**
 * ft_http_path:
 *
 * Returns: the path without the query, borrowed until the request is answered
 */
const char *ft_http_path (const FtHttpRequest *request);

/**
 * ft_http_query:
 *
 * Returns: the query without its question mark, borrowed until the request is answered; may be empty
 */
const char *ft_http_query (const FtHttpRequest *request);

/**
 * ft_http_body:
 *
 * Decodes the body at its first call.
 *
 * Returns: (nullable): the body, borrowed until the request is answered; %NULL if it is malformed,
 *   missing or larger than FT_BODY_MAX
 */
const json_t *ft_http_body (FtHttpRequest *request);

/**
 * ft_http_raw_body:
 * @size: (out): its bytes
 *
 * Returns: (nullable): the body as it came, borrowed until the request is answered; %NULL if it is
 *   larger than FT_BODY_MAX
 */
const guint8 *ft_http_raw_body (const FtHttpRequest *request, gsize *size);

/**
 * ft_http_respond:
 * @request: (transfer full): not to be used afterwards
 * @status: an FtHttpStatus, or any other HTTP status
 * @body: (transfer full) (nullable): the answer's body
 *
 * Answers the request. 503 and 429 carry Retry-After of FT_RETRY_AFTER_S.
 */
void ft_http_respond (FtHttpRequest *request, guint status, json_t *body);

/**
 * ft_http_close_after_response:
 *
 * Has the connection end with the answer, which is still to be given.
 */
void ft_http_close_after_response (FtHttpRequest *request);

/**
 * ft_http_unavailable:
 * @request: (transfer full): not to be used afterwards
 *
 * Answers 503 without a body.
 */
void ft_http_unavailable (FtHttpRequest *request);

/* ---- client ---- */

/* Connections to a group of servers, with their limits. */
typedef struct _FtHttpClient FtHttpClient;

/**
 * FtHttpDone:
 * @status: the answer's HTTP status; %FT_HTTP_NO_ANSWER when none came
 * @body: (nullable): the answer's body, borrowed for the call; %NULL if it is missing or malformed
 * @data: what was passed with the request
 *
 * Called once for each request, from the main loop.
 */
typedef void (*FtHttpDone) (guint status, const json_t *body, gpointer data);

/**
 * FtHttpRawDone:
 * @status: the answer's HTTP status; %FT_HTTP_NO_ANSWER when none came
 * @body: the answer's body as it came, borrowed for the call, for a decoder of its own
 * @size: its bytes
 * @data: what was passed with the request
 *
 * Called once for each request, from the main loop.
 */
typedef void (*FtHttpRawDone) (guint status, const guint8 *body, gsize size, gpointer data);

/**
 * ft_http_client_new:
 * @per_host: connections to one host at most
 * @most: connections in all at most; requests beyond wait for a free one
 *
 * Returns: (transfer full): a client without connections
 */
FtHttpClient *ft_http_client_new (guint per_host, guint most);

/**
 * ft_http_client_free:
 * @client: (transfer full) (nullable): the client
 *
 * Drops the requests under way; their callbacks are not called.
 */
void ft_http_client_free (FtHttpClient *client);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtHttpClient, ft_http_client_free)

/**
 * ft_http_send:
 * @method: the method
 * @addr: "ADDRESS:PORT"
 * @path: the path, with its query
 * @kind: how both bodies are encoded
 * @body: (nullable): the request's body; not kept
 * @timeout_s: seconds until the request counts as unanswered, the wait for a connection included
 * @once: whether the library must not send the request again by itself, which it does when a
 *   connection that was kept turns out to be closed: it gets a new connection of its own
 * @done: called once, unless the client is freed before
 * @data: for @done
 *
 * Sends a request.
 */
void ft_http_send (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
                   const json_t *body, double timeout_s, gboolean once, FtHttpDone done, gpointer data);

/**
 * ft_http_send_raw:
 *
 * The same as ft_http_send(), but the answer's body is passed on undecoded.
 */
void ft_http_send_raw (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
                       const json_t *body, double timeout_s, gboolean once, FtHttpRawDone done, gpointer data);
