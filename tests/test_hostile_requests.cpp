// Requests that are malformed, cut off or sent slowly, and connections that are never used, on each address of a
// controller. None ends or blocks it: beside them heartbeats are answered and sound submissions accepted in time.
#include "loopback.hpp"
#include "loopback/raw_http.hpp"
#include "loopback/three_controllers.hpp"

extern "C" {
#include "core/constants.h"
#include "wire/cbor.h"
}

using namespace loopback;

namespace {

std::string
encode (json_t *body)
{
  g_autoptr (GBytes) bytes = ft_cbor_encode (body);
  json_decref (body);
  gsize size;
  auto data = (const char *) g_bytes_get_data (bytes, &size);
  return { data, size };
}

// A submission that is padded to that size by a field which the receiver does not know.
std::string
submission_of_size (const char *ref, size_t size)
{
  json_t *body = job (ref, 1);
  std::string plain = encode (json_deep_copy (body));
  std::string padding (size - plain.size () - strlen ("\x61p\x79xx"), 'p');
  json_object_set_new (body, "p", json_string (padding.c_str ()));
  return encode (body);
}

// One controller, which leads, with one worker.
class HostileRequests : public testing::Test {
protected:
  // Within this time sound requests are answered, whatever else comes.
  static constexpr double kInTimeS = 1;
  static constexpr int kSockets = 200;
  static constexpr double kMemoryMb = 200;

  Services services;
  Controllers controllers{ services, 1, site () };
  const std::string &front = controllers.front[0];
  const std::string &mesh = controllers.mesh[0];
  std::unique_ptr<Machine> machine;
  std::string process_id;
  int submitted = 0, reports = 0;
  json_int_t token = 0; // the token that the other worker has seen

  static Site
  site ()
  {
    Site limited;
    limited.fd_limit = kSockets;
    limited.ram_mb = kMemoryMb;
    return limited;
  }
  void
  SetUp () override
  {
    ASSERT_TRUE (controllers.ready (0));
    ASSERT_EQ (controllers.leader (), 0u);
    machine = std::make_unique<Machine> (controllers.front);
    ASSERT_TRUE (wait_for ([&] { return machine->token > 0; }));
    process_id = g_subprocess_get_identifier (controllers.processes[0]);
    ASSERT_TRUE (wait_for ([&] { return call ("POST", front, "/work", job ("req-3", 1))->status < 300; }));
  }
  // The paths on which the addresses take bodies.
  std::vector<std::pair<std::string, std::string> >
  targets () const
  {
    return { { front, "/work" }, { front, "/checkin" }, { mesh, "/mesh/beat" } };
  }
  // Runs in in_thread(). A sound submission on a connection of its own is accepted in time.
  void
  submit_in_time (const char *beside)
  {
    std::string ref = "req-7" + std::to_string (submitted++);
    gint64 start = g_get_monotonic_time ();
    RawConnection connection (front);
    RawAnswer answer = connection.exchange (post_message (front, "/work", encode (job (ref.c_str (), 1))));
    double took_s = (double) (g_get_monotonic_time () - start) / G_USEC_PER_SEC;
    EXPECT_TRUE (connection.connected () && answer.status == 201 && took_s < kInTimeS)
        << "beside " << beside << ": status " << answer.status << " after " << took_s << " s";
  }
  // Runs in in_thread(). A heartbeat of another worker, on a connection of its own, is answered in time.
  void
  report_in_time (const char *beside)
  {
    json_t *heartbeat = json_pack ("{s:s,s:s,s:s,s:s,s:b,s:i,s:i,s:I,s:n,s:[]}", "hearth", "n-000009", "address",
                                   machine->addr.c_str (), "build", "std", "yard", "a", "loaners", 0, "shift", 1,
                                   "tally", ++reports, "baton", token, "recall_s", "pieces");
    gint64 start = g_get_monotonic_time ();
    RawAnswer answer = RawConnection (front).exchange (post_message (front, "/checkin", encode (heartbeat)));
    double took_s = (double) (g_get_monotonic_time () - start) / G_USEC_PER_SEC;
    EXPECT_TRUE (answer.status == 200 && took_s < kInTimeS)
        << "beside " << beside << ": status " << answer.status << " after " << took_s << " s";
    json_auto_t *body = ft_cbor_decode ((const guint8 *) answer.body.data (), answer.body.size ());
    token = json_integer_value (json_object_get (body, "baton"));
  }
  // Runs in in_thread(). A peer's heartbeat or an operator's request is answered in time.
  void
  operate_in_time (const char *beside)
  {
    gint64 start = g_get_monotonic_time ();
    RawAnswer answer = RawConnection (mesh).exchange ("GET /admin/status HTTP/1.1\r\nHost: x\r\n\r\n");
    double took_s = (double) (g_get_monotonic_time () - start) / G_USEC_PER_SEC;
    EXPECT_TRUE (answer.status == 200 && took_s < kInTimeS)
        << "beside " << beside << ": status " << answer.status << " after " << took_s << " s";
  }
  void
  expect_all_in_time (const char *beside)
  {
    submit_in_time (beside);
    report_in_time (beside);
    operate_in_time (beside);
  }
  double
  memory_mb () const
  {
    g_autofree char *text = nullptr;
    std::string path = "/proc/" + process_id + "/statm";
    if (!g_file_get_contents (path.c_str (), &text, nullptr, nullptr))
      return -1;
    g_auto (GStrv) fields = g_strsplit (text, " ", 3);
    return (double) g_ascii_strtoull (fields[1], nullptr, 10) * (double) sysconf (_SC_PAGESIZE) / 1e6;
  }
  // The controller's process is the one that was started, and its worker's task runs on.
  void
  expect_unharmed ()
  {
    EXPECT_STREQ (g_subprocess_get_identifier (controllers.processes[0]), process_id.c_str ())
        << "the controller ended";
    EXPECT_TRUE (reaches_state (front, "req-3", "running"));
    EXPECT_TRUE (machine->has ("req-3"));
  }
};

TEST_F (HostileRequests, TruncatedAtEveryByteTheyEndOrBlockNothing)
{
  in_thread ([&] {
    for (const auto &[addr, path] : targets ()) {
      std::string body = encode (job ("req-6", 1));
      std::string message = post_message (addr, path, body);
      for (size_t size = 0; size < message.size (); size++) {
        RawConnection connection (addr);
        connection.send_bytes (message.substr (0, size));
      }
      // A body that is cut off, announced as if it were whole, gets one clear error.
      for (size_t size = 0; size < body.size (); size++)
        ASSERT_EQ (RawConnection (addr).exchange (post_message (addr, path, body.substr (0, size))).status, 400u)
            << path << " " << size;
      expect_all_in_time ("truncated requests");
    }
    EXPECT_EQ (RawConnection (front).exchange ("GET /work/req-6 HTTP/1.1\r\nHost: x\r\n\r\n").status, 404u);
  });
  expect_unharmed ();
}

TEST_F (HostileRequests, WithWrongMissingOrTwoLengthsTheyAreRefusedOrClosed)
{
  std::string body = encode (job ("req-6", 1));
  std::string head = "POST /work HTTP/1.1\r\nHost: x\r\n";
  const std::vector<std::string> messages = {
    head + "\r\n" + body,                                                                               // no length
    head + "Content-Length: 5\r\n\r\n" + body.substr (0, 5),                                            // too short
    head + "Content-Length: 5\r\nContent-Length: " + std::to_string (body.size ()) + "\r\n\r\n" + body, // two lengths
    head + "Content-Length: -1\r\n\r\n" + body,
    head + "Content-Length: many\r\n\r\n" + body,
    head + "Content-Length: 99999999999999999999999\r\n\r\n" + body,
    head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + body,
    head + "Transfer-Encoding: chunked\r\n\r\nffffffffffffffffff\r\n" + body,
    "POST /work HTTP/9.9\r\n\r\n",
    "\r\n\r\n\r\n",
    std::string ("\0\1\2\3\r\n\r\n", 8),
  };
  in_thread ([&] {
    for (const std::string &message : messages) {
      RawConnection connection (front);
      connection.send_bytes (message);
      connection.end_sending ();
      RawAnswer answer = connection.receive ();
      EXPECT_TRUE ((answer.status >= 400 && answer.status < 600) || (answer.status == 0 && answer.closed))
          << message.substr (0, 90) << ": status " << answer.status;
    }
    // A longer body than was sent: its sender has gone.
    RawConnection longer (front);
    longer.send_bytes (head + "Content-Length: 9999\r\n\r\n" + body);
    longer.end_sending ();
    EXPECT_TRUE (longer.receive (FT_REQUEST_RECEIVE_S + 5).closed);
    EXPECT_EQ (RawConnection (front).exchange ("GET /work/req-6 HTTP/1.1\r\nHost: x\r\n\r\n").status, 404u);
    expect_all_in_time ("wrong lengths");
  });
  expect_unharmed ();
}

TEST_F (HostileRequests, TooLargeNestedOrWithHugeCountsTheyGetOneError)
{
  in_thread ([&] {
    EXPECT_EQ (
        RawConnection (front).exchange (post_message (front, "/work", submission_of_size ("req-61", 65536))).status,
        201u);
    EXPECT_EQ (
        RawConnection (front).exchange (post_message (front, "/work", submission_of_size ("req-62", 65537))).status,
        400u);
    const std::vector<std::string> bodies = {
      std::string (60000, '\x81'),                                    // deep nesting
      std::string (60000, '\x9f'),                                    // the same without lengths
      std::string ("\x9b\xff\xff\xff\xff\xff\xff\xff\xff", 9),        // an array of 2^64 - 1 items
      std::string ("\xbb\x7f\xff\xff\xff\xff\xff\xff\xff", 9),        // a map of 2^63 - 1 fields
      std::string ("\x7b\x00\x00\x00\xff\xff\xff\xff\xff", 9) + "ab", // a text of 2^40 - 1 bytes
      std::string ("\xa1\x61p\x9a\xff\xff\xff\xff", 8),               // a field with 2^32 - 1 items
    };
    for (const auto &[addr, path] : targets ())
      for (const std::string &body : bodies)
        EXPECT_EQ (RawConnection (addr).exchange (post_message (addr, path, body)).status, 400u)
            << path << " " << body.size ();
    expect_all_in_time ("nested and huge messages");
  });
  EXPECT_LT (memory_mb (), kMemoryMb);
  expect_unharmed ();
}

// Guards against a controller that is blocked: as many connections as it may hold never finish a request.
class SlowConnections : public HostileRequests {
protected:
  // How the connections keep the controller waiting.
  struct Kind {
    const char *name;
    std::string first; // what is sent at once
    std::string each;  // what is sent each second
  };
  // Holds as many connections as the address may hold, and expects sound requests to be answered beside them until the
  // controller has closed them all.
  void
  hold (const std::string &addr, const Kind &kind)
  {
    std::vector<std::unique_ptr<RawConnection> > slow;
    for (int i = 0; i < kSockets; i++) {
      slow.push_back (std::make_unique<RawConnection> (addr));
      slow.back ()->send_bytes (kind.first);
    }
    size_t open = slow.size ();
    gint64 start = g_get_monotonic_time ();
    for (int second = 1; open > 0 && second <= FT_REQUEST_RECEIVE_S + 5; second++) {
      expect_all_in_time (kind.name);
      gint64 pause = start + second * G_USEC_PER_SEC - g_get_monotonic_time ();
      g_usleep ((gulong) MAX (pause, 0));
      open = 0;
      for (auto &connection : slow) {
        connection->send_bytes (kind.each);
        open += !connection->is_closed ();
      }
    }
    EXPECT_EQ (open, 0u) << kind.name << ": connections are still open " << FT_REQUEST_RECEIVE_S + 5 << " s later";
    EXPECT_LT (memory_mb (), kMemoryMb) << kind.name;
  }
  void
  hold_on_all_addresses (const Kind &kind)
  {
    in_thread ([&] {
      for (const std::string &addr : { front, mesh })
        hold (addr, kind);
    });
    expect_unharmed ();
  }
};

TEST_F (SlowConnections, ThatAreNeverUsed) { hold_on_all_addresses ({ "unused connections", "", "" }); }

TEST_F (SlowConnections, WithHeadersWithoutAnEnd)
{
  hold_on_all_addresses ({ "headers without an end", "POST /work HTTP/1.1\r\n", "X: y\r\n" });
}

TEST_F (SlowConnections, WithOneByteASecond)
{
  hold_on_all_addresses ({ "one byte a second", "POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 400\r\n\r\n", "b" });
}

TEST_F (SlowConnections, WithHalfOfALargeBody)
{
  std::string head = "POST /work HTTP/1.1\r\nHost: x\r\nContent-Length: 65536\r\n\r\n";
  hold_on_all_addresses ({ "half of a large body", head + std::string (60000, 'b'), "" });
}

} // namespace
