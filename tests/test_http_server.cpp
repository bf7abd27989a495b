// Tests of the error codes of an HTTP server that cannot be started.
#include <gtest/gtest.h>

#include "loopback.hpp"

namespace {

// A handler that is never called, since no server starts.
void
unused_handler (FtHttpRequest *, gpointer)
{
}

// Starts a server at the address, which must fail, and returns the error. The caller owns the error.
GError *
start_error (const char *addr)
{
  GError *error = nullptr;
  g_autoptr (FtHttpServer) server = ft_http_server_new (addr, FT_BODY_CBOR, 10, unused_handler, nullptr, &error);
  EXPECT_EQ (server, nullptr) << addr;
  return error;
}

} // namespace

TEST (HttpServer, StartErrorCodeDistinguishesInvalidAddressFromFailedListen)
{
  for (const char *addr : { "", "127.0.0.1", "nowhere:80" }) {
    g_autoptr (GError) error = start_error (addr);
    EXPECT_TRUE (g_error_matches (error, FT_HTTP_ERROR, FT_HTTP_ERROR_ADDRESS)) << addr;
  }
  // 192.0.2.0/24 is reserved for documentation, so no host has this address.
  g_autoptr (GError) error = start_error ("192.0.2.1:80");
  EXPECT_TRUE (g_error_matches (error, FT_HTTP_ERROR, FT_HTTP_ERROR_LISTEN));
}
