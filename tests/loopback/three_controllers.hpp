// The fixture that most tests of the real program use.
#pragma once
#include <gtest/gtest.h>

#include "controllers.hpp"
#include "jobs.hpp"

namespace loopback {

// Three controllers of one deployment, all ready to serve. Functions with an index `i` call controller `i`.
struct ThreeControllers : testing::Test {
  static constexpr size_t kControllers = 3;
  Services services;
  Controllers controllers;
  size_t leader = kControllers; // index of the leader, set by find_leader()
  explicit ThreeControllers (const Site &site = {}, const char *program = FLINTRACK_PROGRAM)
      : controllers (services, kControllers, site, program)
  {
  }
  void
  SetUp () override
  {
    for (size_t i = 0; i < kControllers; i++)
      ASSERT_TRUE (controllers.ready (i)) << "controller " << i;
  }
  // Waits until one of the controllers leads and has completed its recovery.
  void
  find_leader ()
  {
    leader = controllers.leader ();
    ASSERT_LT (leader, kControllers);
  }
  // Kills the controller's process and starts that program in its place.
  void
  replace (size_t i, const std::string &program)
  {
    controllers.kill (i);
    controllers.programs[i] = program;
    controllers.start (i);
    ASSERT_TRUE (controllers.ready (i)) << "controller " << i;
  }
  // Kills the controller's process and starts the same program again.
  void
  restart (size_t i)
  {
    replace (i, std::string (controllers.programs[i]));
  }
  const std::string &
  front (size_t i) const
  {
    return controllers.front[i];
  }
  std::unique_ptr<Reply>
  submit (size_t i, json_t *body)
  {
    return call ("POST", front (i), "/work", body);
  }
  std::unique_ptr<Reply>
  look_up (size_t i, const std::string &ref)
  {
    return call ("GET", front (i), "/work/" + ref);
  }
  // Cancels the job and returns the state in the answer.
  std::string
  cancel (size_t i, const std::string &ref)
  {
    return call ("POST", front (i), "/work/" + ref + "/withdraw")->text ("standing");
  }
  std::string
  state_of (size_t i, const std::string &ref)
  {
    return look_up (i, ref)->text ("standing");
  }
  // Waits until the job is in that state; false if that takes too long.
  bool
  reaches (size_t i, const std::string &ref, const char *state)
  {
    return reaches_state (front (i), ref.c_str (), state);
  }
  // Sends a request to the controller's administrative API.
  std::unique_ptr<Reply>
  administer (const char *method, size_t i, const std::string &path, json_t *body = nullptr)
  {
    return call (method, controllers.mesh[i], path, body, FT_BODY_JSON);
  }
  // The value of one of the leader's metrics counters.
  json_int_t
  counter (const char *name)
  {
    auto metrics = administer ("GET", leader, "/admin/metrics");
    return json_integer_value (json_object_get (json_object_get (metrics->body, "counters"), name));
  }
};

} // namespace loopback
