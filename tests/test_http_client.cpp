// The HTTP client: on each path the callback is called once, and never before the function that sends the request has
// returned (net/http.h).
#include "completion_call.hpp"

using namespace loopback;

namespace {

using HttpCall = CompletionCall<guint>;

class HttpClient : public testing::Test {
protected:
  static constexpr double kTimeoutS = 0.3;
  std::string addr = free_address ();
  FtHttpServer *server = ft_http_server_new (addr.c_str (), FT_BODY_CBOR, 100, on_request, this, nullptr);
  FtHttpClient *http = ft_http_client_new (2, 4);
  std::vector<FtHttpRequest *> unanswered;
  CompletionCalls<guint> calls; // with the HTTP status

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
  // Sends a request of each of both forms, with and without permission to send it again.
  void
  send (const char *what, const char *address, const char *path)
  {
    auto on_done = [] (guint status, const json_t *, gpointer data) { ((HttpCall *) data)->complete (status); };
    auto on_raw_done
        = [] (guint status, const guint8 *, gsize, gpointer data) { ((HttpCall *) data)->complete (status); };
    for (bool no_resend : { false, true }) {
      HttpCall &call = add_call (calls, what);
      ft_http_send (http, "GET", address, path, FT_BODY_CBOR, nullptr, kTimeoutS, no_resend, on_done, &call);
      call.returned = true;
      HttpCall &raw_call = add_call (calls, what);
      ft_http_send_raw (http, "GET", address, path, FT_BODY_CBOR, nullptr, kTimeoutS, no_resend, on_raw_done,
                        &raw_call);
      raw_call.returned = true;
    }
  }
};

TEST_F (HttpClient, CallbackComesAfterTheReturnWhenTheRequestIsAnswered)
{
  send ("answered", addr.c_str (), "/");
  send ("answered on a connection that is used again", addr.c_str (), "/");
  expect_done (calls, 200u);
}

TEST_F (HttpClient, CallbackComesAfterTheReturnWhenNoAnswerCanCome)
{
  send ("nothing listens", free_address ().c_str (), "/");
  send ("no port", "127.0.0.1", "/");
  send ("no address", "", "/");
  send ("no number", "127.0.0.1:port", "/");
  expect_done (calls, (guint) FT_HTTP_NO_ANSWER);
}

// More requests than connections: the others wait for a free one until their deadline.
TEST_F (HttpClient, CallbackComesAfterTheReturnWhenTheDeadlinePasses)
{
  for (int i = 0; i < 5; i++)
    send ("silent", addr.c_str (), "/silent");
  expect_done (calls, (guint) FT_HTTP_NO_ANSWER);
}

TEST_F (HttpClient, CallbackComesAfterTheReturnWhenTheConnectionIsLost)
{
  send ("answered", addr.c_str (), "/");
  expect_done (calls, 200u);
  calls.clear ();
  ft_http_server_free (server);
  server = nullptr;
  send ("the server has closed its connections", addr.c_str (), "/");
  expect_done (calls, (guint) FT_HTTP_NO_ANSWER);
}

TEST_F (HttpClient, CallbackMaySendTheNextRequest)
{
  send ("first", addr.c_str (), "/");
  for (HttpCall &call : calls)
    call.on_call = [&] { send ("sent by a callback", addr.c_str (), "/"); };
  size_t first = calls.size ();
  ASSERT_TRUE (wait_for ([&] { return calls.size () == first + 4 * first; }));
  expect_done (calls, 200u);
}

TEST_F (HttpClient, NoCallbackIsCalledAfterTheClientIsFreed)
{
  send ("silent", addr.c_str (), "/silent");
  ASSERT_TRUE (wait_for ([&] { return !unanswered.empty (); }));
  send ("not sent yet", addr.c_str (), "/");
  ft_http_client_free (http);
  http = nullptr;
  expect_never_called (calls);
}

} // namespace
