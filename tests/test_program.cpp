// The real program over loopback HTTP against the stand-ins: three controllers,
// one of them killed and started again. Time limits here only end a test that
// hangs; nothing is asserted about how long anything takes.
#include "loopback.hpp"
#include "loopback/three_controllers.hpp"

using namespace loopback;

namespace {

class Program : public ThreeControllers {
protected:
  void
  refuse_what_cannot_be_taken ()
  {
    EXPECT_EQ (submit (0, json_string ("no map"))->status, 400u);
    ASSERT_TRUE (wait_for ([&] { return submit (0, job ("req-9", 1, "green"))->status == 422; }));
    EXPECT_EQ (submit (0, job ("req-9", 0))->status, 400u);
    EXPECT_EQ (look_up (0, "req-9")->status, 404u);
    EXPECT_EQ (call ("GET", front (0), "/nothing")->status, 404u);
    EXPECT_EQ (call ("GET", front (0), "/work")->status, 405u);
    EXPECT_EQ (call ("POST", front (0), "/work/req-9/withdraw")->status, 404u);
  }
  // Accepted by one controller, known to all, done once.
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
  // req-3 is running while each controller in turn is killed and started.
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
    EXPECT_EQ (machine.starts, started + 3) << "what ran went on through the failovers";
  }
};

TEST_F (Program, ServesOverLoopbackAndSurvivesAKilledController)
{
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (refuse_what_cannot_be_taken ());
  run_a_job (machine);
  ASSERT_NO_FATAL_FAILURE (restart_each_while_a_job_runs (machine));

  // Cancelled: gone from the machine, and final on every controller.
  EXPECT_EQ (cancel (2, "req-3"), "withdrawn");
  EXPECT_TRUE (wait_for ([&] { return machine.tasks.empty (); }));
  for (size_t i = 0; i < kControllers; i++) {
    EXPECT_EQ (state_of (i, "req-3"), "withdrawn");
    EXPECT_EQ (submit (i, job ("req-3", 2))->text ("standing"), "withdrawn");
  }
}

// Messages that the protocol does not allow.
class MalformedMessages : public ThreeControllers {
protected:
  void
  refuse_heartbeats_of_workers (Machine &machine)
  {
    json_t *heartbeat = machine.heartbeat ();
    json_object_set_new (heartbeat, "shift", json_string ("first"));
    EXPECT_EQ (call ("POST", front (leader), "/checkin", heartbeat)->status, 400u);
    EXPECT_EQ (call ("POST", front (leader), "/checkin", json_array ())->status, 400u);
    EXPECT_EQ (counter ("malformed_workers"), 2);
  }
  void
  refuse_heartbeats_of_peers ()
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

// What workers, peers, the cloud and the key-value store send and the protocol does not know is
// refused, counted, and changes nothing.
TEST_F (MalformedMessages, AreRefusedCountedAndChangeNothing)
{
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  ASSERT_EQ (submit (leader, job ("req-3", 2))->status, 201u);
  ASSERT_TRUE (reaches (leader, "req-3", "running"));
  for (const char *name : { "malformed_workers", "malformed_peers", "malformed_cloud", "malformed_state" })
    EXPECT_EQ (counter (name), 0) << name;
  refuse_heartbeats_of_workers (machine);
  refuse_heartbeats_of_peers ();

  services.garbled = true;
  EXPECT_TRUE (wait_for ([&] { return counter ("malformed_state") > 0 && counter ("malformed_cloud") > 0; }));
  services.garbled = false;
  ASSERT_TRUE (reaches (leader, "req-3", "running"));
  EXPECT_EQ (machine.starts, 2u) << "nothing was started again";
  EXPECT_EQ (controllers.leader (), leader) << "the leader stayed the same";
  EXPECT_EQ (submit (leader, job ("req-1", 1))->status, 201u);
  EXPECT_TRUE (reaches (leader, "req-1", "done"));
}

// What users are shown when they ask all controllers at once.
class CloseLooks : public ThreeControllers {
protected:
  int cancelled = 0, done = 0;
  // Asks every controller about the job at once, each twice, and repeats its submission on each.
  std::vector<std::unique_ptr<Reply> >
  look_closely (const std::string &ref)
  {
    std::vector<std::unique_ptr<Reply> > replies;
    auto ask = [&] (const char *method, size_t i, const std::string &path, json_t *body) {
      replies.push_back (std::make_unique<Reply> ());
      ft_http_send (client (), method, front (i).c_str (), path.c_str (), FT_BODY_CBOR, body, 5, TRUE, on_reply,
                    replies.back ().get ());
      json_decref (body);
    };
    for (int round = 0; round < 2; round++)
      for (size_t i = 0; i < kControllers; i++)
        ask ("GET", i, "/work/" + ref, nullptr);
    for (size_t i = 0; i < kControllers; i++)
      ask ("POST", i, "/work", job (ref.c_str (), 1));
    auto all = [&] {
      return std::all_of (replies.begin (), replies.end (), [] (const auto &reply) { return reply->done; });
    };
    EXPECT_TRUE (wait_for (all));
    return replies;
  }
  // Ends the job, every other one by a cancellation; the final state that one controller shows.
  void
  bring_to_its_end (int number, const std::string &ref, std::string *final)
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

// Once a user has been answered that a job is accepted, done or cancelled, no controller shows anything
// older, however soon it is asked: the caches of final states and the polls that share one
// comparison are in each process, beyond what the simulated world has.
TEST_F (CloseLooks, AtEveryControllerShowNothingOlder)
{
  constexpr int kJobs = 24;
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  int answered = 0;
  for (int number = 0; number < kJobs; number++) {
    std::string ref = "req-5" + std::to_string (number), final;
    ASSERT_EQ (submit (number % 3, job (ref.c_str (), 1))->status, 201u);
    for (const auto &reply : look_closely (ref)) {
      EXPECT_TRUE (reply->status == 200 || reply->status == 503) << ref << " was accepted, then " << reply->status;
      answered += reply->status == 200;
    }
    ASSERT_NO_FATAL_FAILURE (bring_to_its_end (number, ref, &final));
    for (const auto &reply : look_closely (ref))
      EXPECT_TRUE (reply->status == 503 || (reply->status == 200 && reply->text ("standing") == final))
          << ref << " was " << final << ", then " << reply->status << " " << reply->text ("standing");
  }
  EXPECT_GT (answered, kJobs) << "hardly any question was answered";
  EXPECT_GT (cancelled, 0);
  EXPECT_GT (done, 0);
}

} // namespace
