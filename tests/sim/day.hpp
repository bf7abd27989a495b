// A run in the simulated world: jobs, faults at scheduled times, and the checks at the end.
//
// A test makes a Day from its seed, adds jobs, schedules faults and calls finish(). Parameters
// that the test does not give are drawn at random, some when a fault is scheduled and some when
// it occurs.
#pragma once
#include <gtest/gtest.h>

#include "world.hpp"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace sim {

// Default length of a run.
constexpr Time kLength = 420 * kSecond;

class Day {
public:
  // Starts all controllers. `scale` multiplies the number of machines that the cloud has, and the teams'
  // guarantees and limits.
  explicit Day (guint32 seed, guint scale = 1);

  // ---- jobs and requests of users ----

  // Adds 26 jobs with random teams, sizes, run times and placement constraints, submitted in the first 140 s.
  // Each is cancelled with probability 0.25.
  void load ();
  // Adds jobs whose tasks run for `run_s` seconds on average. They are submitted in the first 8 s, so that
  // their tasks run on machines before most faults begin.
  void load_long (int jobs, guint tasks, double run_s, bool one_zone = false, bool spread = false);
  // Adds jobs of up to 250 tasks, for runs with hundreds of machines.
  void load_large (int jobs);
  // Adds pipelines of four steps, of which the second has several jobs. The first step may depend on a
  // job that was added before, and the last step may be submitted only after the third has ended.
  // The pipelines begin at random times between `from_s` and `until_s`. `cancelled_share`: the share of
  // pipelines in which one job is cancelled.
  void load_pipelines (int count, double cancelled_share, double from_s = 5, double until_s = 100);
  // At `when`, users cancel up to `count` jobs that have running tasks, all within 0.2 s.
  void cancel_running (Time when, guint count);
  // From `from` to the end of the run, a user polls the job at that interval.
  void poll_until_end (const std::string &ref, Time from, Time interval);

  // ---- faults of controllers ----

  // Kills the controller's process, which starts again after 0.3 to 6 s.
  void crash (Time when, int node);
  // Kills the controller's process three times. Each time it starts again after 0.02 to 0.4 s, possibly
  // while the other controllers elect a leader.
  void restart_quickly (Time when, int node);
  // Freezes the controller's process while its clock runs on.
  void freeze (Time when, int node, Time length);
  // The store refuses the requests of one controller only, the leader at `when`. Sets `refused_leader` to it.
  void refuse_leader (Time when, Time length);
  // All controllers run the previous version, with the store's old limits, and from `when` on they are
  // upgraded one after the other. At `limits_at` the store gets its new limits.
  void rolling_upgrade (Time when, Time interval, Time limits_at);

  // ---- faults of machines ----

  // A random machine is lost, hangs for 3 to 40 s, or fails all its tasks from then on.
  void machine_fault (Time when);
  // A random machine reboots at once: it has a new incarnation and has lost its tasks.
  void reboot (Time when);
  // All tasks that begin on a random machine in that time fail at once.
  void fail_tasks (Time when, Time length);
  // All messages to a random machine are lost, while its heartbeats are still sent.
  void stop_receiving (Time when, Time length);

  // ---- faults of the network and the store ----

  // The store refuses all controllers' requests.
  void outage (Time when, Time length);
  // Cuts a controller off from the store, or from about 60 % of the machines, for 5 to 40 s.
  void cut_node (Time when, int node, bool from_store);
  // Cuts the machines of a zone, and the controller `inside` it, off from the other controllers, and that
  // controller off from the store, the cloud and the other machines.
  void cut_zone (Time when, Time length, const std::string &zone, int inside);
  // Schedules crashes, machine faults, cuts of controllers and an outage of the store.
  void all_faults ();

  // ---- queries during the run ----

  // A controller that considers itself the leader; NULL if there is none.
  Node *leader ();
  // The index of a random controller.
  int any_node ();
  // A random machine; there must be at least one.
  std::shared_ptr<Worker> any_machine ();
  // The machines on which tasks of the job are running.
  std::vector<std::shared_ptr<Worker> > machines_of (const std::string &ref);
  // How many cancellations of cancel_running() were confirmed from `from` on and before `to`.
  guint confirmed_between (Time from, Time to) const;

  // ---- the end of the run ----

  // Runs to the end, and expects that no job is open then and that no rule of the checker is violated.
  // No fault may be active in the second half of the run.
  void finish ();

  World world;
  Time length = kLength;
  std::vector<std::string> refs;        // jobs that load() and load_long() have added
  std::vector<std::string> cancelled;   // jobs that cancel_running() has cancelled
  std::set<std::string> unused_reasons; // reasons for which a leader gave no work to a machine that was up
  Node *refused_leader = nullptr;       // set by refuse_leader()

private:
  // A job of a pipeline.
  struct Step {
    std::string ref;
    std::vector<std::string> dependencies;
    guint tasks;
    bool after_dependencies_end; // submitted when its dependencies have ended; otherwise when they are accepted
    bool cancelled;              // a user cancels the job some time after its submission
  };

  bool all_accepted (const std::vector<std::string> &jobs) const;
  bool all_ended (const std::vector<std::string> &jobs) const;
  void submit_step (Time when, const Step &step);
  void load_pipeline (const std::string &name, Time when, int cancelled_step);
  std::string leader_view (const std::string &ref);
  void expect_all_ended ();
  void observe_unused_machines ();
};

} // namespace sim
