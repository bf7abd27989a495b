// Tests of the administration API and of flintctl with three real controller processes.
#include "loopback.hpp"
#include "loopback/three_controllers.hpp"

using namespace loopback;

namespace {

// Runs flintctl to its end. Returns its output and error output, and sets `code` to its exit code.
std::string
flintctl (std::vector<std::string> arguments, int *code)
{
  std::vector<const char *> argv = { FLINTCTL_PROGRAM };
  for (const std::string &argument : arguments)
    argv.push_back (argument.c_str ());
  argv.push_back (nullptr);
  GSubprocess *process = g_subprocess_newv (
      argv.data (), (GSubprocessFlags) (G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_MERGE), nullptr);
  struct Output {
    bool done = false;
    char *text = nullptr;
  } output;
  auto on_output = [] (GObject *source, GAsyncResult *result, gpointer data) {
    auto read = (Output *) data;
    g_subprocess_communicate_utf8_finish (G_SUBPROCESS (source), result, &read->text, nullptr, nullptr);
    read->done = true;
  };
  g_subprocess_communicate_utf8_async (process, nullptr, nullptr, on_output, &output);
  wait_for ([&] { return output.done; });
  *code = g_subprocess_get_exit_status (process);
  std::string text = output.text ? output.text : "";
  g_free (output.text);
  g_object_unref (process);
  return text;
}

// The body of a request that changes one setting and names the settings version that its sender has read.
json_t *
setting_change (json_int_t version, const char *name, json_t *value)
{
  return json_pack ("{s:I, s:{s:o}}", "version", version, "set", name, value);
}

// Returns the value of a setting in the body of an answer; borrowed. NULL if the body does not contain the setting.
json_t *
setting_value (const json_t *body, const char *name)
{
  size_t i;
  json_t *item;
  json_array_foreach (json_object_get (body, "settings"), i, item)
  {
    if (g_str_equal (json_string_value (json_object_get (item, "name")), name))
      return json_object_get (item, "value");
  }
  return nullptr;
}

class Administration : public ThreeControllers {
protected:
  size_t follower = kControllers; // index of a controller that does not lead
  int code = 0;                   // exit code of the last run of flintctl
  std::unique_ptr<Reply>
  get (size_t i, const char *path)
  {
    return administer ("GET", i, path);
  }
  std::unique_ptr<Reply>
  put (size_t i, json_t *body)
  {
    return administer ("PUT", i, "/admin/settings", body);
  }
  // Runs flintctl with three --node addresses: one at which no process listens, then those of two controllers.
  std::string
  ctl (std::vector<std::string> words)
  {
    for (const std::string &address : { std::string ("127.0.0.1:1"), controllers.mesh[0], controllers.mesh[1] }) {
      words.push_back ("--node");
      words.push_back (address);
    }
    return flintctl (words, &code);
  }
  bool
  ctl_shows (const char *word, const char *text)
  {
    return ctl ({ word }).find (text) != std::string::npos;
  }
  bool
  sample_size_is (size_t i, double wanted)
  {
    auto now = get (i, "/admin/settings");
    json_t *value = setting_value (now->body, "sample_size");
    return json_is_number (value) && json_number_value (value) == wanted;
  }
  void
  find_leader_through_the_api ()
  {
    // The listener for users does not serve the administration API.
    EXPECT_EQ (call ("GET", front (0), "/admin/status")->status, 404u);
    ASSERT_TRUE (wait_for ([&] {
      for (size_t i = 0; i < kControllers; i++)
        if (json_is_true (json_object_get (get (i, "/admin/status")->body, "recovered")))
          leader = i;
      return leader < kControllers;
    }));
    follower = (leader + 1) % kControllers;
    EXPECT_EQ (get (leader, "/admin/teams")->status, 200u);
    std::string name = "hearth-" + std::to_string (leader);
    ASSERT_TRUE (wait_for ([&] { return get (follower, "/admin/status")->text ("leader") == name; }));
  }
  void
  expect_redirect_to_the_leader_and_unknown_paths_refused ()
  {
    auto redirected = get (follower, "/admin/machines");
    EXPECT_EQ (redirected->status, 421u);
    EXPECT_EQ (redirected->text ("addr"), controllers.mesh[leader]);
    EXPECT_EQ (get (0, "/admin/nothing")->status, 404u);
    EXPECT_EQ (administer ("DELETE", 0, "/admin/status")->status, 405u);
  }
  // A peer heartbeat above the size limit is refused, and the next one of normal size is accepted.
  void
  expect_oversized_peer_heartbeat_refused ()
  {
    std::string long_text (70000, 'x');
    json_t *too_long = json_pack ("{s:s, s:s}", "member", "hearth-1", "more", long_text.c_str ());
    EXPECT_EQ (administer ("POST", 0, "/mesh/beat", too_long)->status, 400u);
    json_t *heartbeat = json_pack ("{s:s, s:i}", "member", "hearth-1", "served_ms_ago", 1);
    EXPECT_EQ (administer ("POST", 0, "/mesh/beat", heartbeat)->status, 200u);
  }
  void
  expect_invalid_settings_refused_with_a_reason ()
  {
    EXPECT_EQ (put (follower, json_string ("no map"))->status, 400u);
    EXPECT_EQ (put (follower, setting_change (0, "no_such", json_real (1)))->status, 404u);
    auto range = put (follower, setting_change (0, "sample_size", json_real (0)));
    EXPECT_EQ (range->status, 422u);
    EXPECT_NE (range->text ("error").find ("from 1 to 500"), std::string::npos);
    EXPECT_EQ (put (follower, setting_change (0, "log_level", json_string ("loud")))->status, 422u);
    auto rule = put (follower, setting_change (0, "lease_time", json_real (50)));
    EXPECT_EQ (rule->status, 422u);
    EXPECT_NE (rule->text ("error").find ("withdrawal"), std::string::npos);
    EXPECT_EQ (put (follower, setting_change (77, "sample_size", json_real (9)))->status, 409u);
  }
  // A change that is sent to a follower takes effect on all controllers and survives their restart.
  void
  expect_setting_change_on_all_controllers ()
  {
    auto done = put (follower, setting_change (0, "sample_size", json_real (9)));
    ASSERT_EQ (done->status, 200u);
    json_int_t version = json_integer_value (json_object_get (done->body, "version"));
    for (size_t i = 0; i < kControllers; i++)
      EXPECT_TRUE (wait_for ([&] { return sample_size_is (i, 9); }));
    EXPECT_EQ (put (leader, setting_change (version - 1, "sample_size", json_real (5)))->status, 409u);
    for (size_t i = 0; i < kControllers; i++)
      controllers.kill (i);
    for (size_t i = 0; i < kControllers; i++)
      controllers.start (i);
    for (size_t i = 0; i < kControllers; i++) {
      ASSERT_TRUE (controllers.ready (i));
      EXPECT_TRUE (wait_for ([&] { return sample_size_is (i, 9); }));
    }
  }
  // A drained machine gets no work, not even after all controllers have restarted.
  void
  expect_drained_machine_gets_no_work (const Machine &machine)
  {
    ASSERT_TRUE (wait_for ([&] { return ctl_shows ("machines", "n-000001  up"); }));
    ctl ({ "drain", "n-000001" });
    EXPECT_EQ (code, 0);
    ctl ({ "drain", "n-000009" });
    EXPECT_EQ (code, 1);
    for (size_t i = 0; i < kControllers; i++)
      ASSERT_NO_FATAL_FAILURE (restart (i));
    EXPECT_EQ (submit (0, job ("req-1", 1))->status, 201u);
    ASSERT_TRUE (wait_for ([&] { return ctl_shows ("queue", "req-1"); }));
    EXPECT_TRUE (wait_for ([&] { return ctl_shows ("machines", "drained by an operator"); }));
    EXPECT_EQ (machine.starts, 0u);
    EXPECT_NE (ctl ({ "job", "req-1" }).find ("open"), std::string::npos);
    ctl ({ "job", "req-2" });
    EXPECT_EQ (code, 1);
    ctl ({ "undrain", "n-000001" });
    EXPECT_EQ (code, 0);
    EXPECT_TRUE (reaches (1, "req-1", "done"));
  }
  void
  expect_other_flintctl_commands_work ()
  {
    for (const char *word : { "status", "teams", "jobs", "metrics" }) {
      EXPECT_FALSE (ctl ({ word }).empty ());
      EXPECT_EQ (code, 0) << word;
      flintctl ({ word, "--json", "--node", controllers.mesh[0] }, &code);
      EXPECT_EQ (code, 0) << word;
    }
    std::string json = flintctl ({ "status", "--json", "--node", controllers.mesh[0] }, &code);
    json_t *parsed = json_loads (json.c_str (), 0, nullptr);
    EXPECT_STREQ (json_string_value (json_object_get (parsed, "member")), "hearth-0");
    json_decref (parsed);
    EXPECT_NE (ctl ({ "settings", "set", "idle_time_spot", "30" }).find ("idle_time_spot"), std::string::npos);
    EXPECT_EQ (code, 0);
    ctl ({ "settings", "set", "idle_time_spot", "x" });
    EXPECT_EQ (code, 1);
    ctl ({ "fly" });
    EXPECT_EQ (code, 2);
    flintctl ({ "status", "--node", "127.0.0.1:1" }, &code);
    EXPECT_EQ (code, 3);
  }
  // While the store is unreachable, changes of settings are refused and submissions are answered with 503.
  void
  expect_changes_refused_while_the_store_is_unreachable ()
  {
    services.down = true;
    EXPECT_TRUE (wait_for ([&] { return put (0, setting_change (0, "sample_size", json_real (9)))->status != 200; }));
    EXPECT_TRUE (wait_for ([&] { return submit (0, job ("req-8", 1))->status == 503; }));
    services.down = false;
    EXPECT_TRUE (wait_for ([&] { return submit (0, job ("req-8", 1))->status / 100 == 2; }));
  }
};

TEST_F (Administration, OperatorsManageSettingsAndMachinesThroughAnyController)
{
  Machine machine (controllers.front);
  ASSERT_NO_FATAL_FAILURE (find_leader_through_the_api ());
  expect_redirect_to_the_leader_and_unknown_paths_refused ();
  expect_oversized_peer_heartbeat_refused ();
  expect_invalid_settings_refused_with_a_reason ();
  ASSERT_NO_FATAL_FAILURE (expect_setting_change_on_all_controllers ());
  ASSERT_NO_FATAL_FAILURE (expect_drained_machine_gets_no_work (machine));
  expect_other_flintctl_commands_work ();
  expect_changes_refused_while_the_store_is_unreachable ();
}

} // namespace
