// The client of the key-value store against a stand-in over loopback: its queues.
#include <gtest/gtest.h>

#include <deque>

#include "loopback/http.hpp"

extern "C" {
#include "core/constants.h"
#include "net/store_client.h"
}

using namespace loopback;

namespace {

// A request to the store client, and the calls of its callback.
struct StoreCall {
  guint calls = 0; // of the callback
  FtStoreResult result = FT_STORE_OK;
  static void
  on_done (FtStoreResult result, const json_t *, gpointer data)
  {
    auto self = (StoreCall *) data;
    self->calls++;
    self->result = result;
  }
};

class StoreClient : public testing::Test {
protected:
  std::string addr = free_address ();
  FtHttpServer *server = ft_http_server_new (addr.c_str (), FT_BODY_CBOR, 500, on_request, this, nullptr);
  FtConfig config{};
  FtStoreClient *store = nullptr;
  std::deque<StoreCall> calls;
  guint served = 0; // requests that the stand-in has answered

  ~StoreClient () override
  {
    EXPECT_TRUE (wait_for ([&] { return ft_store_client_in_flight (store) == 0; }));
    ft_store_client_free (store);
    ft_http_server_free (server);
  }
  static void
  on_request (FtHttpRequest *request, gpointer data)
  {
    ((StoreClient *) data)->served++;
    ft_http_respond (request, 200, json_object ());
  }
  // Makes the client of a follower of a store with that limit on requests per second.
  void
  make_client (double requests_per_s)
  {
    config.member = (char *) "hearth-0";
    config.store_addr = (char *) addr.c_str ();
    config.core.store_rps = requests_per_s;
    config.core.store_write_rps = requests_per_s;
    store = ft_store_client_new (&config);
  }
  StoreCall *
  new_call ()
  {
    return &calls.emplace_back ();
  }
  void
  read ()
  {
    ft_store_client_get (store, "j/req-1", FT_STORE_PRIORITY_READ, StoreCall::on_done, new_call ());
  }
};

// The share of this limit is so small that only the first request is sent during a test.
constexpr double kOneRequest = 0.001;

TEST_F (StoreClient, QueueStatusShowsWaitingAndRefusedRequests)
{
  make_client (kOneRequest);
  for (int i = 0; i < 1 + FT_STORE_QUEUE_MAX + 2; i++) // one is sent, and two are refused
    read ();
  FtStoreQueueStatus reads = ft_store_client_queue_status (store, FT_STORE_PRIORITY_READ);
  EXPECT_EQ (reads.length, (guint) FT_STORE_QUEUE_MAX);
  EXPECT_EQ (reads.longest, (guint) FT_STORE_QUEUE_MAX);
  EXPECT_EQ (reads.refused, 2u);
  FtStoreQueueStatus commits = ft_store_client_queue_status (store, FT_STORE_PRIORITY_COMMIT);
  EXPECT_EQ (commits.length, 0u);
  EXPECT_EQ (commits.refused, 0u);
  ASSERT_TRUE (wait_for ([&] { return calls.back ().calls == 1; }));
  EXPECT_EQ (calls.back ().result, FT_STORE_UNAVAILABLE);
}

TEST_F (StoreClient, QueueStatusKeepsTheGreatestLengthWhenTheQueueIsEmptyAgain)
{
  make_client (1000);
  read ();
  ASSERT_TRUE (wait_for ([&] { return calls.back ().calls == 1; }));
  FtStoreQueueStatus reads = ft_store_client_queue_status (store, FT_STORE_PRIORITY_READ);
  EXPECT_EQ (reads.length, 0u);
  EXPECT_EQ (reads.longest, 1u);
  EXPECT_EQ (reads.refused, 0u);
  EXPECT_EQ (served, 1u);
}

} // namespace
