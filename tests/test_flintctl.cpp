// Tests of the flintctl program: its exit codes, its single line on stderr for each error, and the exact bytes of its
// output, which scripts parse. A stand-in controller gives the answers that a test sets.
#include "program_run.hpp"

using namespace loopback;

namespace {

// A stand-in controller. It answers a request of the administration API with the answer that is set for its "METHOD
// PATH", and any other request with 404.
struct Controller {
  struct Answer {
    guint status;
    std::string json; // the body as JSON text; an empty text means no body
  };
  std::string addr = free_address ();
  std::map<std::string, Answer> answers;
  std::vector<std::string> requests; // each as "METHOD PATH", followed by " BODY" if it has a body
  bool silent = false;               // if set, requests are received and not answered
  std::vector<FtHttpRequest *> held; // requests without an answer; the destructor answers them
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

TEST (Flintctl, WrongArgumentIsReportedOnOneLineWithExitCode2AndNoRequestIsSent)
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
    EXPECT_EQ (help.out.find ("Commands:"), std::string::npos) << "a command's help must not list all commands";
  }
}

// ---- controllers that do not answer ----

TEST (Flintctl, UnreachableControllersAreReportedOnOneLineWithExitCode3)
{
  expect_error (flintctl ({ "status", "--node", "127.0.0.1:1" }), kNoAnswer,
                "flintctl: no controller answered: 127.0.0.1:1");
  expect_error (flintctl ({ "drain", "n-1", "-n", "127.0.0.1:1", "-n", "127.0.0.1:2", "-n", "127.0.0.1:1" }), kNoAnswer,
                "flintctl: no controller answered: 127.0.0.1:1, 127.0.0.1:2");
  expect_error (flintctl ({ "settings", "set", "x", "1" }, "127.0.0.1:1, 127.0.0.1:2,"), kNoAnswer,
                "flintctl: no controller answered: 127.0.0.1:1, 127.0.0.1:2");
}

// flintctl ends by its own timeout if a controller receives the request and never answers.
TEST (Flintctl, ControllerThatNeverAnswersIsReportedAsUnreachable)
{
  Controller controller;
  controller.silent = true;
  expect_error (flintctl ({ "status", "--node", controller.addr }), kNoAnswer,
                "flintctl: no controller answered: " + controller.addr);
  EXPECT_EQ (controller.requests, Words{ "GET /admin/status" });
}

// Guards against reporting a success, with "(null)" as the --json output, if the body of the answer is not a JSON
// object.
TEST (Flintctl, SuccessStatusWithoutAJsonObjectInTheBodyCountsAsNoAnswer)
{
  for (const char *body : { "", "7", "[]", "\"text\"" })
    for (const Words &words : { Words{ "status" }, Words{ "status", "--json" } }) {
      Controller controller;
      controller.answers["GET /admin/status"] = { 200, body };
      expect_error (flintctl (words, controller.addr.c_str ()), kNoAnswer,
                    "flintctl: no controller answered: " + controller.addr);
    }
}

TEST (Flintctl, ControllersThatDoNotAnswerAreSkippedAndReported)
{
  Controller controller;
  controller.answers["GET /admin/teams"] = { 200, "{\"teams\":[]}" };
  controller.answers["GET /admin/settings"] = { 200, "{\"version\":4}" };
  Result result = flintctl ({ "teams", "-n", "127.0.0.1:1", "-n", "127.0.0.1:2", "-n", controller.addr });
  EXPECT_EQ (result.code, kDone);
  EXPECT_EQ (result.out, "none\n");
  EXPECT_EQ (result.err, "flintctl: 127.0.0.1:1 does not answer\nflintctl: 127.0.0.1:2 does not answer\n");

  // The controller that answers decides the exit code. The other one is reported once, although two requests are sent.
  controller.answers["PUT /admin/settings"] = { 422, "{\"error\":\"from 1 to 5\"}" };
  expect_error (flintctl ({ "settings", "set", "x", "9", "-n", "127.0.0.1:1", "-n", controller.addr }), kRefused,
                "flintctl: 127.0.0.1:1 does not answer\nflintctl: from 1 to 5 (422)");
}

// ---- redirects to the leader ----

TEST (Flintctl, RedirectToTheLeaderIsFollowedOnce)
{
  Controller follower, leader;
  follower.answers["GET /admin/jobs"]
      = { 421, "{\"error\":\"this node does not lead\",\"leader\":\"b\",\"addr\":\"" + leader.addr + "\"}" };
  leader.answers["GET /admin/jobs"] = { 200, "{\"jobs\":[]}" };
  Result result = flintctl ({ "jobs", "--node", follower.addr });
  EXPECT_EQ (result.code, kDone);
  EXPECT_EQ (result.out, "none\n");
  EXPECT_EQ (result.err, "");

  // The controller at the redirect's address does not lead either, and its redirect is not followed.
  leader.answers["GET /admin/jobs"] = follower.answers["GET /admin/jobs"];
  expect_error (flintctl ({ "jobs", "--node", follower.addr }), kRefused, "flintctl: this node does not lead (421)");
  EXPECT_EQ (leader.requests.size (), 2u);
}

TEST (Flintctl, LeaderThatDoesNotAnswerIsReported)
{
  Controller follower;
  follower.answers["GET /admin/jobs"] = { 421, "{\"error\":\"this node does not lead\",\"addr\":\"127.0.0.1:1\"}" };
  expect_error (flintctl ({ "jobs", "--node", follower.addr }), kNoAnswer,
                "flintctl: no controller answered: 127.0.0.1:1");
}

// ---- refusals ----

TEST (Flintctl, RefusalIsReportedWithItsReasonOnOneLineWithExitCode1)
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

// ---- requests that flintctl sends ----

TEST (Flintctl, SettingsChangeNamesTheVersionThatWasRead)
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

TEST (Flintctl, MachineNameIsEscapedInTheRequestPath)
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

TEST (Flintctl, OptionsAreAcceptedBeforeAndAfterTheCommand)
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
    EXPECT_EQ (result.err, "") << "FLINTCTL_NODES must be ignored if --node is given";
  }
}

// ---- output ----

// The body of an answer to GET /admin/status, with null values, a table of peers, and a field that only one peer has.
const char status_json[] = "{\"member\":\"hearth-0\",\"ready\":true,\"leader\":null,\"token\":7,\"lease_age_s\":1.25,"
                           "\"peers\":[{\"member\":\"hearth-1\",\"heard_s_ago\":0.5},"
                           "{\"member\":\"hearth-22\",\"heard_s_ago\":null,\"more\":1}]}";

TEST (Flintctl, TextOutputKeepsTheExactFormatThatScriptsParse)
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

TEST (Flintctl, JsonOutputIsIndentedAndKeepsEveryField)
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

} // namespace
