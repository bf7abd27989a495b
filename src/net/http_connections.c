#include "net/http_connections.h"

#include <sys/socket.h>

#include "core/constants.h"
#include "core/duration.h"

/* What a connection owes. */
typedef enum {
  OWES_REQUEST, /* a complete request, within FT_REQUEST_RECEIVE_S */
  OWES_NEXT,    /* its next request, within FT_CONNECTION_IDLE_S */
  OWES_NOTHING, /* its request is complete and not answered yet, or its socket has been shut down */
  DEBTS,        /* the number of the values above */
} Debt;

struct _FtHttpConnections {
  guint most;
  guint count;
  gsize body_bytes;      /* bytes of bodies that are kept, of all connections */
  GQueue by_debt[DEBTS]; /* FtHttpConnection, owned; those whose debt is oldest come first */
};

struct _FtHttpConnection {
  FtHttpConnections *owner;
  int socket;
  Debt debt;
  gint64 since;     /* when the debt began */
  gsize body_bytes; /* bytes of the request's body that are kept */
  GList link;       /* in FtHttpConnections.by_debt */
};

FtHttpConnections *
ft_http_connections_new (guint most)
{
  FtHttpConnections *connections = g_new0 (FtHttpConnections, 1);
  connections->most = most;
  for (guint i = 0; i < DEBTS; i++)
    g_queue_init (&connections->by_debt[i]);
  return connections;
}

guint
ft_http_connections_count (const FtHttpConnections *connections)
{
  return connections->count;
}

/* ---- debts ---- */

static void
add_to_queue (FtHttpConnection *connection, Debt debt, gint64 now)
{
  connection->debt = debt;
  connection->since = now;
  g_queue_push_tail_link (&connection->owner->by_debt[debt], &connection->link);
}

static void
set_debt (FtHttpConnection *connection, Debt debt, gint64 now)
{
  g_queue_unlink (&connection->owner->by_debt[connection->debt], &connection->link);
  add_to_queue (connection, debt, now);
}

/* Shuts the socket down, so that the server closes the connection as if the other side had. */
static void
close_connection (FtHttpConnection *connection, gint64 now)
{
  shutdown (connection->socket, SHUT_RDWR);
  set_debt (connection, OWES_NOTHING, now);
}

/* Looks at the bytes of the connection that wait to be read. Returns a positive number if there are some, 0 if the
 * other side has closed the connection, and a negative number otherwise. */
static gssize
peek (const FtHttpConnection *connection)
{
  char byte;
  return recv (connection->socket, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
}

/* Closes the connections that have had that debt for longer than `limit_s`, but at most `most` of them. Those whose
 * bytes wait to be read stay open, since it is this controller that is late. */
static void
close_longest (FtHttpConnections *connections, Debt debt, double limit_s, guint most, gint64 now)
{
  GList *next;
  guint closed = 0, examined = 0;
  for (GList *link = connections->by_debt[debt].head; link != NULL && closed < most; link = next) {
    FtHttpConnection *connection = link->data;
    next = link->next;
    if (now - connection->since <= ft_seconds (limit_s) || examined++ == FT_CONNECTIONS_EXAMINED)
      return;
    if (peek (connection) > 0)
      continue;
    close_connection (connection, now);
    closed++;
  }
}

/* Closes the connections that owe a request and will not bring it, since the other side has closed them. */
static void
close_abandoned (FtHttpConnections *connections, gint64 now)
{
  GList *next;
  for (GList *link = connections->by_debt[OWES_REQUEST].head; link != NULL; link = next) {
    next = link->next;
    if (peek (link->data) == 0)
      close_connection (link->data, now);
  }
}

void
ft_http_connections_close_overdue (FtHttpConnections *connections, gint64 now)
{
  close_abandoned (connections, now);
  if (connections->count > connections->most)
    close_longest (connections, OWES_REQUEST, FT_REQUEST_GRACE_S, connections->count - connections->most, now);
  close_longest (connections, OWES_REQUEST, FT_REQUEST_RECEIVE_S, G_MAXUINT, now);
  close_longest (connections, OWES_NEXT, FT_CONNECTION_IDLE_S, G_MAXUINT, now);
}

/* ---- events ---- */

FtHttpConnection *
ft_http_connections_opened (FtHttpConnections *connections, int socket, gint64 now)
{
  FtHttpConnection *connection = g_new0 (FtHttpConnection, 1);
  connection->owner = connections;
  connection->socket = socket;
  connection->link.data = connection;
  connections->count++;
  add_to_queue (connection, OWES_REQUEST, now);
  if (connections->count > connections->most)
    close_longest (connections, OWES_REQUEST, FT_REQUEST_GRACE_S, 1, now);
  return connection;
}

void
ft_http_connection_closed (FtHttpConnection *connection)
{
  FtHttpConnections *connections = connection->owner;
  g_queue_unlink (&connections->by_debt[connection->debt], &connection->link);
  connections->count--;
  connections->body_bytes -= connection->body_bytes;
  g_free (connection);
}

void
ft_http_connections_free (FtHttpConnections *connections)
{
  if (connections == NULL)
    return;
  for (guint i = 0; i < DEBTS; i++)
    while (!g_queue_is_empty (&connections->by_debt[i]))
      ft_http_connection_closed (g_queue_peek_head (&connections->by_debt[i]));
  g_free (connections);
}

void
ft_http_connection_request_begun (FtHttpConnection *connection, gint64 now)
{
  if (connection->debt == OWES_NEXT)
    set_debt (connection, OWES_REQUEST, now);
}

void
ft_http_connection_body_received (FtHttpConnection *connection, gsize bytes, gint64 now)
{
  FtHttpConnections *connections = connection->owner;
  connection->body_bytes += bytes;
  connections->body_bytes += bytes;
  if (connections->body_bytes > FT_BODY_BYTES_KEPT)
    close_longest (connections, OWES_REQUEST, FT_REQUEST_GRACE_S, 1, now);
}

void
ft_http_connection_request_complete (FtHttpConnection *connection)
{
  set_debt (connection, OWES_NOTHING, connection->since);
}

void
ft_http_connection_request_over (FtHttpConnection *connection, gint64 now)
{
  connection->owner->body_bytes -= connection->body_bytes;
  connection->body_bytes = 0;
  set_debt (connection, OWES_NEXT, now);
}
