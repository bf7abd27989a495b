// Runs controllers of the real program as processes, with the settings of their deployment.
#pragma once
#include <glib/gstdio.h>
#include <signal.h>
#include <sys/prctl.h>

#include "services.hpp"

namespace loopback {

// A deployment's settings, in the form that the platform writes into the configuration file.
struct Site {
  double cpus = 8, cpus_max = 16; // guarantee and limit of the team "red"
  double heartbeat_s = 0.3, lease_s = 20, cancel_s = 40;
  // Limits of the store.
  double rps = 500, write_rps = 300, value_kb = 8;
  int txn_ops = 16;
  // Limits that the settings announce as the store's next ones; none are announced if `next_txn_ops` is 0.
  double next_write_rps = 0, next_value_kb = 0;
  int next_txn_ops = 0;
  double cloud_rps = 3, ram_mb = 200;
  int fd_limit = 1000;
  json_t *
  settings () const
  {
    json_t *all = json_pack (
        "{s:i, s:[s], s:[{s:s, s:f, s:f, s:f, s:f}], s:[], s:{s:f, s:f, s:f}, s:{s:f, s:f, s:f, s:i},"
        " s:{s:f, s:f}, s:{s:f, s:f, s:i}, s:f}",
        "size", 3, "zones", "a", "teams", "name", "red", "cpus", cpus, "cpus_max", cpus_max, "gpus", 0.0, "gpus_max",
        0.0, "objectives", "workers", "report_s", heartbeat_s, "lease_s", lease_s, "cancel_s", cancel_s, "state", "rps",
        rps, "write_rps", write_rps, "value_kb", value_kb, "txn_ops", txn_ops, "cloud", "rps", cloud_rps, "list_lag_s",
        1.0, "resources", "cpu_share", 1.0, "ram_mb", ram_mb, "fd_limit", fd_limit, "skew_ms", 25.0);
    if (next_txn_ops > 0)
      json_object_set_new (json_object_get (all, "state"), "next",
                           json_pack ("{s:f, s:f, s:i}", "write_rps", next_write_rps, "value_kb", next_value_kb,
                                      "txn_ops", next_txn_ops));
    return all;
  }
};

// Controllers as processes, each with its own configuration file. Element `i` of each vector belongs to
// controller `i`.
struct Controllers {
  std::vector<std::string> front; // addresses for users and workers
  std::vector<std::string> mesh;  // addresses for peers and operators
  std::vector<std::string> files; // configuration files
  std::vector<std::string> programs;
  std::vector<GSubprocess *> processes; // nullptr: not running
  explicit Controllers (const Services &services, int n = 3, const Site &site = {},
                        const char *program = FLINTRACK_PROGRAM)
  {
    for (int i = 0; i < n; i++) {
      programs.push_back (program);
      front.push_back (free_address ());
      mesh.push_back (free_address ());
    }
    for (int i = 0; i < n; i++) {
      write_file (services, (size_t) i, site);
      processes.push_back (nullptr);
      start (i);
    }
  }
  ~Controllers ()
  {
    for (size_t i = 0; i < processes.size (); i++) {
      kill (i);
      g_unlink (files[i].c_str ());
    }
  }
  void
  start (size_t i)
  {
    g_autoptr (GSubprocessLauncher) launcher = g_subprocess_launcher_new (G_SUBPROCESS_FLAGS_STDERR_SILENCE);
    g_subprocess_launcher_set_child_setup (launcher, die_with_parent, nullptr, nullptr);
    processes[i]
        = g_subprocess_launcher_spawn (launcher, nullptr, programs[i].c_str (), "--config", files[i].c_str (), nullptr);
  }
  void
  kill (size_t i)
  {
    if (processes[i] == nullptr)
      return;
    g_subprocess_send_signal (processes[i], SIGKILL);
    g_subprocess_wait (processes[i], nullptr, nullptr);
    g_clear_object (&processes[i]);
  }
  // Waits until the controller is ready; false if it is not ready within the time limit.
  bool
  ready (size_t i)
  {
    return wait_for ([&] { return call ("GET", front[i], "/ready")->status == 200; });
  }
  // Waits for a leader that has completed its recovery, and returns its index; processes.size() if there is none
  // within the time limit.
  size_t
  leader ()
  {
    size_t found = processes.size ();
    wait_for ([&] {
      for (size_t i = 0; i < processes.size (); i++) {
        auto status = call ("GET", mesh[i], "/admin/status", nullptr, FT_BODY_JSON);
        if (json_is_true (json_object_get (status->body, "recovered")))
          found = i;
      }
      return found < processes.size ();
    });
    return found;
  }

private:
  // Runs in a new controller's process: the kernel kills it when the test ends, also if the test is aborted.
  static void
  die_with_parent (gpointer)
  {
    prctl (PR_SET_PDEATHSIG, SIGKILL);
  }
  void
  write_file (const Services &services, size_t i, const Site &site)
  {
    json_t *others = json_array ();
    for (size_t j = 0; j < front.size (); j++)
      if (j != i)
        json_array_append_new (others, json_pack ("{s:s, s:s}", "member", ("hearth-" + std::to_string (j)).c_str (),
                                                  "peer_addr", mesh[j].c_str ()));
    json_t *root = json_pack (
        "{s:s, s:s, s:s, s:s, s:o, s:{s:s, s:s}, s:o}", "member", ("hearth-" + std::to_string (i)).c_str (), "area",
        "a", "front", front[i].c_str (), "mesh_addr", mesh[i].c_str (), "others", others, "services", "cloud",
        services.cloud_addr.c_str (), "state", services.state_addr.c_str (), "settings", site.settings ());
    char *name;
    close (g_file_open_tmp ("flintrack-test-XXXXXX", &name, nullptr));
    json_dump_file (root, name, 0);
    json_decref (root);
    files.push_back (name);
    g_free (name);
  }
};

} // namespace loopback
