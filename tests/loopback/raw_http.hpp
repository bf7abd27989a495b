// Bytes sent to a controller as they are, whether or not they are a request.
//
// A connection blocks, while the stand-ins are served by the main loop of the test: what uses one runs in in_thread().
#pragma once
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <atomic>
#include <cstring>
#include <thread>

#include "http.hpp"

namespace loopback {

// Runs the function in a thread of its own, and the main loop until it has returned.
inline void
in_thread (const std::function<void ()> &function)
{
  std::atomic<bool> done{ false };
  std::thread thread ([&] {
    function ();
    done = true;
  });
  while (!done)
    run_main_loop_for (0.001);
  thread.join ();
}

// What came back on a connection. `status` 0: no answer, the connection was closed or the time was over.
struct RawAnswer {
  guint status = 0;
  std::string body;
  bool closed = false; // the other side closed the connection
};

// The head of a request with a body, and the body.
inline std::string
post_message (const std::string &addr, const std::string &path, const std::string &body)
{
  return "POST " + path + " HTTP/1.1\r\nHost: " + addr + "\r\nContent-Length: " + std::to_string (body.size ())
         + "\r\n\r\n" + body;
}

class RawConnection {
public:
  explicit RawConnection (const std::string &addr)
  {
    size_t colon = addr.find (':');
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons ((guint16) std::stoi (addr.substr (colon + 1)));
    inet_pton (AF_INET, addr.substr (0, colon).c_str (), &address.sin_addr);
    fd_ = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    connected_ = connect (fd_, (sockaddr *) &address, sizeof address) == 0;
  }
  ~RawConnection () { close (fd_); }
  RawConnection (const RawConnection &) = delete;
  RawConnection &operator= (const RawConnection &) = delete;

  bool
  connected () const
  {
    return connected_;
  }
  // Sends the bytes; returns false if the connection is closed.
  bool
  send_bytes (const std::string &bytes)
  {
    size_t sent = 0;
    while (sent < bytes.size ()) {
      ssize_t n = ::send (fd_, bytes.data () + sent, bytes.size () - sent, MSG_NOSIGNAL);
      if (n <= 0)
        return false;
      sent += (size_t) n;
    }
    return true;
  }
  // Ends this side of the connection.
  void
  end_sending ()
  {
    shutdown (fd_, SHUT_WR);
  }
  // Whether the other side has closed the connection by now.
  bool
  is_closed ()
  {
    char byte;
    ssize_t n = recv (fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno != EAGAIN);
  }
  // Receives an answer that is complete, or what comes within that time.
  RawAnswer
  receive (double seconds = 5)
  {
    RawAnswer answer;
    std::string received;
    gint64 end = g_get_monotonic_time () + (gint64) (seconds * G_USEC_PER_SEC);
    timeval slice = { 0, 20000 };
    setsockopt (fd_, SOL_SOCKET, SO_RCVTIMEO, &slice, sizeof slice);
    while (!is_complete (received, answer) && !answer.closed && g_get_monotonic_time () < end) {
      char buffer[4096];
      ssize_t n = recv (fd_, buffer, sizeof buffer, 0);
      answer.closed = n == 0 || (n < 0 && errno != EAGAIN);
      if (n > 0)
        received.append (buffer, (size_t) n);
    }
    return answer;
  }
  RawAnswer
  exchange (const std::string &bytes, double seconds = 5)
  {
    send_bytes (bytes);
    return receive (seconds);
  }

private:
  // Whether an answer with its whole body has been received, which is then filled in.
  static bool
  is_complete (const std::string &received, RawAnswer &answer)
  {
    size_t head = received.find ("\r\n\r\n");
    if (head == std::string::npos || received.rfind ("HTTP/1.", 0) != 0)
      return false;
    size_t at = received.find ("Content-Length: ");
    size_t length = at < head ? std::stoul (received.substr (at + strlen ("Content-Length: "))) : 0;
    if (received.size () < head + 4 + length)
      return false;
    answer.status = (guint) std::stoul (received.substr (strlen ("HTTP/1.1 ")));
    answer.body = received.substr (head + 4, length);
    return true;
  }

  int fd_;
  bool connected_;
};

} // namespace loopback
