// A stand-in for the key-value store over loopback that answers each request in the same way, and a client of it.
#pragma once
#include <gtest/gtest.h>

#include <vector>

#include "loopback/http.hpp"

extern "C" {
#include "core/constants.h"
#include "net/store_client.h"
#include "wire/store.h"
}

namespace loopback {

struct StoreStandIn {
  enum class Answer { kEmpty, kThrottled, kUnavailable, kConflict, kInvalidStatus, kNone };
  // A limit on requests per second whose share is so small that only the first request that waits for a budget is sent.
  static constexpr double kOneRequest = 0.001;
  // A limit that no test reaches.
  static constexpr double kManyRequests = 10000;

  std::string addr = free_address ();
  FtHttpServer *server = ft_http_server_new (addr.c_str (), FT_BODY_CBOR, 500, on_request, this, nullptr);
  Answer answer = Answer::kEmpty;
  std::vector<std::string> changed_keys; // named by the answer kConflict
  bool watches_are_compacted = false;    // whether watches are answered with 410, whatever `answer` is
  json_t *journal = nullptr;             // the answer to reads of the journal row, whatever `answer` is, if it is set
  std::vector<FtHttpRequest *> unanswered;
  guint requests = 0;
  guint lists = 0, commits = 0; // requests for lists, and transactions, among them
  FtConfig config{};
  FtStoreClient *client = nullptr;

  ~StoreStandIn ()
  {
    answer_open_requests ();
    wait_for ([&] { return client == nullptr || ft_store_client_in_flight (client) == 0; });
    free_client ();
    stop ();
  }
  // Makes the client of a follower of a store with that limit on requests per second.
  void
  make_client (double requests_per_s)
  {
    config.member = (char *) "hearth-0";
    config.store_addr = (char *) addr.c_str ();
    config.core.store_rps = requests_per_s;
    config.core.store_write_rps = requests_per_s;
    config.core.txn_ops = 16;
    config.core.cancel_s = 40;
    client = ft_store_client_new (&config);
  }
  void
  free_client ()
  {
    ft_store_client_free (client);
    client = nullptr;
  }
  // Answers the requests that the answer kNone has left open.
  void
  answer_open_requests ()
  {
    for (FtHttpRequest *request : unanswered)
      ft_http_unavailable (request);
    unanswered.clear ();
  }
  // Closes all connections, and lets nothing listen on the address any more.
  void
  stop ()
  {
    ft_http_server_free (server);
    server = nullptr;
  }
  FtStoreQueueStatus
  read_queue () const
  {
    return ft_store_client_queue_status (client, FT_STORE_PRIORITY_READ);
  }
  // Fills the queue of reads with requests whose answers are ignored.
  void
  fill_read_queue ()
  {
    auto ignore = [] (FtStoreResult, const json_t *, gpointer) {};
    while (read_queue ().length < FT_STORE_QUEUE_MAX)
      ft_store_client_get (client, "j/req-99", FT_STORE_PRIORITY_READ, ignore, nullptr);
  }

private:
  json_t *
  conflict () const
  {
    json_t *failed = json_array ();
    for (const std::string &key : changed_keys)
      json_array_append_new (failed, json_string (key.c_str ()));
    return json_pack ("{s:o}", "failed", failed);
  }
  static void
  on_request (FtHttpRequest *request, gpointer data)
  {
    auto self = (StoreStandIn *) data;
    const char *path = ft_http_path (request);
    self->requests++;
    self->lists += g_str_equal (path, "/store");
    self->commits += g_str_equal (path, "/commit");
    if (self->journal != nullptr && g_str_equal (path, "/store/l/journal"))
      return ft_http_respond (request, 200, json_incref (self->journal));
    if (self->watches_are_compacted && g_str_equal (path, "/follow"))
      return ft_http_respond (request, 410, nullptr);
    switch (self->answer) {
    case Answer::kEmpty:
      return ft_http_respond (request, 200, json_object ());
    case Answer::kThrottled:
      return ft_http_respond (request, FT_HTTP_TOO_MANY_REQUESTS, nullptr);
    case Answer::kUnavailable:
      return ft_http_unavailable (request);
    case Answer::kConflict:
      return ft_http_respond (request, FT_HTTP_CONFLICT, self->conflict ());
    case Answer::kInvalidStatus:
      return ft_http_respond (request, 500, nullptr);
    case Answer::kNone:
      return self->unanswered.push_back (request);
    }
  }
};

} // namespace loopback
