// Tests of the errors with which flintrack ends before it serves requests, and of the sample settings in the README.
#include "program_run.hpp"

using namespace loopback;

namespace {

TEST (FlintrackErrors, WrongArgumentsAndInvalidSettingsFilesAreReportedOnOneLine)
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
    EXPECT_NE (missing.err.find (file + ".missing"), std::string::npos) << "the error must name the file";
    EXPECT_EQ (std::count (missing.err.begin (), missing.err.end (), '\n'), 1);
    EXPECT_EQ (missing.out, "");
    expect_error (run (FLINTRACK_PROGRAM, { option, file }), kSettingsWrong,
                  "flintrack: settings: member: a text is needed");
  }
  g_unlink (file.c_str ());
}

// Returns the sample settings from the README; empty if the README does not contain them.
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

// A temporary settings file, deleted with this object: the README's sample settings with free addresses, since tests
// run in parallel.
struct SettingsFile {
  std::string front = free_address (), mesh = free_address (), path;
  SettingsFile ()
  {
    json_t *settings = json_loads (readme_settings ().c_str (), 0, nullptr);
    json_t *services = json_object_get (settings, "services");
    EXPECT_NE (services, nullptr) << "the README contains no sample settings, or they are not valid JSON";
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

// Listens on an address, as another program would. The caller owns the socket.
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

TEST (FlintrackErrors, OccupiedAddressIsReportedOnOneLineWithExitCode4)
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

// Operators see from the last log line why a controller ended. SIGABRT stands for all fatal signals, since the
// sanitizers handle the others themselves.
TEST (FlintrackErrors, FatalSignalIsReportedInTheLastLogLineAndEndsTheProcess)
{
  SettingsFile file;
  g_autoptr (GSubprocess) controller = g_subprocess_new (G_SUBPROCESS_FLAGS_STDERR_PIPE, nullptr, FLINTRACK_PROGRAM,
                                                         "--config", file.path.c_str (), nullptr);
  ASSERT_TRUE (wait_for ([&] { return call ("GET", file.front, "/ready")->status == 503; }));
  g_subprocess_send_signal (controller, SIGABRT);
  g_autofree char *log = nullptr;
  ASSERT_TRUE (g_subprocess_communicate_utf8 (controller, nullptr, nullptr, nullptr, &log, nullptr));
  EXPECT_TRUE (g_subprocess_get_if_signaled (controller));
  EXPECT_EQ (g_subprocess_get_term_sig (controller), SIGABRT);
  std::string text = log;
  ASSERT_FALSE (text.empty ());
  size_t last_line = text.rfind ('\n', text.size () - 2) + 1;
  EXPECT_EQ (text.find ("controller-1 error ended by SIGABRT at address 0x", last_line), last_line) << text;
  EXPECT_NE (text.find (", called from 0x", last_line), std::string::npos) << text;
}

// The README's sample settings are valid, and one controller with them serves `flintctl status` without a state
// service, as the README says. Only the addresses are replaced, since tests run in parallel.
TEST (FlintrackErrors, ReadmeSampleSettingsServeStatusWithoutAStateService)
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
