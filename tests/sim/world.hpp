// The simulated world: three controllers, built from flintrack's own core, run in simulated time
// against stand-ins for the store, the cloud, the network, the machines and the users.
//
// The stand-ins are written from PROTOCOL-flintrack.md. All random numbers come from one seeded
// generator, so that a run can be repeated; a change in the order of the draws changes the run
// that a seed gives. The checker is called after each event. The parts are in
//   world.cpp    construction, clock and event loop
//   network.cpp  messages between hosts
//   users.cpp    submissions, cancellations and polls
// and in store.hpp, cloud.hpp, worker.hpp, node.hpp and checker.hpp; day.hpp adds the work and
// the faults of a whole run.
#pragma once
#include "checker.hpp"
#include "clock.hpp"
#include "cloud.hpp"
#include "faults.hpp"
#include "handles.hpp"
#include "node.hpp"
#include "store.hpp"
#include "worker.hpp"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

extern "C" {
#include "core/types.h"
#include "wire/job_rows.h"
}

namespace sim {

// The content of a job's state row in the store.
struct JobRow {
  guint64 revision;
  FtJobRow state;
};

class World {
public:
  // `scale` multiplies the number of machines that the cloud has, and the teams' guarantees and limits.
  explicit World (guint32 seed, guint scale = 1);
  ~World ();
  World (const World &) = delete;
  World &operator= (const World &) = delete;

  // ---- clock ----

  // Schedules an action for that time, or for now if that time is past.
  void at (Time when, EventQueue::Action action);
  // Schedules an action for `delay` from now.
  void
  after (Time delay, EventQueue::Action action)
  {
    at (now + delay, std::move (action));
  }
  // Runs all actions that are due up to that time, and sets the clock to it.
  void run_until (Time end);

  // ---- randomness ----

  // A random number, at least `from` and below `to`.
  double
  uniform (double from, double to)
  {
    return g_rand_double_range (random, from, to);
  }
  // A random time span between the two numbers of seconds.
  Time
  seconds_between (double least, double most)
  {
    return (Time) (uniform (least, most) * kSecond);
  }
  // A random integer, at least 0 and below the limit.
  int
  below (int limit)
  {
    return g_rand_int_range (random, 0, limit);
  }
  // Returns true with that probability.
  bool
  chance (double probability)
  {
    return uniform (0, 1) < probability;
  }

  // ---- network ----

  // Delivers a message from one host to another by running the action. The message may be lost or
  // late. A message sent across a cut is either lost or delivered after the end of the cut. A host
  // is "node-INDEX", a machine's name, "store" or "cloud".
  void deliver (const std::string &from, const std::string &to, EventQueue::Action action);
  // Cuts the network between two hosts, in both directions, until that time.
  void cut (const std::string &first, const std::string &second, Time until);
  bool is_cut (const std::string &from, const std::string &to) const;
  // Executes direct commands that arrive at their machine now, and returns the worker's answer; empty if the machine is
  // not up.
  std::optional<Worker::CommandAnswer> execute_direct (const DirectMessage &direct);
  // Delivers a copy of direct commands to their machine now, whatever became of the original. The answer is dropped.
  void deliver_copy (const DirectMessage &direct);
  // How late the copy of a direct command arrives: up to a second, up to 1.5 worker leases or up to four minutes, each
  // equally often.
  Time copy_delay ();
  // Keeps the worker's newest heartbeat, for replay_heartbeats(). Called only with
  // FaultSettings::replay_heartbeats.
  void keep_heartbeat (const Heartbeat &heartbeat);
  // Delivers the heartbeats that were kept to every controller; called at each takeover.
  void replay_heartbeats ();

  // ---- users: requests to a randomly chosen controller, answered as src/net/user_api.c does ----

  // Submits a job, and retries until the submission is answered. `run_s`: the mean run time of a task.
  void submit (const std::string &ref, guint tasks, double cpus, double run_s, const std::string &team, bool one_zone,
               bool spread, bool spot, std::vector<std::string> dependencies = {});
  // Requests a job's cancellation, and retries until the request is answered.
  void cancel (const std::string &ref);
  // Requests a job's state once, and reports the answer to the checker.
  void poll (const std::string &ref);
  // Submits a job that can never run or lacks a field. Returns whether the job was accepted, which would be
  // a fault.
  bool submit_invalid (const std::string &ref);
  // Reports to the checker, for each open job, whether a task of it waits although it could run.
  void observe_waiting_jobs ();

  // The job's state row in the store; empty if the job was never accepted.
  std::optional<JobRow> job_row (const std::string &ref) const;

  // Sets all teams' guarantees and limits to 0, which means none.
  void remove_team_limits ();
  // The number of machines that are not terminated.
  guint
  alive_machines () const
  {
    return cloud.alive_machines ();
  }

  Time now = 0;
  GRand *random;
  FaultSettings faults;
  FaultCounters counters;
  FtSettings settings{};
  FtSettings previous_settings{}; // for controllers that run the previous version; borrows from `settings`
  FtCatalog *catalog;
  Store store;
  Cloud cloud{ *this };
  std::map<std::string, std::shared_ptr<Worker> > machines; // by name, including terminated ones
  std::vector<std::unique_ptr<Node> > nodes;
  std::unique_ptr<Checker> checker;
  // Called when a controller has acquired the lease, before it has read any row.
  std::function<void (Node &)> on_takeover;
  // Called when a leader sends direct commands.
  std::function<void (const DirectMessage &)> on_direct_message;
  // Returns how much later than usual a direct command is sent; empty: no later.
  std::function<Time (const DirectMessage &)> direct_delay;

  // ---- behaviour of tasks ----

  Time worker_step = kSecond / 10;     // interval between two steps of a worker's loop
  double longest_fetch_s = 1.5;        // longest time in which a machine fetches an image, at least 0.1 s
  std::map<std::string, double> run_s; // mean run time of a task, in seconds, by job
  // The tasks, as "JOB/INDEX", that have completed on any machine. Their results are kept, so that they complete
  // at once when they run again.
  std::set<std::string> results;
  std::set<std::string> failing_machines; // machines on which every task fails
  std::set<std::string> failing_jobs;     // jobs of which every task fails at once, on any machine
  guint failures = 0;                     // number of task failures so far

private:
  // A submission that has not been answered yet.
  struct PendingSubmission {
    std::string ref;
    std::vector<std::string> dependencies;
    Json open;      // the transaction that accepts the job as open
    Json cancelled; // the transaction that accepts it as cancelled, for a job with a cancelled ancestor
  };

  Node *node_of (const std::string &host) const;
  void arrive (const std::string &to, const EventQueue::Action &action);
  void try_to_submit (const PendingSubmission &pending);
  void answer_poll (const std::string &ref);
  bool is_cancelled (const std::string &ref) const;
  std::vector<std::string> dependencies_of (const std::string &ref) const;
  Json cancellation_transaction (const std::string &ref) const;
  bool commit_cancellation (const Json &transaction);
  bool wants_task (const std::string &ref, const Checker::Job &job) const;
  bool fits (const std::string &ref, const Checker::Job &job, const Worker &worker) const;

  EventQueue events_;
  std::map<std::pair<std::string, std::string>, Time> cuts_; // the end of each cut, by sender and receiver
  std::map<std::string, Heartbeat> kept_heartbeats_;         // the newest heartbeat of each machine, by name
};

} // namespace sim
