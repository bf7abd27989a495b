// Requests over loopback HTTP, and waiting for conditions.
#pragma once
#include <gio/gio.h>
#include <unistd.h>

#include <functional>
#include <memory>
#include <set>
#include <string>

extern "C" {
#include "net/http.h"
}

namespace loopback {

// A loopback address that only this process uses. Tests run in parallel, and on a shared address another
// process could take a port between the moment it is found free and the moment it is listened on.
inline std::string
own_host ()
{
  auto pid = (guint) getpid ();
  return "127." + std::to_string (1 + (pid >> 16) % 254) + "." + std::to_string ((pid >> 8) & 255) + "."
         + std::to_string (pid & 255);
}

// An address "HOST:PORT" with a port that the system chooses.
inline std::string
bound_address ()
{
  g_autoptr (GSocket) socket
      = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
  g_autoptr (GSocketAddress) any = g_inet_socket_address_new_from_string (own_host ().c_str (), 0);
  g_socket_bind (socket, any, TRUE, nullptr);
  g_autoptr (GSocketAddress) bound = g_socket_get_local_address (socket, nullptr);
  return own_host () + ":" + std::to_string (g_inet_socket_address_get_port (G_INET_SOCKET_ADDRESS (bound)));
}

// An address "HOST:PORT" on which nothing listens. No address is returned twice, although the system may choose a port
// again.
inline std::string
free_address ()
{
  static std::set<std::string> returned;
  std::string address = bound_address ();
  while (!returned.insert (address).second)
    address = bound_address ();
  return address;
}

// Runs the main loop until the condition holds; false if it does not hold within 60 s.
inline bool
wait_for (std::function<bool ()> condition)
{
  gint64 end = g_get_monotonic_time () + 60 * G_USEC_PER_SEC;
  while (!condition ()) {
    if (g_get_monotonic_time () > end)
      return false;
    g_main_context_iteration (nullptr, FALSE);
    g_usleep (500);
  }
  return true;
}

// Runs the main loop for that time.
inline void
run_main_loop_for (double seconds)
{
  gint64 end = g_get_monotonic_time () + (gint64) (seconds * G_USEC_PER_SEC);
  wait_for ([&] { return g_get_monotonic_time () > end; });
}

// How long a second call of a callback, or a second answer to a request, may take to arrive.
constexpr double kSecondCallS = 0.05;

// The answer to a request; status 0 means that no answer came.
struct Reply {
  bool done = false;
  guint status = 0;
  json_t *body = nullptr;
  ~Reply () { json_decref (body); }
  // The text in that field of the body; empty if there is none.
  std::string
  text (const char *name) const
  {
    const char *value = json_string_value (json_object_get (body, name));
    return value ? value : "";
  }
};

// The HTTP client that all tests of the process share.
inline FtHttpClient *
client ()
{
  static FtHttpClient *shared = ft_http_client_new (2000, 6000);
  return shared;
}

inline void
on_reply (guint status, const json_t *body, gpointer data)
{
  auto reply = (Reply *) data;
  reply->status = status;
  reply->body = json_incref ((json_t *) body);
  reply->done = true;
}

// Sends a request and waits for its answer. Takes over the body.
inline std::unique_ptr<Reply>
call (const char *method, const std::string &addr, const std::string &path, json_t *body = nullptr,
      FtBodyKind kind = FT_BODY_CBOR)
{
  auto reply = std::make_unique<Reply> ();
  ft_http_send (client (), method, addr.c_str (), path.c_str (), kind, body, 5, TRUE, on_reply, reply.get ());
  json_decref (body);
  wait_for ([&] { return reply->done; });
  return reply;
}

} // namespace loopback
