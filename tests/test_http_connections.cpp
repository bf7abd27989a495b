// Tests of what the connections of an HTTP server owe it, and of when they are closed for that.
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <memory>
#include <vector>

extern "C" {
#include "core/constants.h"
#include "core/duration.h"
#include "net/http_connections.h"
}

namespace {

constexpr gint64 kS = FT_SECOND;
constexpr guint kMost = 3;

// A connection over a pair of sockets. The test holds the side of the other host.
struct Peer {
  std::array<int, 2> sockets{};
  FtHttpConnection *connection;
  Peer (FtHttpConnections *connections, gint64 now)
  {
    if (socketpair (AF_UNIX, SOCK_STREAM, 0, sockets.data ()) != 0)
      ADD_FAILURE () << "no sockets";
    connection = ft_http_connections_opened (connections, sockets[0], now);
  }
  ~Peer ()
  {
    close (sockets[0]);
    close (sockets[1]);
  }
  // Whether the server's side has been shut down.
  bool
  is_closed () const
  {
    char byte;
    return recv (sockets[1], &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
  }
};

class HttpConnections : public testing::Test {
protected:
  FtHttpConnections *connections = ft_http_connections_new (kMost);
  std::vector<std::unique_ptr<Peer> > peers;
  ~HttpConnections () override { ft_http_connections_free (connections); }
  Peer &
  open (gint64 now)
  {
    peers.push_back (std::make_unique<Peer> (connections, now));
    return *peers.back ();
  }
};

TEST_F (HttpConnections, ConnectionWithoutACompleteRequestIsClosedAfterTheTimeForIt)
{
  Peer &peer = open (0);
  ft_http_connection_request_begun (peer.connection, 5 * kS);
  ft_http_connections_close_overdue (connections, FT_REQUEST_RECEIVE_S * kS);
  EXPECT_FALSE (peer.is_closed ());
  ft_http_connections_close_overdue (connections, FT_REQUEST_RECEIVE_S * kS + 1);
  EXPECT_TRUE (peer.is_closed ()) << "the time runs from the opening, not from the first line";
}

// Guards against a controller that stood still, or has too much to do, and closes what it has not read yet.
TEST_F (HttpConnections, ConnectionWhoseBytesWaitToBeReadIsNotClosedForThisControllersLateness)
{
  Peer &waiting = open (0), &owing = open (0);
  ASSERT_EQ (send (waiting.sockets[1], "G", 1, 0), 1);
  ft_http_connections_close_overdue (connections, 100 * kS);
  EXPECT_FALSE (waiting.is_closed ());
  EXPECT_TRUE (owing.is_closed ());
  char byte;
  ASSERT_EQ (recv (waiting.sockets[0], &byte, 1, 0), 1);
  ft_http_connections_close_overdue (connections, 100 * kS);
  EXPECT_TRUE (waiting.is_closed ());
}

TEST_F (HttpConnections, CompleteRequestIsNotClosedHoweverLongItsAnswerTakes)
{
  Peer &peer = open (0);
  ft_http_connection_request_complete (peer.connection);
  ft_http_connections_close_overdue (connections, 1000 * kS);
  EXPECT_FALSE (peer.is_closed ());
}

TEST_F (HttpConnections, ConnectionWithoutANextRequestIsClosedAfterTheIdleTime)
{
  Peer &peer = open (0);
  ft_http_connection_request_complete (peer.connection);
  ft_http_connection_request_over (peer.connection, kS);
  auto limit = (gint64) (FT_CONNECTION_IDLE_S * kS) + kS;
  ft_http_connections_close_overdue (connections, limit);
  EXPECT_FALSE (peer.is_closed ());
  ft_http_connections_close_overdue (connections, limit + 1);
  EXPECT_TRUE (peer.is_closed ());
}

TEST_F (HttpConnections, RequestOnAnOpenConnectionHasTheTimeForItFromItsFirstLine)
{
  Peer &peer = open (0);
  ft_http_connection_request_complete (peer.connection);
  ft_http_connection_request_over (peer.connection, kS);
  ft_http_connection_request_begun (peer.connection, 50 * kS);
  ft_http_connections_close_overdue (connections, (50 + FT_REQUEST_RECEIVE_S) * kS);
  EXPECT_FALSE (peer.is_closed ());
  ft_http_connections_close_overdue (connections, (50 + FT_REQUEST_RECEIVE_S) * kS + 1);
  EXPECT_TRUE (peer.is_closed ());
}

// Guards against a server that is full of connections whose other side has closed them within a request.
TEST_F (HttpConnections, ConnectionThatTheOtherSideHasClosedIsFoundAtOnce)
{
  Peer &peer = open (0), &other = open (0);
  shutdown (peer.sockets[1], SHUT_WR);
  ft_http_connections_close_overdue (connections, 1);
  EXPECT_TRUE (peer.is_closed ());
  EXPECT_FALSE (other.is_closed ());
}

TEST_F (HttpConnections, NewConnectionBeyondTheMostClosesTheOneThatOwesARequestForLongest)
{
  Peer &idle = open (0);
  ft_http_connection_request_complete (idle.connection);
  ft_http_connection_request_over (idle.connection, 0);
  Peer &oldest = open (kS), &second = open (2 * kS);
  open (kS + (gint64) (FT_REQUEST_GRACE_S * kS));
  EXPECT_FALSE (oldest.is_closed ()) << "it may still bring its request";
  open (kS + (gint64) (FT_REQUEST_GRACE_S * kS) + 1);
  EXPECT_TRUE (oldest.is_closed ());
  EXPECT_FALSE (second.is_closed ());
  EXPECT_FALSE (idle.is_closed ());
  EXPECT_EQ (ft_http_connections_count (connections), 5u);
}

TEST_F (HttpConnections, BodiesBeyondTheBytesKeptCloseTheOneThatOwesARequestForLongest)
{
  Peer &oldest = open (0), &newest = open (kS);
  ft_http_connection_body_received (oldest.connection, FT_BODY_BYTES_KEPT, 10 * kS);
  EXPECT_FALSE (oldest.is_closed ());
  ft_http_connection_body_received (newest.connection, 1, 10 * kS);
  EXPECT_TRUE (oldest.is_closed ());
  EXPECT_FALSE (newest.is_closed ());
}

} // namespace
