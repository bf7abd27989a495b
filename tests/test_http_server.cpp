// Why an HTTP server could not be started is told apart by the error's code.
#include <gtest/gtest.h>

#include "loopback.hpp"

namespace {

void
never (FtHttpRequest *, gpointer)
{
}

GError *
start_error (const char *addr)
{
  GError *error = nullptr;
  g_autoptr (FtHttpServer) server = ft_http_server_new (addr, FT_BODY_CBOR, 10, never, nullptr, &error);
  EXPECT_EQ (server, nullptr) << addr;
  return error;
}

} // namespace

TEST (HttpServer, ReportsWhyItCannotBeStarted)
{
  for (const char *addr : { "", "127.0.0.1", "nowhere:80" }) {
    g_autoptr (GError) error = start_error (addr);
    EXPECT_TRUE (g_error_matches (error, FT_HTTP_ERROR, FT_HTTP_ERROR_ADDRESS)) << addr;
  }
  // An address for documentation, which no machine has.
  g_autoptr (GError) error = start_error ("192.0.2.1:80");
  EXPECT_TRUE (g_error_matches (error, FT_HTTP_ERROR, FT_HTTP_ERROR_LISTEN));
}
