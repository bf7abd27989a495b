#include "ctl/transport.h"

#include "core/constants.h"
#include "ctl/error.h"
#include "net/http.h"

enum {
  /* Greatest number of connections to one controller. Requests are sent one at a time, but an earlier connection may
   * still be closing. */
  CONNECTIONS_PER_HOST = 2,
  /* Greatest number of connections to all controllers together, with room for connections that are still closing. */
  CONNECTIONS_MAX = 4,
  /* HTTP status of a successful request. */
  STATUS_OK = 200,
  /* HTTP status of a follower's answer to a request that only the leader can handle. The body contains the leader's
   * address if the follower knows it. */
  STATUS_NOT_LEADER = 421,
};

struct _FtCtlTransport {
  FtHttpClient *client;
  char *const *nodes;
  GPtrArray *unanswered; /* addresses of the controllers that did not answer, owned, without duplicates */
};

/* A request, which is sent to the controllers one after the other. */
typedef struct {
  const char *method;
  const char *path;
  const json_t *body;
} Request;

/* The answer of one controller. */
typedef struct {
  GMainLoop *loop; /* runs until the answer or the time-out; NULL afterwards */
  guint status;    /* HTTP status; 0: the controller did not answer */
  json_t *body;    /* owned; NULL: the answer has no body, or the body is malformed */
} Answer;

FtCtlTransport *
ft_ctl_transport_new (char *const *nodes)
{
  FtCtlTransport *transport = g_new0 (FtCtlTransport, 1);
  transport->client = ft_http_client_new (CONNECTIONS_PER_HOST, CONNECTIONS_MAX);
  transport->nodes = nodes;
  transport->unanswered = g_ptr_array_new_with_free_func (g_free);
  return transport;
}

void
ft_ctl_transport_free (FtCtlTransport *transport)
{
  if (transport == NULL)
    return;
  ft_http_client_free (transport->client);
  g_ptr_array_unref (transport->unanswered);
  g_free (transport);
}

const GPtrArray *
ft_ctl_transport_unanswered (const FtCtlTransport *transport)
{
  return transport->unanswered;
}

static void
note_unanswered (FtCtlTransport *transport, const char *address)
{
  if (!g_ptr_array_find_with_equal_func (transport->unanswered, address, g_str_equal, NULL))
    g_ptr_array_add (transport->unanswered, g_strdup (address));
}

static void
on_answer (guint status, const json_t *body, gpointer data)
{
  Answer *answer = data;
  answer->status = status;
  answer->body = json_incref ((json_t *) body);
  g_main_loop_quit (answer->loop);
}

/* Sends the request to one controller and waits for the answer. Returns TRUE with `answer` set if the controller has
 * answered; the caller then owns the body. Returns FALSE if it has not. A successful status without a JSON object
 * counts as no answer, because the program at that address is not a controller. */
static gboolean
send_to_node (FtCtlTransport *transport, const char *address, const Request *request, Answer *answer)
{
  g_autoptr (GMainLoop) loop = g_main_loop_new (NULL, FALSE);
  *answer = (Answer){ .loop = loop };
  ft_http_send (transport->client, request->method, address, request->path, FT_BODY_JSON, request->body,
                FT_CTL_TIMEOUT_S, TRUE, on_answer, answer);
  g_main_loop_run (loop);
  answer->loop = NULL;
  if (answer->status != 0 && (answer->status != STATUS_OK || json_is_object (answer->body)))
    return TRUE;
  g_clear_pointer (&answer->body, json_decref);
  note_unanswered (transport, address);
  return FALSE;
}

/* Sends the request to one controller. If that controller is a follower and returns the leader's address, sends the
 * request to the leader. */
static gboolean
send_to_node_or_leader (FtCtlTransport *transport, const char *address, const Request *request, Answer *answer)
{
  if (!send_to_node (transport, address, request, answer))
    return FALSE;
  const char *leader = json_string_value (json_object_get (answer->body, "addr"));
  if (answer->status != STATUS_NOT_LEADER || leader == NULL)
    return TRUE;
  json_t *not_leader = answer->body; /* owns the text of `leader` */
  gboolean answered = send_to_node (transport, leader, request, answer);
  json_decref (not_leader);
  return answered;
}

/* Sends the request to one controller after the other until one has answered. */
static gboolean
send_to_any_node (FtCtlTransport *transport, const Request *request, Answer *answer)
{
  for (guint i = 0; transport->nodes[i] != NULL; i++)
    if (send_to_node_or_leader (transport, transport->nodes[i], request, answer))
      return TRUE;
  return FALSE;
}

static void
set_no_answer (const FtCtlTransport *transport, GError **error)
{
  g_autoptr (GString) addresses = g_string_new (NULL);
  for (guint i = 0; i < transport->unanswered->len; i++)
    g_string_append_printf (addresses, "%s%s", i > 0 ? ", " : "",
                            (const char *) g_ptr_array_index (transport->unanswered, i));
  g_set_error (error, FT_CTL_ERROR, FT_CTL_ERROR_NO_ANSWER, "no controller answered: %s", addresses->str);
}

json_t *
ft_ctl_transport_request (FtCtlTransport *transport, const char *method, const char *path, const json_t *body,
                          GError **error)
{
  const Request request = { method, path, body };
  Answer answer = { 0 };
  if (!send_to_any_node (transport, &request, &answer)) {
    set_no_answer (transport, error);
    return NULL;
  }
  if (answer.status == STATUS_OK)
    return answer.body;
  const char *reason = json_string_value (json_object_get (answer.body, "error"));
  g_set_error (error, FT_CTL_ERROR, FT_CTL_ERROR_REFUSED, "%s (%u)", reason != NULL ? reason : "refused",
               answer.status);
  json_decref (answer.body);
  return NULL;
}
