// Tests of the real program at its limits: the number of sockets, the store's request rate, and the size of
// transactions.
#include "loopback.hpp"
#include "loopback/three_controllers.hpp"

using namespace loopback;

namespace {

// One controller with more workers and users than it keeps connections open for.
class SocketLimit : public testing::Test {
protected:
  static constexpr int kMachines = 120, kUsers = 60, kSockets = 200;
  Services services;
  Controllers controllers{ services, 1, site () };
  std::vector<std::unique_ptr<Machine> > machines;
  std::vector<std::unique_ptr<Reply> > replies;
  FtHttpClient *users = ft_http_client_new (kUsers, kUsers);
  ~SocketLimit () override { ft_http_client_free (users); }
  static Site
  site ()
  {
    Site limited;
    limited.fd_limit = kSockets;
    return limited;
  }
  void
  connect_machines ()
  {
    for (int i = 0; i < kMachines; i++) {
      g_autofree char *name = g_strdup_printf ("n-%06d", i);
      machines.push_back (std::make_unique<Machine> (controllers.front, name, 300, 2));
    }
    auto answered = [&] {
      return std::count_if (machines.begin (), machines.end (),
                            [] (const auto &machine) { return machine->token > 0; });
    };
    EXPECT_TRUE (wait_for ([&] { return answered () == kMachines; })) << answered () << " machines were answered";
  }
  // All users poll at the same time for a job that was never submitted.
  void
  poll_as_all_users ()
  {
    for (int i = 0; i < kUsers; i++) {
      replies.push_back (std::make_unique<Reply> ());
      ft_http_send (users, "GET", controllers.front[0].c_str (), "/work/req-77", FT_BODY_CBOR, nullptr, 30, FALSE,
                    on_reply, replies.back ().get ());
    }
    auto all = [&] {
      return std::all_of (replies.begin (), replies.end (), [] (const auto &reply) { return reply->done; });
    };
    EXPECT_TRUE (wait_for (all));
    int unknown = 0, unavailable = 0;
    for (const auto &reply : replies) {
      unknown += reply->status == 404;
      unavailable += reply->status == 503; // the queue of requests to the store is bounded
    }
    EXPECT_EQ (unknown + unavailable, kUsers) << unknown << " replies with 404 and " << unavailable << " with 503";
  }
};

// All workers and users connect to one controller, which gets more connections than it keeps open. All are answered,
// and connections beyond the limit are asked to close.
TEST_F (SocketLimit, AllWorkersAndUsersAreServedWithinTheLimit)
{
  ASSERT_TRUE (controllers.ready (0));
  connect_machines ();
  poll_as_all_users ();
  const std::string &front = controllers.front[0];
  EXPECT_EQ (call ("GET", front, "/ready")->status, 200u);
  EXPECT_EQ (call ("GET", controllers.mesh[0], "/admin/status", nullptr, FT_BODY_JSON)->status, 200u);
  // A job runs to its end while all workers and users are connected.
  EXPECT_EQ (call ("POST", front, "/work", job ("req-1", 4))->status, 201u);
  EXPECT_TRUE (reaches_state (front, "req-1", "done"));
}

class StoreLimits : public ThreeControllers {
protected:
  static std::string
  name (int i)
  {
    return "req-5" + std::to_string (i);
  }
  // Submits jobs of one task to the controllers in turn, each until it is accepted.
  void
  submit_jobs (int count)
  {
    for (int i = 0; i < count; i++)
      EXPECT_TRUE (wait_for ([&] { return submit (i % 3, job (name (i).c_str (), 1))->status < 300; }));
  }
  void
  expect_all_done (int count)
  {
    for (int i = 0; i < count; i++)
      EXPECT_TRUE (reaches (0, name (i), "done"));
  }
};

// The store accepts far fewer requests per second than the settings state. No job is lost, the leader keeps its lease,
// and a cancellation is soon answered.
TEST_F (StoreLimits, RateBelowTheSettingsIsLearnedFromRefusals)
{
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  ASSERT_TRUE (wait_for ([&] { return submit (0, job ("req-3", 1))->status < 300; }));
  services.store.limit (0, 0, 8);
  submit_jobs (10);
  EXPECT_TRUE (reaches (0, "req-3", "running"));
  EXPECT_TRUE (wait_for ([&] { return cancel (1, "req-3") == "withdrawn"; }));
  expect_all_done (10);
  EXPECT_GT (services.store.too_many, 0u);
  EXPECT_EQ (controllers.leader (), leader);
}

// The store's limits fall below the settings without notice. Batches shrink until the store accepts them, and all jobs
// finish.
TEST_F (StoreLimits, BatchRefusedAsInvalidIsNotRepeatedUnchanged)
{
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  services.store.limit (2, 4, 0);
  submit_jobs (12);
  expect_all_done (12);
  EXPECT_EQ ((guint) counter ("batches_invalid"), services.store.too_large);
  EXPECT_LE (services.store.too_large, 2u) << "two refusals shrink batches from 16 changes to 8 and then to 4";
}

} // namespace
