// Runs the real programs flintctl and flintrack to their end and captures their output.
#pragma once
#include <gtest/gtest.h>

#include "loopback.hpp"

namespace loopback {

enum { kDone = 0, kRefused = 1, kUsage = 2, kNoAnswer = 3 }; // exit codes of flintctl(1)
enum { kSettingsWrong = 3, kCannotListen = 4 };              // exit codes of flintrack(8)

// A program's exit code (-1 if it did not exit by itself) and output.
struct Result {
  int code = -1;
  std::string out, err;
};

// Arguments of a command line.
using Words = std::vector<std::string>;

// Runs a program to its end. Until then the main loop runs too, so that the stand-ins serve requests. `nodes`: the
// value of FLINTCTL_NODES in the program's environment; nullptr: not set.
inline Result
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
    ADD_FAILURE () << program << " did not end within the time limit";
    g_subprocess_force_exit (process);
    wait_for ([&] { return output.done; });
  }
  Result result;
  result.code = g_subprocess_get_if_exited (process) ? g_subprocess_get_exit_status (process) : -1;
  result.out = output.out ? output.out : "";
  result.err = output.err ? output.err : "";
  return result;
}

inline Result
flintctl (const Words &words, const char *nodes = nullptr)
{
  return run (FLINTCTL_PROGRAM, words, nodes);
}

// Expects that the program failed with that exit code, printed only that line on stderr and nothing on stdout.
inline void
expect_error (const Result &result, int code, const std::string &line)
{
  EXPECT_EQ (result.code, code) << line;
  EXPECT_EQ (result.err, line + "\n");
  EXPECT_EQ (result.out, "") << line;
}

} // namespace loopback
