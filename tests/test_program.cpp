// Tests of the real program over loopback HTTP: three controllers with a simulated state service, cloud and worker. The
// time limits only end a test that hangs. No test asserts how long anything takes.
#include "loopback.hpp"
#include "loopback/three_controllers.hpp"

using namespace loopback;

namespace {

class Program : public ThreeControllers {
protected:
  void
  send_invalid_requests ()
  {
    EXPECT_EQ (submit (0, json_string ("no map"))->status, 400u);
    ASSERT_TRUE (wait_for ([&] { return submit (0, job ("req-9", 1, "green"))->status == 422; }));
    EXPECT_EQ (submit (0, job ("req-9", 0))->status, 400u);
    EXPECT_EQ (look_up (0, "req-9")->status, 404u);
    EXPECT_EQ (call ("GET", front (0), "/nothing")->status, 404u);
    EXPECT_EQ (call ("GET", front (0), "/work")->status, 405u);
    EXPECT_EQ (call ("POST", front (0), "/work/req-9/withdraw")->status, 404u);
  }
  // All controllers know a job that one of them has accepted, and each of its tasks is started once.
  void
  run_a_job (const Machine &machine)
  {
    auto accepted = submit (1, job ("req-1", 6));
    EXPECT_EQ (accepted->status, 201u);
    EXPECT_EQ (accepted->text ("standing"), "queued");
    EXPECT_EQ (submit (2, job ("req-1", 6))->status, 200u);
    EXPECT_TRUE (reaches (0, "req-1", "done"));
    EXPECT_EQ (machine.starts, 6u);
    EXPECT_EQ (cancel (0, "req-1"), "done");
  }
  // Kills and restarts each controller in turn while the tasks of req-3 run.
  void
  restart_each_while_a_job_runs (const Machine &machine)
  {
    EXPECT_EQ (submit (0, job ("req-3", 2))->status, 201u);
    ASSERT_TRUE (reaches (1, "req-3", "running"));
    guint started = machine.starts;
    for (size_t i = 0; i < kControllers; i++)
      ASSERT_NO_FATAL_FAILURE (restart (i));
    EXPECT_EQ (submit (0, job ("req-4", 3))->status, 201u);
    EXPECT_TRUE (reaches (1, "req-4", "done"));
    EXPECT_EQ (machine.starts, started + 3) << "a running task was started again after a failover";
  }
};

TEST_F (Program, JobsSurviveRestartsOfEachController)
{
  Machine machine (controllers.front);
  machine.copy_delays_s = { 0.2, 25 };
  ASSERT_NO_FATAL_FAILURE (send_invalid_requests ());
  run_a_job (machine);
  ASSERT_NO_FATAL_FAILURE (restart_each_while_a_job_runs (machine));
  guint started = machine.starts;

  // The tasks of a cancelled job leave the machine, and every controller reports the job as cancelled.
  EXPECT_EQ (cancel (2, "req-3"), "withdrawn");
  EXPECT_TRUE (wait_for ([&] { return machine.tasks.empty (); }));
  EXPECT_GT (machine.copies_executed, 0u);
  EXPECT_GT (machine.copies_refused, 0u);
  EXPECT_EQ (machine.starts, started) << "a late copy of a direct start has started a task";
  for (size_t i = 0; i < kControllers; i++) {
    EXPECT_EQ (state_of (i, "req-3"), "withdrawn");
    EXPECT_EQ (submit (i, job ("req-3", 2))->text ("standing"), "withdrawn");
  }
}

// Messages that do not follow the protocol.
class MalformedMessages : public ThreeControllers {
protected:
  void
  send_malformed_worker_heartbeats (Machine &machine)
  {
    json_t *heartbeat = machine.heartbeat ();
    json_object_set_new (heartbeat, "shift", json_string ("first"));
    EXPECT_EQ (call ("POST", front (leader), "/checkin", heartbeat)->status, 400u);
    EXPECT_EQ (call ("POST", front (leader), "/checkin", json_array ())->status, 400u);
    EXPECT_EQ (counter ("malformed_workers"), 2);
  }
  void
  send_malformed_peer_heartbeats ()
  {
    std::string peer = "hearth-" + std::to_string ((leader + 1) % kControllers);
    const std::vector<json_t *> heartbeats = {
      json_pack ("{s:s, s:i, s:s}", "member", peer.c_str (), "token", 1000, "jobs", "none"),
      json_pack ("{s:s, s:i}", "member", peer.c_str (), "token", -4),
      json_pack ("{s:s, s:[i]}", "member", peer.c_str (), "withdrawn", 7),
      json_pack ("{s:s, s:s}", "member", peer.c_str (), "yields", "yes"),
      json_pack ("{s:s}", "member", "hearth-9"),
    };
    for (json_t *heartbeat : heartbeats)
      EXPECT_EQ (administer ("POST", leader, "/mesh/beat", heartbeat)->status, 400u);
    EXPECT_EQ (counter ("malformed_peers"), (json_int_t) heartbeats.size ());
  }
};

// Messages of workers, peers, the cloud and the key-value store that do not follow the protocol are refused and
// counted, and they change nothing.
TEST_F (MalformedMessages, AreRefusedCountedAndChangeNothing)
{
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  ASSERT_EQ (submit (leader, job ("req-3", 2))->status, 201u);
  ASSERT_TRUE (reaches (leader, "req-3", "running"));
  for (const char *name : { "malformed_workers", "malformed_peers", "malformed_cloud", "malformed_state" })
    EXPECT_EQ (counter (name), 0) << name;
  send_malformed_worker_heartbeats (machine);
  send_malformed_peer_heartbeats ();

  services.garbled = true;
  EXPECT_TRUE (wait_for ([&] { return counter ("malformed_state") > 0 && counter ("malformed_cloud") > 0; }));
  services.garbled = false;
  ASSERT_TRUE (reaches (leader, "req-3", "running"));
  EXPECT_EQ (machine.starts, 2u) << "a task was started again";
  EXPECT_EQ (controllers.leader (), leader) << "the leader has changed";
  EXPECT_EQ (submit (leader, job ("req-1", 1))->status, 201u);
  EXPECT_TRUE (reaches (leader, "req-1", "done"));
}

// The answers of all controllers to requests that users send at the same time.
class ConcurrentRequests : public ThreeControllers {
protected:
  int cancelled = 0, done = 0;
  // Polls the job twice at every controller and repeats its submission at each, all at the same time. Returns the
  // replies.
  std::vector<std::unique_ptr<Reply> >
  request_from_all (const std::string &ref)
  {
    std::vector<std::unique_ptr<Reply> > replies;
    auto send = [&] (const char *method, size_t i, const std::string &path, json_t *body) {
      replies.push_back (std::make_unique<Reply> ());
      ft_http_send (client (), method, front (i).c_str (), path.c_str (), FT_BODY_CBOR, body, 5, TRUE, on_reply,
                    replies.back ().get ());
      json_decref (body);
    };
    for (int round = 0; round < 2; round++)
      for (size_t i = 0; i < kControllers; i++)
        send ("GET", i, "/work/" + ref, nullptr);
    for (size_t i = 0; i < kControllers; i++)
      send ("POST", i, "/work", job (ref.c_str (), 1));
    auto all = [&] {
      return std::all_of (replies.begin (), replies.end (), [] (const auto &reply) { return reply->done; });
    };
    EXPECT_TRUE (wait_for (all));
    return replies;
  }
  // Cancels the job if its number is even; otherwise waits until it is done. Sets `final` to the final state that one
  // controller reports.
  void
  end_job (int number, const std::string &ref, std::string *final)
  {
    if (number % 2 == 0) {
      auto answer = call ("POST", front ((number + 1) % 3), "/work/" + ref + "/withdraw");
      *final = answer->text ("standing");
      ASSERT_EQ (answer->status, 200u);
      ASSERT_TRUE (*final == "withdrawn" || *final == "done") << *final;
      cancelled += *final == "withdrawn";
    } else {
      ASSERT_TRUE (reaches (number % 3, ref, "done"));
      *final = "done";
      done++;
    }
  }
};

// Once one controller has answered that a job is accepted, done or cancelled, no controller reports an older state,
// however soon it is polled. The real program is needed, since the simulated world has neither the caches of final
// states nor the transactions in which several polls compare the revisions of their jobs' rows.
TEST_F (ConcurrentRequests, NeverShowAnOlderState)
{
  constexpr int kJobs = 24;
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  int answered = 0;
  for (int number = 0; number < kJobs; number++) {
    std::string ref = "req-5" + std::to_string (number), final;
    ASSERT_EQ (submit (number % 3, job (ref.c_str (), 1))->status, 201u);
    for (const auto &reply : request_from_all (ref)) {
      EXPECT_TRUE (reply->status == 200 || reply->status == 503)
          << ref << " was accepted, but the status of a later reply is " << reply->status;
      answered += reply->status == 200;
    }
    ASSERT_NO_FATAL_FAILURE (end_job (number, ref, &final));
    for (const auto &reply : request_from_all (ref))
      EXPECT_TRUE (reply->status == 503 || (reply->status == 200 && reply->text ("standing") == final))
          << ref << " was " << final << ", but a later reply is " << reply->status << " " << reply->text ("standing");
  }
  EXPECT_GT (answered, kJobs) << "too few requests were answered with 200";
  EXPECT_GT (cancelled, 0);
  EXPECT_GT (done, 0);
}

} // namespace
