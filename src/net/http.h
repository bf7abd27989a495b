/* HTTP server on libmicrohttpd, client on libcurl. Bodies are value trees; users,
 * workers, cloud and state service speak CBOR, the peers and the admin API JSON. */
#pragma once
#include <glib.h>
#include <jansson.h>

typedef enum { FT_BODY_CBOR, FT_BODY_JSON } FtBodyKind;

/* ---- bodies ---- */
const char *ft_http_content_type (FtBodyKind kind);
GBytes *ft_http_encode (FtBodyKind kind, const json_t *body);
/* NULL if it is malformed or empty. */
json_t *ft_http_decode (FtBodyKind kind, const guint8 *data, gsize size);

/* ---- server ---- */
typedef struct _FtHttpServer FtHttpServer;
typedef struct _FtHttpRequest FtHttpRequest;
/* Called once per request; must lead to exactly one ft_http_respond(), now or later. */
typedef void (*FtHttpHandler) (FtHttpRequest *request, gpointer data);

/* NULL and `error` set if the address cannot be listened on. `most` open connections are kept. */
FtHttpServer *ft_http_server_new (const char *addr, FtBodyKind kind, guint most, FtHttpHandler handler, gpointer data,
                                  GError **error);
void ft_http_server_free (FtHttpServer *server);
guint ft_http_server_connections (const FtHttpServer *server);
/* Number of the server's round: requests of one round are handled without the main
 * loop in between. */
guint ft_http_server_turn (const FtHttpServer *server);

const char *ft_http_method (const FtHttpRequest *request);
const char *ft_http_path (const FtHttpRequest *request);
/* The query without its question mark; may be empty. */
const char *ft_http_query (const FtHttpRequest *request);
/* The decoded body; NULL if it is malformed, too large or missing. Borrowed. */
const json_t *ft_http_body (FtHttpRequest *request);
/* The body as it came; NULL if it is too large. Borrowed. */
const guint8 *ft_http_raw (const FtHttpRequest *request, gsize *size);
/* Takes `body` (may be NULL) and frees the request. */
void ft_http_respond (FtHttpRequest *request, guint status, json_t *body);
/* The connection ends with the answer. */
void ft_http_close (FtHttpRequest *request);
/* 503 with Retry-After, at once. */
void ft_http_unavailable (FtHttpRequest *request);

/* ---- client ---- */
typedef struct _FtHttpClient FtHttpClient;
/* `status` is 0 when no answer came; `body` is NULL if there is none or it is
 * malformed. Borrowed for the call. */
typedef void (*FtHttpDone) (guint status, const json_t *body, gpointer data);

/* The same with the answer's body as it came, for a decoder of its own. */
typedef void (*FtHttpRawDone) (guint status, const guint8 *body, gsize size, gpointer data);

FtHttpClient *ft_http_client_new (guint per_host, guint most);
void ft_http_client_free (FtHttpClient *client);
/* `body` may be NULL and stays the caller's. `once`: the request must not be
 * sent again by the library, so it gets a connection of its own. */
void ft_http_send (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
                   const json_t *body, double timeout_s, gboolean once, FtHttpDone done, gpointer data);
void ft_http_send_raw (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
                       const json_t *body, double timeout_s, gboolean once, FtHttpRawDone done, gpointer data);
