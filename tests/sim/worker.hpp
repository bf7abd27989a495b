// Stand-in for a machine with its worker agent, written from the protocol: it sends
// heartbeats to a controller, executes commands and runs tasks.
//
// Owned by the simulated cloud's list of machines (World::machines); it tells the
// checker which tasks it has.
#pragma once
#include "clock.hpp"
#include "handles.hpp"

#include <functional>
#include <string>
#include <vector>

namespace sim {

class World;
struct HeartbeatAnswer;

// A task of a worker, from the start command until it is forgotten.
struct WorkerTask {
  std::string job;
  guint index;
  guint64 attempt;
  FtTaskPhase phase = FT_TASK_PHASE_FETCHING;
  FtExitReason exit_reason = FT_EXIT_NONE;
  Time next_at = 0; // when it has its image, then when it completes
  bool fails = false;

  // "JOB/INDEX"
  std::string
  name () const
  {
    return job + "/" + std::to_string (index);
  }
};

class Worker {
public:
  static constexpr double kCpus = 16;          // of every machine
  static constexpr double kCpuRounding = 1e-6; // sums of CPUs are compared with that tolerance

  // It is off until boot().
  Worker (World &world, std::string name, std::string zone, bool spot);

  // ---- power and faults ----

  void boot ();
  // For good: the machine is terminated or lost.
  void die ();
  // Off and on again at once: its tasks are lost, its incarnation is a new one.
  void reboot ();
  // Until then it does nothing; afterwards it goes on, and takes in what has arrived.
  void hang (Time until);
  // Until then nothing reaches it, while its heartbeats go out.
  void stop_receiving (Time until);
  // Until then it can open no connection to a controller, while commands reach it.
  void stop_reporting (Time until);

  // ---- protocol ----

  struct CommandAnswer {
    guint status;
    Heartbeat heartbeat;
  };
  // Commands that a controller sends directly, with its fencing token.
  CommandAnswer execute_commands (guint64 token, guint64 incarnation, const GArray *commands);

  // ---- questions of tests ----

  // Whether a task of the job runs here.
  bool runs (const std::string &ref) const;
  // CPUs of the tasks that have not exited.
  double used_cpus () const;
  // Whether nothing keeps it from hearing and being heard now.
  bool reachable () const;
  // Whether messages to it are lost now.
  bool
  drops_messages (Time now) const
  {
    return !alive || now < not_receiving_until_;
  }
  const std::vector<WorkerTask> &
  tasks () const
  {
    return tasks_;
  }

  const std::string name, zone;
  const bool spot;
  bool alive = true;         // the cloud has not terminated it
  bool up = false;           // it has booted
  Time tasks_fail_until = 0; // every task that it starts until then fails at once
  Time hung_until = 0;

private:
  Heartbeat heartbeat ();
  void tick ();
  void check_lease ();
  void lose_tasks ();
  void send_heartbeat ();
  void deliver_heartbeat (const Heartbeat &heartbeat, std::function<void (const HeartbeatAnswer &)> finish);
  void duplicate_heartbeat (const Heartbeat &heartbeat);
  void on_answer (Time sent, guint64 incarnation, const HeartbeatAnswer &answer);
  void execute (const GArray *commands);
  void start (const FtCommand &command);
  void run_tasks ();
  void begin_task (WorkerTask &task);
  void complete_task (WorkerTask &task);
  void exit_task (WorkerTask &task, FtExitReason reason);

  World &world_;
  double clock_rate_; // of its steady clock
  int node_;          // the controller that it reports to
  guint64 incarnation_ = 1, sequence_ = 0;
  guint64 token_ = 0;   // the highest fencing token seen
  Time lease_from_ = 0; // its lease counts from when the last answered heartbeat was sent
  Time next_heartbeat_at_ = 0, last_heartbeat_at_ = 0;
  bool awaiting_answer_ = false;
  bool changed_ = true; // something has changed since the last heartbeat
  Time not_receiving_until_ = 0, not_reporting_until_ = 0, not_reporting_since_ = 0;
  std::vector<WorkerTask> tasks_;
};

} // namespace sim
