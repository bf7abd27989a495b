// Stand-in for a machine and its worker agent, written from the protocol. It sends heartbeats
// to a controller, executes commands and runs tasks.
//
// World::machines owns the workers. A worker reports to the checker which tasks it runs.
#pragma once
#include "clock.hpp"
#include "handles.hpp"

#include <functional>
#include <set>
#include <string>
#include <vector>

namespace sim {

class World;
struct HeartbeatAnswer;

// A task of a worker, from its start command until the command to forget it.
struct WorkerTask {
  std::string job;
  guint index;
  guint64 attempt;
  FtTaskPhase phase = FT_TASK_PHASE_FETCHING;
  FtExitReason exit_reason = FT_EXIT_NONE;
  Time next_at = 0;   // while fetching: when the image is fetched; while running: when the task completes
  bool fails = false; // the task ends with an error

  // The task's name, "JOB/INDEX".
  std::string
  name () const
  {
    return job + "/" + std::to_string (index);
  }
};

class Worker {
public:
  static constexpr double kCpus = 16;          // CPUs of every machine
  static constexpr double kCpuRounding = 1e-6; // tolerance for rounding in comparisons of sums of CPUs

  // The machine is off until boot().
  Worker (World &world, std::string name, std::string zone, bool spot);

  // ---- power and faults ----

  void boot ();
  // Ends the machine for good: it is terminated or lost.
  void die ();
  // Turns the machine off and on again at once: it loses its tasks and has a new incarnation.
  void reboot ();
  // Hangs the machine until that time; then it resumes and processes the messages that have arrived.
  void hang (Time until);
  // Until that time all messages to the machine are lost, while its heartbeats are still sent.
  void stop_receiving (Time until);
  // Until that time the machine cannot connect to any controller, while direct commands still reach it.
  void stop_reporting (Time until);
  // Until that time direct commands to the machine are lost, while its heartbeats are sent and answered.
  void lose_commands (Time until);

  // ---- protocol ----

  struct CommandAnswer {
    guint status; // 200, or 409 for an old token or another incarnation
    Heartbeat heartbeat;
  };
  // Executes direct commands of a controller with that fencing token, meant for that incarnation of the worker.
  CommandAnswer execute_commands (guint64 token, guint64 incarnation, const GArray *commands);

  // ---- queries ----

  // Whether a task of the job is running on this machine.
  bool runs (const std::string &ref) const;
  // The sum of CPUs of the tasks that have not exited.
  double used_cpus () const;
  // Whether the machine is up and no fault keeps it from receiving or sending messages now.
  bool reachable () const;
  // When its lease ends, unless a heartbeat is answered before.
  Time lease_ends_at () const;
  guint64
  incarnation () const
  {
    return incarnation_;
  }
  // Whether direct commands to the machine are lost at that time.
  bool
  loses_commands (Time now) const
  {
    return now < commands_lost_until_;
  }
  // Whether messages to the machine are lost at that time.
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
  bool alive = true;         // the machine is neither terminated nor lost
  bool up = false;           // the machine has booted and is alive
  Time tasks_fail_until = 0; // tasks that begin to run before that time fail at once
  Time hung_until = 0;       // the machine hangs until that time

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
  double clock_rate_; // rate of its steady clock
  int node_;          // index of the controller that it reports to
  guint64 incarnation_ = 1;
  guint64 sequence_ = 0; // number of the last heartbeat made
  guint64 token_ = 0;    // the highest fencing token seen
  Time lease_from_ = 0;  // start of its lease: when the last answered heartbeat was sent, or its boot or reboot
  Time next_heartbeat_at_ = 0, last_heartbeat_at_ = 0;
  bool awaiting_answer_ = false; // a heartbeat is in flight
  bool changed_ = true;          // the worker has changes that no heartbeat has reported yet
  Time not_receiving_until_ = 0, not_reporting_until_ = 0, not_reporting_since_ = 0;
  Time commands_lost_until_ = 0;
  std::vector<WorkerTask> tasks_;
  std::set<std::string> images_; // jobs whose image is cached
};

} // namespace sim
