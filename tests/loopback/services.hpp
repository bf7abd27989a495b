// Stand-ins for the key-value store and the cloud over loopback HTTP.
#pragma once
#include "http.hpp"
#include "world.hpp"

namespace loopback {

// The HTTP servers of both services. Each has its own address, and the test's main context runs them.
struct ServiceServers {
  std::string state_addr = free_address (), cloud_addr = free_address ();
  FtHttpServer *state, *cloud;
  ServiceServers (FtHttpHandler on_state, FtHttpHandler on_cloud, gpointer data)
      : state (ft_http_server_new (state_addr.c_str (), FT_BODY_CBOR, 500, on_state, data, nullptr)),
        cloud (ft_http_server_new (cloud_addr.c_str (), FT_BODY_CBOR, 500, on_cloud, data, nullptr))
  {
  }
  ~ServiceServers ()
  {
    ft_http_server_free (state);
    ft_http_server_free (cloud);
  }
  // A catalog with one machine type, "std"; the caller owns it.
  static json_t *
  catalog ()
  {
    return json_loads ("{\"builds\":[{\"name\":\"std\",\"cores\":16,\"cards\":0,\"mem_gb\":64,"
                       "\"local_gb\":50,\"fetch_gb_per_s\":1,\"price\":1,\"market_price\":0.4,"
                       "\"ready_s\":30,\"yards\":[\"a\"]}]}",
                       0, nullptr);
  }
};

// The stand-ins themselves: a simulated store, and a cloud that never has capacity.
struct Services : ServiceServers {
  sim::Store store;
  bool down = false;          // the store answers every request with 503
  bool garbled = false;       // answers are valid CBOR but no valid messages of the protocol
  bool refuse_claims = false; // claims of the lease get 503, so that no controller becomes the leader
  Services () : ServiceServers (on_state, on_cloud, this) {}
  // Ends the open watches, whose timers would outlive the store.
  ~Services ()
  {
    while (!watches.empty ()) {
      Watch *watch = *watches.begin ();
      g_source_remove (watch->timer);
      ft_http_unavailable (watch->request);
      end_watch (watch);
    }
  }
  // A parameter of the request's query; empty if there is none.
  static std::string
  argument (FtHttpRequest *request, const char *name)
  {
    g_autoptr (GHashTable) all = g_uri_parse_params (ft_http_query (request), -1, "&", G_URI_PARAMS_NONE, nullptr);
    auto value = all ? (const char *) g_hash_table_lookup (all, name) : nullptr;
    return value ? value : "";
  }
  // An open watch request.
  struct Watch {
    Services *self;
    FtHttpRequest *request;
    std::string prefix;
    guint64 since;
    gint64 end; // when it is answered even without a change, by the monotonic clock
    guint timer;
  };
  std::set<Watch *> watches;
  static void
  end_watch (Watch *watch)
  {
    watch->self->watches.erase (watch);
    delete watch;
  }
  // Answers the watch if there is a change or its time is over.
  static gboolean
  on_watch_timer (gpointer data)
  {
    auto watch = (Watch *) data;
    if (!watch->self->store.has_changes (watch->prefix, watch->since) && g_get_monotonic_time () < watch->end)
      return G_SOURCE_CONTINUE;
    auto [status, body] = watch->self->store.read_changes (watch->prefix, watch->since);
    ft_http_respond (watch->request, status, body);
    end_watch (watch);
    return G_SOURCE_REMOVE;
  }
  // Whether the transaction claims the lease.
  static bool
  claims (const json_t *txn)
  {
    const char *first
        = json_string_value (json_object_get (json_array_get (json_object_get (txn, "apply"), 0), "write"));
    return g_strcmp0 (first, "l/fence") == 0;
  }
  static void
  on_state (FtHttpRequest *request, gpointer data)
  {
    auto self = (Services *) data;
    std::string path = ft_http_path (request);
    std::pair<guint, json_t *> answer = { 404, nullptr };
    if (self->down) {
      ft_http_respond (request, 503, nullptr);
      return;
    }
    if (self->garbled && path != "/commit") {
      ft_http_respond (request, 200, json_pack ("{s:i, s:s}", "pairs", 7, "events", "none"));
      return;
    }
    if (path == "/commit") {
      if (self->refuse_claims && claims (ft_http_body (request))) {
        ft_http_respond (request, 503, nullptr);
        return;
      }
      answer = self->store.commit (ft_http_body (request), g_get_monotonic_time ());
    } else if (path == "/store") {
      answer = self->store.list (argument (request, "under"), argument (request, "since"), 1000);
    } else if (path == "/follow") {
      gint64 block = g_ascii_strtoll (argument (request, "block_ms").c_str (), nullptr, 10) * 1000;
      auto watch = new Watch{ self,
                              request,
                              argument (request, "under"),
                              g_ascii_strtoull (argument (request, "since").c_str (), nullptr, 10),
                              g_get_monotonic_time () + block,
                              0 };
      watch->timer = g_timeout_add (10, on_watch_timer, watch);
      self->watches.insert (watch);
      return;
    } else if (path.rfind ("/store/", 0) == 0) {
      answer = self->store.get (path.substr (7));
    }
    ft_http_respond (request, answer.first, answer.second);
  }
  static void
  on_cloud (FtHttpRequest *request, gpointer data)
  {
    std::string path = ft_http_path (request);
    if (((Services *) data)->garbled)
      ft_http_respond (request, 200, json_pack ("{s:s}", "hearths", "many"));
    else if (path == "/catalog")
      ft_http_respond (request, 200, catalog ());
    else if (path == "/rentals" && g_str_equal (ft_http_method (request), "GET"))
      ft_http_respond (request, 200, json_pack ("{s:[], s:b}", "hearths", "more", 0));
    else if (path == "/rentals")
      ft_http_respond (request, 503, json_pack ("{s:s}", "error", "no capacity"));
    else
      ft_http_respond (request, 200, json_object ());
  }
};

} // namespace loopback
