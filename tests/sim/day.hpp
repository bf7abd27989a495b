// A run in the simulated world: work for the controllers, faults at set times, and what
// must hold at the end.
//
// A test makes a Day from its seed, loads work, schedules faults and calls finish().
// What is not given is drawn, partly when it is scheduled and partly when it happens.
#pragma once
#include <gtest/gtest.h>

#include "world.hpp"

#include <memory>
#include <string>
#include <vector>

namespace sim {

constexpr Time kLength = 420 * kSecond;

class Day {
public:
  // Starts all controllers. `scale` multiplies the machines and the teams' limits.
  explicit Day (guint32 seed, guint scale = 1);

  // ---- work ----

  // 26 jobs of all kinds in the first 140 s; a quarter of them is cancelled.
  void load ();
  // Jobs with tasks of so many seconds, on machines before most faults begin.
  void load_long (int jobs, guint tasks, double run_s, bool one_zone = false, bool spread = false);
  // For hundreds of machines: jobs of up to 250 tasks.
  void load_large (int jobs);
  // Chains of four steps, the second of several jobs. The first step may depend on jobs
  // loaded before, the last may be submitted when the others are over. In that share of
  // the pipelines one step is cancelled.
  void load_pipelines (int count, double cancelled_share, double from_s = 5, double until_s = 100);
  // Users cancel so many jobs that run, within a fifth of a second.
  void cancel_running (Time when, guint count);
  // A user asks about the job again and again until the end.
  void poll_until_end (const std::string &ref, Time from, Time interval);

  // ---- faults of controllers ----

  // Its process ends, and is back after some seconds.
  void crash (Time when, int node);
  // Its process ends three times and is back within a fraction of a second each time,
  // also while the others elect.
  void restart_quickly (Time when, int node);
  void freeze (Time when, int node, Time length);
  // The store refuses the leader alone; see refused_leader.
  void refuse_leader (Time when, Time length);
  // Controllers of the version before, with the store's old limits, are replaced one after
  // the other; at `limits_at` the store gets its new limits.
  void rolling_upgrade (Time when, Time interval, Time limits_at);

  // ---- faults of machines ----

  // One machine dies, hangs or fails all its tasks.
  void machine_fault (Time when);
  // One machine is off and on again at once: a new incarnation and no tasks.
  void reboot (Time when);
  // One machine receives nothing, while its heartbeats go out.
  void stop_receiving (Time when, Time length);

  // ---- faults of the network and the store ----

  void outage (Time when, Time length);
  // Cuts a controller from the store, or from some of the machines.
  void cut_node (Time when, int node, bool from_store);
  // Cuts a zone with its controller from all others.
  void cut_zone (Time when, Time length, const std::string &zone, int inside);
  // Crashes, machine faults, cuts and an outage.
  void all_faults ();

  // ---- questions while it runs ----

  // The leader as far as it knows itself; NULL: none.
  Node *leader ();
  // A drawn controller's index, and a drawn machine; there must be one.
  int any_node ();
  std::shared_ptr<Worker> any_machine ();
  // The machines on which tasks of the job run.
  std::vector<std::shared_ptr<Worker> > machines_of (const std::string &ref);
  // How many of the cancellations of cancel_running() were confirmed in that span.
  guint confirmed_between (Time from, Time to) const;

  // ---- the end ----

  // Runs to the end. No job may be open then and no rule of the checker broken; from half
  // of the run on no fault may be active.
  void finish ();

  World world;
  Time length = kLength;
  std::vector<std::string> refs;      // jobs that were loaded, without steps of pipelines
  std::vector<std::string> cancelled; // jobs that cancel_running() has taken
  Node *refused_leader = nullptr;     // by refuse_leader()

private:
  struct Step {
    std::string ref;
    std::vector<std::string> dependencies;
    guint tasks;
    bool when_over; // submitted once its dependencies are over; else once they are accepted
    bool cancelled;
  };

  bool all_accepted (const std::vector<std::string> &jobs) const;
  bool all_over (const std::vector<std::string> &jobs) const;
  void submit_step (Time when, const Step &step);
  void load_pipeline (const std::string &name, Time when, int cancelled_step);
  std::string leader_view (const std::string &ref);
  void expect_all_ended ();
};

} // namespace sim
