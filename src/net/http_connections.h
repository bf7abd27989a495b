/* The open connections of an HTTP server, and what they owe it.
 *
 * A connection owes a complete request within FT_REQUEST_RECEIVE_S of its opening, or of the first line of a later
 * request, and the next request within FT_CONNECTION_IDLE_S of its last answer. One that owes it for longer is closed.
 * So is, as soon as a new connection or more of a body needs the room, the one that has owed a request for longest.
 *
 * libmicrohttpd has a time limit on silence only, which a byte now and then resets. It may also miss that the other
 * side has closed a connection right after a part of a request, since it reads edge-triggered events: this module looks
 * for such connections. The server tells this module of each event. All times are monotonic, in microseconds. */
#pragma once
#include <glib.h>

/* The connections of one server, which owns them. */
typedef struct _FtHttpConnections FtHttpConnections;

/* One connection. It belongs to its FtHttpConnections until ft_http_connection_closed(). */
typedef struct _FtHttpConnection FtHttpConnection;

/* Returns an empty set. `most`: the number of connections beyond which one that owes a request is closed for each new
 * one. */
FtHttpConnections *ft_http_connections_new (guint most);

/* Frees the set and its connections, without closing their sockets; NULL is ignored. */
void ft_http_connections_free (FtHttpConnections *connections);

/* Returns the number of open connections. */
guint ft_http_connections_count (const FtHttpConnections *connections);

/* Closes the connections that have owed a request for too long, or whose other side has closed them. Called every
 * FT_CONNECTIONS_CHECK_MS. */
void ft_http_connections_close_overdue (FtHttpConnections *connections, gint64 now);

/* Records that a connection with that socket has been opened; returns it, borrowed. */
FtHttpConnection *ft_http_connections_opened (FtHttpConnections *connections, int socket, gint64 now);

/* Records that the connection has been closed, and frees it. */
void ft_http_connection_closed (FtHttpConnection *connection);

/* Records that the first line of a request has arrived. */
void ft_http_connection_request_begun (FtHttpConnection *connection, gint64 now);

/* Records that so many bytes of the request's body have arrived and are kept. */
void ft_http_connection_body_received (FtHttpConnection *connection, gsize bytes, gint64 now);

/* Records that the request has arrived completely. */
void ft_http_connection_request_complete (FtHttpConnection *connection);

/* Records that the request is over: it has been answered, or dropped. */
void ft_http_connection_request_over (FtHttpConnection *connection, gint64 now);
