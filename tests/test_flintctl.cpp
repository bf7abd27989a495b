// flintctl, the real program: its exit codes, its one line on stderr for each error, and its output byte for byte,
// which scripts parse. A stand-in controller answers what a test sets. Of flintrack: its errors before it serves.
#include <gtest/gtest.h>

#include "loopback.hpp"

using namespace loopback;

namespace {

enum { kDone = 0, kRefused = 1, kUsage = 2, kNoAnswer = 3 }; // flintctl(1)
enum { kSettingsWrong = 3, kCannotListen = 4 };              // flintrack(8)

struct Result {
  int code = -1;
  std::string out, err;
};

using Words = std::vector<std::string>;

// Runs a program to its end, with FLINTCTL_NODES as given (nullptr: not set), and serves the stand-ins meanwhile.
Result
run (const char *program, const Words &words, const char *nodes = nullptr)
{
  std::vector<const char *> argv = { program };
  for (const std::string &word : words)
    argv.push_back (word.c_str ());
  argv.push_back (nullptr);
  auto flags = (GSubprocessFlags) (G_SUBPROCESS_FLAGS_STDOUT_PIPE | G_SUBPROCESS_FLAGS_STDERR_PIPE);
  g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (flags);
  g_subprocess_launcher_unsetenv (launcher, "FLINTCTL_NODES");
  if (nodes != nullptr)
    g_subprocess_launcher_setenv (launcher, "FLINTCTL_NODES", nodes, TRUE);
  g_subprocess_launcher_setenv (launcher, "LC_ALL", "C", TRUE);
  g_autoptr (GSubprocess) process = g_subprocess_launcher_spawnv (launcher, argv.data (), nullptr);
  struct Output {
    bool done = false;
    char *out = nullptr, *err = nullptr;
    ~Output ()
    {
      g_free (out);
      g_free (err);
    }
  } output;
  auto on_end = [] (GObject *source, GAsyncResult *result, gpointer data) {
    auto self = (Output *) data;
    g_subprocess_communicate_utf8_finish (G_SUBPROCESS (source), result, &self->out, &self->err, nullptr);
    self->done = true;
  };
  g_subprocess_communicate_utf8_async (process, nullptr, nullptr, on_end, &output);
  if (!wait_for ([&] { return output.done; })) {
    ADD_FAILURE () << program << " did not end";
    g_subprocess_force_exit (process);
    wait_for ([&] { return output.done; });
  }
  Result result;
  result.code = g_subprocess_get_if_exited (process) ? g_subprocess_get_exit_status (process) : -1;
  result.out = output.out ? output.out : "";
  result.err = output.err ? output.err : "";
  return result;
}

Result
flintctl (const Words &words, const char *nodes = nullptr)
{
  return run (FLINTCTL_PROGRAM, words, nodes);
}

// An error is one line on stderr, nothing on stdout, and the exit code.
void
expect_error (const Result &result, int code, const std::string &line)
{
  EXPECT_EQ (result.code, code) << line;
  EXPECT_EQ (result.err, line + "\n");
  EXPECT_EQ (result.out, "") << line;
}

// Answers requests of the administration API with what was set for "METHOD PATH"; the rest gets 404.
struct Controller {
  struct Answer {
    guint status;
    std::string json; // the body as JSON; empty: none
  };
  std::string addr = free_address ();
  std::map<std::string, Answer> answers;
  std::vector<std::string> requests; // "METHOD PATH", then a blank and the body if there is one
  bool silent = false;               // takes requests and answers none
  std::vector<FtHttpRequest *> held;
  FtHttpServer *server;
  Controller () { server = ft_http_server_new (addr.c_str (), FT_BODY_JSON, 20, on_request, this, nullptr); }
  ~Controller ()
  {
    for (FtHttpRequest *request : held)
      ft_http_respond (request, 503, nullptr);
    ft_http_server_free (server);
  }
  static void
  on_request (FtHttpRequest *request, gpointer data)
  {
    auto self = (Controller *) data;
    std::string key = std::string (ft_http_method (request)) + " " + ft_http_path (request);
    const json_t *body = ft_http_body (request);
    char *text = body != nullptr ? json_dumps (body, JSON_COMPACT | JSON_ENCODE_ANY) : nullptr;
    self->requests.push_back (text != nullptr ? key + " " + text : key);
    free (text);
    if (self->silent) {
      self->held.push_back (request);
      return;
    }
    auto answer = self->answers.find (key);
    if (answer == self->answers.end ())
      ft_http_respond (request, 404, json_pack ("{s:s}", "error", "there is no such path"));
    else
      ft_http_respond (request, answer->second.status,
                       json_loads (answer->second.json.c_str (), JSON_DECODE_ANY, nullptr));
  }
};

// ---- wrong arguments ----

TEST (Flintctl, AWrongArgumentIsOneLineAndExitCode2AndNothingIsSent)
{
  Controller controller;
  const std::string form = " is not an address of the form HOST:PORT";
  const std::vector<std::pair<Words, std::string> > cases = {
    { {}, "a command is needed; see --help" },
    { { "--json" }, "a command is needed; see --help" },
    { { "fly" }, "there is no command fly; see --help" },
    { { "fly", "--help" }, "there is no command fly; see --help" },
    { { "status", "--fast" }, "Unknown option --fast" },
    { { "status", "extra" }, "wrong arguments, usage: flintctl status" },
    { { "job" }, "wrong arguments, usage: flintctl job REF" },
    { { "drain" }, "wrong arguments, usage: flintctl drain MACHINE" },
    { { "undrain", "n-1", "n-2" }, "wrong arguments, usage: flintctl undrain MACHINE" },
    { { "settings" }, "wrong arguments, usage: flintctl settings get | set NAME VALUE" },
    { { "settings", "get", "x" }, "wrong arguments, usage: flintctl settings get | set NAME VALUE" },
    { { "settings", "set", "x" }, "wrong arguments, usage: flintctl settings get | set NAME VALUE" },
    { { "settings", "put", "x", "1" }, "wrong arguments, usage: flintctl settings get | set NAME VALUE" },
    { { "status", "--node" }, "Missing argument for --node" },
    { { "status", "--node", "10.0.0.1" }, "--node: 10.0.0.1" + form },
    { { "status", "--node", ":8081" }, "--node: :8081" + form },
    { { "status", "--node", "10.0.0.1:0" }, "--node: 10.0.0.1:0" + form },
    { { "status", "--node", "10.0.0.1:65536" }, "--node: 10.0.0.1:65536" + form },
    { { "status", "--node", "http://10.0.0.1:8081" }, "--node: http://10.0.0.1:8081" + form },
    { { "status", "--node", controller.addr, "-n", "x" }, "--node: x" + form },
    { { "status", "--node", "a:1,b:2" }, "--node: a:1,b:2" + form },
  };
  for (const auto &[words, line] : cases)
    expect_error (flintctl (words, controller.addr.c_str ()), kUsage, "flintctl: " + line);
  expect_error (flintctl ({ "status" }, (controller.addr + ",b").c_str ()), kUsage,
                "flintctl: FLINTCTL_NODES: b" + form);
  expect_error (flintctl ({ "status" }, ""), kUsage, "flintctl: FLINTCTL_NODES names no address");
  EXPECT_TRUE (controller.requests.empty ());
}

TEST (Flintctl, HelpNamesEveryCommandAndExitCode)
{
  const Words commands
      = { "status", "teams", "jobs", "job", "queue", "machines", "drain", "undrain", "settings", "metrics" };
  for (const char *option : { "--help", "-h", "-?", "--help-all" }) {
    Result help = flintctl ({ option });
    EXPECT_EQ (help.code, kDone) << option;
    EXPECT_EQ (help.err, "");
    for (const std::string &command : commands)
      EXPECT_NE (help.out.find ("\n  " + command + " "), std::string::npos) << option << " " << command;
    EXPECT_NE (help.out.find ("Exit codes: 0 done, 1 refused, 2 wrong arguments, 3 no controller answered."),
               std::string::npos);
    EXPECT_NE (help.out.find ("-n, --node=HOST:PORT"), std::string::npos);
  }
  for (const std::string &command : commands) {
    Result help = flintctl ({ "--json", command, "--help" });
    EXPECT_EQ (help.code, kDone) << command;
    EXPECT_NE (help.out.find ("] " + command + " "), std::string::npos) << help.out;
    EXPECT_EQ (help.out.find ("Commands:"), std::string::npos) << "the help of the command alone";
  }
}

// ---- no answer ----

TEST (Flintctl, AnUnreachableControllerIsOneLineAndExitCode3)
{
  expect_error (flintctl ({ "status", "--node", "127.0.0.1:1" }), kNoAnswer,
                "flintctl: no controller answered: 127.0.0.1:1");
  expect_error (flintctl ({ "drain", "n-1", "-n", "127.0.0.1:1", "-n", "127.0.0.1:2", "-n", "127.0.0.1:1" }), kNoAnswer,
                "flintctl: no controller answered: 127.0.0.1:1, 127.0.0.1:2");
  expect_error (flintctl ({ "settings", "set", "x", "1" }, "127.0.0.1:1, 127.0.0.1:2,"), kNoAnswer,
                "flintctl: no controller answered: 127.0.0.1:1, 127.0.0.1:2");
}

// It takes the request and never answers: flintctl ends by itself.
TEST (Flintctl, AControllerThatTakesARequestAndNeverAnswersIsUnreachable)
{
  Controller controller;
  controller.silent = true;
  expect_error (flintctl ({ "status", "--node", controller.addr }), kNoAnswer,
                "flintctl: no controller answered: " + controller.addr);
  EXPECT_EQ (controller.requests, Words{ "GET /admin/status" });
}

// Before, `--json` printed "(null)" and all was called done.
TEST (Flintctl, ASuccessWithoutAJsonObjectIsNoAnswer)
{
  for (const char *body : { "", "7", "[]", "\"text\"" })
    for (const Words &words : { Words{ "status" }, Words{ "status", "--json" } }) {
      Controller controller;
      controller.answers["GET /admin/status"] = { 200, body };
      expect_error (flintctl (words, controller.addr.c_str ()), kNoAnswer,
                    "flintctl: no controller answered: " + controller.addr);
    }
}

TEST (Flintctl, ControllersThatDoNotAnswerArePassedOverAndNamed)
{
  Controller controller;
  controller.answers["GET /admin/teams"] = { 200, "{\"teams\":[]}" };
  controller.answers["GET /admin/settings"] = { 200, "{\"version\":4}" };
  Result result = flintctl ({ "teams", "-n", "127.0.0.1:1", "-n", "127.0.0.1:2", "-n", controller.addr });
  EXPECT_EQ (result.code, kDone);
  EXPECT_EQ (result.out, "none\n");
  EXPECT_EQ (result.err, "flintctl: 127.0.0.1:1 does not answer\nflintctl: 127.0.0.1:2 does not answer\n");

  // The one that answers decides, and a controller is named once for two requests.
  controller.answers["PUT /admin/settings"] = { 422, "{\"error\":\"from 1 to 5\"}" };
  expect_error (flintctl ({ "settings", "set", "x", "9", "-n", "127.0.0.1:1", "-n", controller.addr }), kRefused,
                "flintctl: 127.0.0.1:1 does not answer\nflintctl: from 1 to 5 (422)");
}

// ---- the leader ----

TEST (Flintctl, GoesOnToTheLeaderThatAControllerNames)
{
  Controller follower, leader;
  follower.answers["GET /admin/jobs"]
      = { 421, "{\"error\":\"this node does not lead\",\"leader\":\"b\",\"addr\":\"" + leader.addr + "\"}" };
  leader.answers["GET /admin/jobs"] = { 200, "{\"jobs\":[]}" };
  Result result = flintctl ({ "jobs", "--node", follower.addr });
  EXPECT_EQ (result.code, kDone);
  EXPECT_EQ (result.out, "none\n");
  EXPECT_EQ (result.err, "");

  // It leads no more, either: no third one is asked.
  leader.answers["GET /admin/jobs"] = follower.answers["GET /admin/jobs"];
  expect_error (flintctl ({ "jobs", "--node", follower.addr }), kRefused, "flintctl: this node does not lead (421)");
  EXPECT_EQ (leader.requests.size (), 2u);
}

TEST (Flintctl, ALeaderThatDoesNotAnswerIsNamed)
{
  Controller follower;
  follower.answers["GET /admin/jobs"] = { 421, "{\"error\":\"this node does not lead\",\"addr\":\"127.0.0.1:1\"}" };
  expect_error (flintctl ({ "jobs", "--node", follower.addr }), kNoAnswer,
                "flintctl: no controller answered: 127.0.0.1:1");
}

// ---- refusals ----

TEST (Flintctl, ARefusalIsItsReasonOnOneLineAndExitCode1)
{
  Controller controller;
  controller.answers["GET /admin/teams"] = { 503, "{\"error\":\"no leader is known at the moment\"}" };
  controller.answers["POST /admin/machines/n-9/drain"] = { 404, "{\"error\":\"there is no machine n-9\"}" };
  controller.answers["GET /admin/queue"] = { 503, "" };
  controller.answers["GET /admin/jobs"] = { 200, "{\"jobs\":[{\"job\":\"req-10\"}]}" };
  controller.answers["GET /admin/settings"] = { 200, "{\"version\":4}" };
  controller.answers["PUT /admin/settings"] = { 409, "{\"error\":\"the settings are at version 5\"}" };
  const std::vector<std::pair<Words, std::string> > cases = {
    { { "teams" }, "no leader is known at the moment (503)" },
    { { "drain", "n-9" }, "there is no machine n-9 (404)" },
    { { "queue" }, "refused (503)" },
    { { "job", "req-1" }, "req-1 is not an open job" },
    { { "settings", "set", "x", "1" }, "the settings are at version 5 (409)" },
    { { "machines" }, "there is no such path (404)" },
  };
  for (const auto &[words, line] : cases)
    expect_error (flintctl (words, controller.addr.c_str ()), kRefused, "flintctl: " + line);
}

// ---- what is sent ----

TEST (Flintctl, SettingsAreChangedAtTheVersionThatWasRead)
{
  const std::vector<std::pair<std::string, std::string> > values
      = { { "30", "30.0" },      { "0.5", "0.5" }, { "debug", "\"debug\"" },
          { "default", "null" }, { "", "\"\"" },   { "3s", "\"3s\"" } };
  for (const auto &[value, sent] : values) {
    Controller controller;
    controller.answers["GET /admin/settings"] = { 200, "{\"version\":41,\"settings\":[]}" };
    controller.answers["PUT /admin/settings"] = { 200, "{\"version\":42,\"settings\":[]}" };
    Result result = flintctl ({ "settings", "set", "idle_reserve", value }, controller.addr.c_str ());
    EXPECT_EQ (result.code, kDone);
    EXPECT_EQ (result.out, "version            42\nnone\n");
    EXPECT_EQ (controller.requests,
               (Words{ "GET /admin/settings",
                       "PUT /admin/settings {\"version\":41,\"set\":{\"idle_reserve\":" + sent + "}}" }));
  }
}

TEST (Flintctl, AMachineNameIsEscapedInThePath)
{
  Controller controller;
  controller.answers["POST /admin/machines/n 1%?#/drain"] = { 200, "{\"machine\":\"n 1%?#\",\"drained\":true}" };
  controller.answers["POST /admin/machines/n-000001/undrain"] = { 200, "{\"machine\":\"n-000001\",\"drained\":false}" };
  Result drain = flintctl ({ "drain", "n 1%?#" }, controller.addr.c_str ());
  EXPECT_EQ (drain.code, kDone) << drain.err;
  EXPECT_EQ (drain.out, "machine            n 1%?#\ndrained            yes\n");
  Result undrain = flintctl ({ "undrain", "n-000001" }, controller.addr.c_str ());
  EXPECT_EQ (undrain.code, kDone) << undrain.err;
  EXPECT_EQ (undrain.out, "machine            n-000001\ndrained            no\n");
}

TEST (Flintctl, OptionsMayStandBeforeAndAfterTheCommand)
{
  Controller controller;
  controller.answers["GET /admin/teams"] = { 200, "{\"teams\":[]}" };
  const std::string &addr = controller.addr;
  const std::string as_json = "{\n  \"teams\": []\n}\n";
  for (const Words &words : { Words{ "--node", addr, "-j", "teams" }, Words{ "teams", "--json", "--node=" + addr },
                              Words{ "-jn", addr, "teams" }, Words{ "-j", "teams", "-n", addr } }) {
    Result result = flintctl (words, "127.0.0.1:1");
    EXPECT_EQ (result.code, kDone) << result.err;
    EXPECT_EQ (result.out, as_json);
    EXPECT_EQ (result.err, "") << "the environment is not used beside --node";
  }
}

// ---- output ----

const char status_json[] = "{\"member\":\"hearth-0\",\"ready\":true,\"leader\":null,\"token\":7,\"lease_age_s\":1.25,"
                           "\"peers\":[{\"member\":\"hearth-1\",\"heard_s_ago\":0.5},"
                           "{\"member\":\"hearth-22\",\"heard_s_ago\":null,\"more\":1}]}";

TEST (Flintctl, TextOutputIsByteForByteAsScriptsParseIt)
{
  Controller controller;
  controller.answers["GET /admin/status"] = { 200, status_json };
  controller.answers["GET /admin/jobs"]
      = { 200, "{\"jobs\":[{\"job\":\"req-1\",\"tasks\":65,\"awaits\":\"\"},{\"job\":\"req-22\",\"tasks\":1}]}" };
  controller.answers["GET /admin/metrics"]
      = { 200,
          "{\"counters\":{\"polls\":3,\"a_name_longer_than_18\":0},\"latency\":{\"submit_ms\":{\"count\":2,\"p50\":"
          "1.5},\"commit_ms\":{\"count\":10,\"p50\":0.25}}}" };
  const std::vector<std::pair<Words, std::string> > cases = {
    { { "status" },
      "member             hearth-0\n"
      "ready              yes\n"
      "leader             -\n"
      "token              7\n"
      "lease_age_s        1.25\n"
      "member     heard_s_ago  \n"
      "hearth-1   0.5          \n"
      "hearth-22  -            \n" },
    { { "jobs" },
      "job     tasks  awaits  \n"
      "req-1   65             \n"
      "req-22  1      -       \n" },
    { { "job", "req-1" },
      "job                req-1\n"
      "tasks              65\n"
      "awaits             \n" },
    { { "metrics" },
      "polls              3\n"
      "a_name_longer_than_18 0\n"
      "latency    count  p50   \n"
      "submit_ms  2      1.5   \n"
      "commit_ms  10     0.25  \n" },
  };
  for (const auto &[words, text] : cases) {
    Result result = flintctl (words, controller.addr.c_str ());
    EXPECT_EQ (result.code, kDone);
    EXPECT_EQ (result.out, text);
    EXPECT_EQ (result.err, "");
  }
}

TEST (Flintctl, JsonOutputIsTheWholeAnswerIndented)
{
  Controller controller;
  controller.answers["GET /admin/status"] = { 200, status_json };
  controller.answers["GET /admin/jobs"] = { 200, "{\"jobs\":[{\"job\":\"req-1\",\"tasks\":65}]}" };
  controller.answers["GET /admin/metrics"] = { 200, "{\"counters\":{\"polls\":3},\"latency\":{}}" };
  json_t *status = json_loads (status_json, 0, nullptr);
  char *indented = json_dumps (status, JSON_INDENT (2));
  EXPECT_EQ (flintctl ({ "status", "--json" }, controller.addr.c_str ()).out, std::string (indented) + "\n");
  free (indented);
  json_decref (status);
  EXPECT_EQ (flintctl ({ "job", "req-1", "--json" }, controller.addr.c_str ()).out,
             "{\n  \"job\": \"req-1\",\n  \"tasks\": 65\n}\n");
  EXPECT_EQ (flintctl ({ "metrics", "--json" }, controller.addr.c_str ()).out,
             "{\n  \"counters\": {\n    \"polls\": 3\n  },\n  \"latency\": {}\n}\n");
}

// ---- flintrack's own errors, and the README ----

TEST (FlintrackErrors, WrongArgumentsAndUnreadableOrWrongSettings)
{
  expect_error (run (FLINTRACK_PROGRAM, {}), kUsage, "flintrack: --config FILE is needed; see --help");
  expect_error (run (FLINTRACK_PROGRAM, { "--fast" }), kUsage, "flintrack: Unknown option --fast");
  expect_error (run (FLINTRACK_PROGRAM, { "--version", "extra" }), kUsage, "flintrack: unexpected argument");
  char *name;
  close (g_file_open_tmp ("flintctl-test-XXXXXX", &name, nullptr));
  std::string file = name;
  g_free (name);
  ASSERT_TRUE (g_file_set_contents (file.c_str (), "{\"services\": {}}", -1, nullptr));
  for (const char *option : { "--check", "--config" }) {
    Result missing = run (FLINTRACK_PROGRAM, { option, file + ".missing" });
    EXPECT_EQ (missing.code, kSettingsWrong);
    EXPECT_EQ (missing.err.rfind ("flintrack: ", 0), 0u);
    EXPECT_NE (missing.err.find (file + ".missing"), std::string::npos) << "it names the file";
    EXPECT_EQ (std::count (missing.err.begin (), missing.err.end (), '\n'), 1);
    EXPECT_EQ (missing.out, "");
    expect_error (run (FLINTRACK_PROGRAM, { option, file }), kSettingsWrong,
                  "flintrack: settings: member: a text is needed");
  }
  g_unlink (file.c_str ());
}

std::string
readme_settings ()
{
  g_autofree char *text = nullptr;
  std::string path = std::string (FT_CORPUS) + "/../../README.md";
  if (!g_file_get_contents (path.c_str (), &text, nullptr, nullptr))
    return "";
  std::string readme = text, begin = "cat > target/settings.json <<'END'\n";
  size_t from = readme.find (begin), to = readme.find ("\n    END\n", from);
  if (from == std::string::npos || to == std::string::npos)
    return "";
  from += begin.size ();
  return readme.substr (from, to - from);
}

// A settings file: the README's with other addresses, since tests run side by side. Gone with this.
struct SettingsFile {
  std::string front = free_address (), mesh = free_address (), path;
  SettingsFile ()
  {
    json_t *settings = json_loads (readme_settings ().c_str (), 0, nullptr);
    json_t *services = json_object_get (settings, "services");
    EXPECT_NE (services, nullptr) << "the README has no settings, or they are no JSON";
    set (settings, "front", front);
    set (settings, "mesh_addr", mesh);
    set (services, "state", free_address ());
    set (services, "cloud", free_address ());
    char *name;
    close (g_file_open_tmp ("flintctl-test-XXXXXX", &name, nullptr));
    path = name;
    g_free (name);
    EXPECT_EQ (json_dump_file (settings, path.c_str (), 0), 0);
    json_decref (settings);
  }
  ~SettingsFile () { g_unlink (path.c_str ()); }
  static void
  set (json_t *map, const char *name, const std::string &value)
  {
    json_object_set_new (map, name, json_string (value.c_str ()));
  }
};

// Takes an address as a program other than flintrack does.
GSocket *
occupy (const std::string &addr)
{
  GSocket *socket = g_socket_new (G_SOCKET_FAMILY_IPV4, G_SOCKET_TYPE_STREAM, G_SOCKET_PROTOCOL_TCP, nullptr);
  size_t colon = addr.find (':');
  auto port = (guint) std::stoi (addr.substr (colon + 1));
  g_autoptr (GSocketAddress) address = g_inet_socket_address_new_from_string (addr.substr (0, colon).c_str (), port);
  EXPECT_TRUE (g_socket_bind (socket, address, FALSE, nullptr));
  EXPECT_TRUE (g_socket_listen (socket, nullptr));
  return socket;
}

TEST (FlintrackErrors, AnAddressThatIsTakenIsOneLineAndExitCode4)
{
  for (bool peers : { false, true }) {
    SettingsFile file;
    g_autoptr (GSocket) socket = occupy (peers ? file.mesh : file.front);
    Result result = run (FLINTRACK_PROGRAM, { "--config", file.path });
    EXPECT_EQ (result.code, kCannotListen) << result.err;
    EXPECT_EQ (result.err,
               "flintrack: cannot listen: " + (peers ? file.mesh : file.front) + " cannot be listened on\n");
    EXPECT_EQ (result.out, "");
  }
}

// The sample settings of the README are valid, and one controller with them serves `flintctl status` without a state
// service, as the README says; only its addresses are replaced, which other tests use as well.
TEST (FlintrackErrors, TheReadmesSampleSettingsServeStatusWithoutAStateService)
{
  SettingsFile file;
  Result check = run (FLINTRACK_PROGRAM, { "--check", file.path });
  EXPECT_EQ (check.code, kDone) << check.err;
  EXPECT_EQ (check.out, file.path + ": settings of controller-1 are valid (1 teams, 1 controllers)\n");

  g_autoptr (GSubprocess) controller = g_subprocess_new (G_SUBPROCESS_FLAGS_STDERR_SILENCE, nullptr, FLINTRACK_PROGRAM,
                                                         "--config", file.path.c_str (), nullptr);
  Result status;
  EXPECT_TRUE (wait_for ([&] {
    return (status = flintctl ({ "status", "-n", file.mesh })).code == kDone;
  })) << status.err;
  for (const char *line : { "member             controller-1\n", "ready              no\n", "state_service      no\n",
                            "leader             -\n" })
    EXPECT_NE (status.out.find (line), std::string::npos) << line << status.out;
  EXPECT_EQ (call ("GET", file.front, "/ready")->status, 503u);
  expect_error (flintctl ({ "machines", "-n", file.mesh }), kRefused,
                "flintctl: no leader is known at the moment (503)");

  g_subprocess_force_exit (controller);
  g_subprocess_wait (controller, nullptr, nullptr);
}

} // namespace
