/* The HTTP client: libcurl's multi interface, driven by the main loop through one epoll descriptor.
 *
 * One main loop source for each socket costs more CPU time, since the source must be recreated whenever
 * libcurl waits for another event. libsoup's client needs several times the CPU time for a request on a
 * new connection, and a new leader sends such a request to every machine after a failover.
 * docs/design.md has the measurement. */
#include <curl/curl.h>
#include <glib-unix.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "core/constants.h"
#include "net/http.h"

struct _FtHttpClient {
  CURLM *multi;
  struct curl_slist *headers[FT_BODY_JSON + 1]; /* of a request, indexed by FtBodyKind */
  GHashTable *calls;                            /* set of Call in flight */
  GQueue spare_handles;                         /* CURL handles for later requests */
  guint timer;                                  /* main loop source of libcurl's timeout; 0: none */
  guint socket_source;                          /* main loop source of `epoll_fd` */
  int epoll_fd;                                 /* epoll set of libcurl's sockets */
};

/* A request in flight. The client's set of calls owns it. */
typedef struct {
  FtHttpClient *client;
  CURL *easy;
  FtBodyKind kind;
  GBytes *body;           /* encoded body of the request; NULL: none */
  GByteArray *answer;     /* bytes of the answer's body received so far */
  FtHttpDone done;        /* NULL: `raw_done` is set instead */
  FtHttpRawDone raw_done; /* NULL: `done` is set instead */
  gpointer data;
} Call;

static void
call_free (Call *call)
{
  curl_easy_reset (call->easy);
  g_queue_push_tail (&call->client->spare_handles, call->easy);
  g_clear_pointer (&call->body, g_bytes_unref);
  g_byte_array_unref (call->answer);
  g_free (call);
}

static void
call_complete (Call *call, CURLcode code)
{
  long status = FT_HTTP_NO_ANSWER;
  if (code == CURLE_OK)
    curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  curl_multi_remove_handle (call->client->multi, call->easy);
  g_hash_table_remove (call->client->calls, call);
  if (call->raw_done != NULL) {
    call->raw_done ((guint) status, call->answer->data, call->answer->len, call->data);
  } else {
    gboolean answered = status != FT_HTTP_NO_ANSWER;
    json_auto_t *body = answered ? ft_http_decode (call->kind, call->answer->data, call->answer->len) : NULL;
    call->done ((guint) status, body, call->data);
  }
  call_free (call);
}

static void
complete_finished (FtHttpClient *client)
{
  CURLMsg *msg;
  int remaining;
  while ((msg = curl_multi_info_read (client->multi, &remaining)) != NULL) {
    Call *call;
    if (msg->msg != CURLMSG_DONE)
      continue;
    CURLcode code = msg->data.result;
    curl_easy_getinfo (msg->easy_handle, CURLINFO_PRIVATE, (char **) &call);
    call_complete (call, code);
  }
}

/* Handling one event may close the socket of a later event in the same batch, and a new socket may get
 * the same descriptor. libcurl then gets that later event for the wrong socket, which it tolerates. */
static gboolean
on_sockets_ready (gint fd, GIOCondition condition, gpointer data)
{
  FtHttpClient *client = data;
  struct epoll_event events[FT_EVENTS_AT_ONCE];
  (void) condition;
  int n = epoll_wait (fd, events, G_N_ELEMENTS (events), 0), running;
  for (int i = 0; i < n; i++) {
    uint32_t mask = events[i].events;
    int ready = (mask & EPOLLIN ? CURL_CSELECT_IN : 0) | (mask & EPOLLOUT ? CURL_CSELECT_OUT : 0)
                | (mask & (EPOLLERR | EPOLLHUP) ? CURL_CSELECT_ERR : 0);
    curl_multi_socket_action (client->multi, events[i].data.fd, ready, &running);
  }
  complete_finished (client);
  return G_SOURCE_CONTINUE;
}

static int
watch_socket (CURL *easy, curl_socket_t fd, int what, void *data, void *socket_data)
{
  FtHttpClient *client = data;
  struct epoll_event event = { .data.fd = fd };
  (void) easy;
  if (what == CURL_POLL_REMOVE) {
    epoll_ctl (client->epoll_fd, EPOLL_CTL_DEL, fd, &event);
    return 0;
  }
  event.events = (what & CURL_POLL_IN ? EPOLLIN : 0u) | (what & CURL_POLL_OUT ? EPOLLOUT : 0u);
  if (socket_data != NULL && epoll_ctl (client->epoll_fd, EPOLL_CTL_MOD, fd, &event) == 0)
    return 0;
  /* libcurl passes `client` as `socket_data` from now on, which marks the socket as being in the epoll set. */
  curl_multi_assign (client->multi, fd, client);
  return epoll_ctl (client->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

static gboolean
on_timer (gpointer data)
{
  FtHttpClient *client = data;
  int running;
  client->timer = 0;
  curl_multi_socket_action (client->multi, CURL_SOCKET_TIMEOUT, 0, &running);
  complete_finished (client);
  return G_SOURCE_REMOVE;
}

static int
set_timer (CURLM *multi, long after_ms, void *data)
{
  FtHttpClient *client = data;
  (void) multi;
  g_clear_handle_id (&client->timer, g_source_remove);
  if (after_ms == 0)
    client->timer = g_idle_add_full (G_PRIORITY_DEFAULT, on_timer, client, NULL);
  else if (after_ms > 0)
    client->timer = g_timeout_add ((guint) after_ms, on_timer, client);
  return 0;
}

/* Returns the headers of a request. The empty "Accept:" and "Expect:" stop libcurl from adding its own. */
static struct curl_slist *
header_list (FtBodyKind kind)
{
  g_autofree char *type = g_strconcat ("Content-Type: ", ft_http_content_type (kind), NULL);
  struct curl_slist *list = curl_slist_append (NULL, type);
  list = curl_slist_append (list, "Accept:");
  return curl_slist_append (list, "Expect:");
}

FtHttpClient *
ft_http_client_new (guint max_per_host, guint max_file_descriptors)
{
  static gsize ready;
  if (g_once_init_enter (&ready)) {
    curl_global_init (CURL_GLOBAL_NOTHING); /* no TLS: only plain HTTP is used */
    g_once_init_leave (&ready, 1);
  }
  FtHttpClient *client = g_new0 (FtHttpClient, 1);
  client->multi = curl_multi_init ();
  client->calls = g_hash_table_new (g_direct_hash, g_direct_equal);
  g_queue_init (&client->spare_handles);
  client->epoll_fd = epoll_create1 (EPOLL_CLOEXEC);
  client->socket_source = g_unix_fd_add (client->epoll_fd, G_IO_IN, on_sockets_ready, client);
  for (int kind = 0; kind <= FT_BODY_JSON; kind++)
    client->headers[kind] = header_list ((FtBodyKind) kind);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETFUNCTION, watch_socket);
  curl_multi_setopt (client->multi, CURLMOPT_SOCKETDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERFUNCTION, set_timer);
  curl_multi_setopt (client->multi, CURLMOPT_TIMERDATA, client);
  curl_multi_setopt (client->multi, CURLMOPT_PIPELINING, (long) CURLPIPE_NOTHING);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_HOST_CONNECTIONS, (long) max_per_host);
  curl_multi_setopt (client->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS, (long) max_file_descriptors);
  curl_multi_setopt (client->multi, CURLMOPT_MAXCONNECTS, (long) max_file_descriptors);
  return client;
}

void
ft_http_client_free (FtHttpClient *client)
{
  if (client == NULL)
    return;
  g_autoptr (GList) calls = g_hash_table_get_keys (client->calls);
  for (GList *link = calls; link != NULL; link = link->next) {
    Call *call = link->data;
    curl_multi_remove_handle (client->multi, call->easy);
    call_free (call);
  }
  CURL *easy;
  while ((easy = g_queue_pop_head (&client->spare_handles)) != NULL)
    curl_easy_cleanup (easy);
  curl_multi_cleanup (client->multi);
  g_source_remove (client->socket_source);
  close (client->epoll_fd);
  g_clear_handle_id (&client->timer, g_source_remove);
  for (int kind = 0; kind <= FT_BODY_JSON; kind++)
    curl_slist_free_all (client->headers[kind]);
  g_hash_table_unref (client->calls);
  g_free (client);
}

static size_t
on_data (char *data, size_t size, size_t n, void *user)
{
  Call *call = user;
  if (call->answer->len + size * n > FT_ANSWER_MAX)
    return 0; /* libcurl then fails the request */
  g_byte_array_append (call->answer, (const guint8 *) data, (guint) (size * n));
  return size * n;
}

static void
set_options (Call *call, const char *method, const char *uri, double timeout_s, gboolean no_resend)
{
  CURL *easy = call->easy;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, call);
  curl_easy_setopt (easy, CURLOPT_URL, uri);
  curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, method);
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long) CURL_HTTP_VERSION_1_1);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long) (timeout_s * 1000));
  curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN, (long) FT_CLIENT_IDLE_S);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_data);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->client->headers[call->kind]);
  /* libcurl resends a request only on a reused connection, never on a new one. */
  curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, no_resend ? 1L : 0L);
  curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, no_resend ? 1L : 0L);
  if (call->body == NULL)
    return;
  gsize size;
  const void *data = g_bytes_get_data (call->body, &size);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDSIZE, (long) size);
  curl_easy_setopt (easy, CURLOPT_POSTFIELDS, data);
}

/* Exactly one of `done` and `raw_done` is not NULL. */
static void
send_call (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
           const json_t *body, double timeout_s, gboolean no_resend, FtHttpDone done, FtHttpRawDone raw_done,
           gpointer data)
{
  g_autofree char *uri = g_strconcat ("http://", addr, path, NULL);
  Call *call = g_new0 (Call, 1);
  call->client = client;
  call->kind = kind;
  call->answer = g_byte_array_new ();
  call->done = done;
  call->raw_done = raw_done;
  call->data = data;
  call->easy = g_queue_pop_head (&client->spare_handles);
  if (call->easy == NULL)
    call->easy = curl_easy_init ();
  if (body != NULL)
    call->body = ft_http_encode (kind, body);
  set_options (call, method, uri, timeout_s, no_resend);
  g_hash_table_add (client->calls, call);
  curl_multi_add_handle (client->multi, call->easy);
}

void
ft_http_send (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
              const json_t *body, double timeout_s, gboolean no_resend, FtHttpDone done, gpointer data)
{
  send_call (client, method, addr, path, kind, body, timeout_s, no_resend, done, NULL, data);
}

void
ft_http_send_raw (FtHttpClient *client, const char *method, const char *addr, const char *path, FtBodyKind kind,
                  const json_t *body, double timeout_s, gboolean no_resend, FtHttpRawDone done, gpointer data)
{
  send_call (client, method, addr, path, kind, body, timeout_s, no_resend, NULL, done, data);
}
