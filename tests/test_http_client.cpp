// The HTTP client: on each path the callback is called once, and never before the function that sends the request has
// returned (net/http.h).
#include <gtest/gtest.h>

#include <deque>

#include "loopback/http.hpp"

extern "C" {
#include "core/constants.h"
}

using namespace loopback;

namespace {

struct HttpCall {
  std::string what;              // the case
  bool returned = false;         // whether ft_http_send() has returned
  guint calls = 0;               // of the callback
  guint calls_before_return = 0; // of the callback, before ft_http_send() had returned
  guint status = 0;
  std::function<void ()> on_call; // called by the callback, if it is set
  void
  complete (guint status_)
  {
    calls++;
    calls_before_return += !returned;
    status = status_;
    if (on_call)
      on_call ();
  }
};

class HttpClient : public testing::Test {
protected:
  static constexpr double kTimeoutS = 0.3;
  std::string addr = free_address ();
  FtHttpServer *server = ft_http_server_new (addr.c_str (), FT_BODY_CBOR, 100, on_request, this, nullptr);
  FtHttpClient *http = ft_http_client_new (2, 4);
  std::vector<FtHttpRequest *> unanswered;
  std::deque<HttpCall> calls;

  ~HttpClient () override
  {
    for (FtHttpRequest *request : unanswered)
      ft_http_unavailable (request);
    ft_http_client_free (http);
    ft_http_server_free (server);
  }
  static void
  on_request (FtHttpRequest *request, gpointer data)
  {
    if (g_str_equal (ft_http_path (request), "/silent"))
      ((HttpClient *) data)->unanswered.push_back (request);
    else
      ft_http_respond (request, 200, json_object ());
  }
  HttpCall &
  new_call (const char *what)
  {
    HttpCall &call = calls.emplace_back ();
    call.what = what;
    return call;
  }
  // Sends a request of each of both forms, with and without permission to send it again.
  void
  send (const char *what, const char *address, const char *path)
  {
    auto on_done = [] (guint status, const json_t *, gpointer data) { ((HttpCall *) data)->complete (status); };
    auto on_raw_done
        = [] (guint status, const guint8 *, gsize, gpointer data) { ((HttpCall *) data)->complete (status); };
    for (bool no_resend : { false, true }) {
      HttpCall &call = new_call (what);
      ft_http_send (http, "GET", address, path, FT_BODY_CBOR, nullptr, kTimeoutS, no_resend, on_done, &call);
      call.returned = true;
      HttpCall &raw_call = new_call (what);
      ft_http_send_raw (http, "GET", address, path, FT_BODY_CBOR, nullptr, kTimeoutS, no_resend, on_raw_done,
                        &raw_call);
      raw_call.returned = true;
    }
  }
  void
  run_main_loop ()
  {
    gint64 end = g_get_monotonic_time () + 50 * FT_MILLISECOND;
    wait_for ([&] { return g_get_monotonic_time () > end; });
  }
  void
  expect_done (guint status)
  {
    EXPECT_TRUE (wait_for (
        [&] { return std::all_of (calls.begin (), calls.end (), [] (const auto &call) { return call.calls > 0; }); }));
    run_main_loop ();
    for (const HttpCall &call : calls) {
      EXPECT_EQ (call.calls, 1u) << call.what;
      EXPECT_EQ (call.calls_before_return, 0u) << call.what;
      EXPECT_EQ (call.status, status) << call.what;
    }
  }
};

TEST_F (HttpClient, CallbackComesAfterTheReturnWhenTheRequestIsAnswered)
{
  send ("answered", addr.c_str (), "/");
  send ("answered on a connection that is used again", addr.c_str (), "/");
  expect_done (200);
}

TEST_F (HttpClient, CallbackComesAfterTheReturnWhenNoAnswerCanCome)
{
  send ("nothing listens", free_address ().c_str (), "/");
  send ("no port", "127.0.0.1", "/");
  send ("no address", "", "/");
  send ("no number", "127.0.0.1:port", "/");
  expect_done (FT_HTTP_NO_ANSWER);
}

// More requests than connections: the others wait for a free one until their deadline.
TEST_F (HttpClient, CallbackComesAfterTheReturnWhenTheDeadlinePasses)
{
  for (int i = 0; i < 5; i++)
    send ("silent", addr.c_str (), "/silent");
  expect_done (FT_HTTP_NO_ANSWER);
}

TEST_F (HttpClient, CallbackComesAfterTheReturnWhenTheConnectionIsLost)
{
  send ("answered", addr.c_str (), "/");
  expect_done (200);
  calls.clear ();
  ft_http_server_free (server);
  server = nullptr;
  send ("the server has closed its connections", addr.c_str (), "/");
  expect_done (FT_HTTP_NO_ANSWER);
}

TEST_F (HttpClient, CallbackMaySendTheNextRequest)
{
  send ("first", addr.c_str (), "/");
  for (HttpCall &call : calls)
    call.on_call = [&] { send ("sent by a callback", addr.c_str (), "/"); };
  size_t first = calls.size ();
  ASSERT_TRUE (wait_for ([&] { return calls.size () == first + 4 * first; }));
  expect_done (200);
}

TEST_F (HttpClient, NoCallbackIsCalledAfterTheClientIsFreed)
{
  send ("silent", addr.c_str (), "/silent");
  ASSERT_TRUE (wait_for ([&] { return !unanswered.empty (); }));
  send ("not sent yet", addr.c_str (), "/");
  ft_http_client_free (http);
  http = nullptr;
  run_main_loop ();
  for (const HttpCall &call : calls)
    EXPECT_EQ (call.calls, 0u) << call.what;
}

} // namespace
