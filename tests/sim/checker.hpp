// Checks the rules of the protocol from outside the controllers.
//
// The checker sees only the tasks on machines and the answers to users, never the state of a
// scheduler. The simulated machines and users report events to it; a test reads violations() at
// the end. It uses no code under test, and this must remain so.
#pragma once
#include "clock.hpp"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace sim {

class Checker {
public:
  // A job as it is seen from outside the controllers.
  struct Job {
    // Its specification.
    std::string team, job_class;
    double cpus = 0; // CPUs of each task
    guint tasks = 0;
    bool spot = true, one_zone = false, spread = false;
    std::string zone;                      // the only zone allowed; empty: any
    std::vector<std::string> dependencies; // jobs that must be done before a task of this one starts
    Time submitted_at = 0;
    bool can_ever_run = true; // whether the protocol permits its acceptance

    // Its user's requests, and the answers to them.
    bool accepted = false;
    bool cancellation_requested = false;
    std::optional<Time> cancellation_confirmed_at;
    std::string final_state; // "done" or "cancelled" after a user got that answer; empty before
    std::optional<Time> last_answered_at;

    // Events of its tasks on machines.
    std::set<guint> done; // indices of completed tasks
    Time last_completed_at = 0;
    std::optional<Time> first_start_at;
    std::optional<Time> runnable_since; // since then it has been waiting although it could run
    guint starts_after_cancellation = 0;
    Time latest_start_after_cancellation = 0; // longest time from the confirmed cancellation to a start
  };

  // The machine of a task, with the properties that the rules refer to.
  struct Placement {
    std::string machine, zone;
    bool spot;
  };

  // `limits`: each team's limit in CPUs. `cancel`: the time after its confirmed cancellation at which a
  // job must have no task left on a machine.
  Checker (std::map<std::string, double> limits, Time cancel) : limits_ (std::move (limits)), cancel_ (cancel) {}

  // ---- events on machines ----

  // A task begins to run.
  void task_started (Time now, const std::string &ref, guint index, const Placement &where);
  // A task no longer runs on the machine, for any reason.
  void task_stopped (const std::string &ref, guint index, const std::string &machine);
  // A task has completed its work.
  void task_completed (Time now, const std::string &ref, guint index);
  // Called when the last task of a job has completed, before the result is reported to any controller.
  std::function<void (const std::string &ref)> on_last_task_completed;

  // ---- answers to heartbeats ----

  // A leader has answered a heartbeat of the machine, which renews the worker's lease, without a stop of a live task
  // that the heartbeat lists, although it has read that the task's job is cancelled.
  void cancelled_task_kept (const std::string &task, const std::string &machine);

  // ---- requests of users and their answers ----

  // A user submits a job.
  void submitted (const std::string &ref, const Job &job);
  // A user requests a job's cancellation.
  void cancellation_requested (const std::string &ref);
  // A user has polled the job; `answered`: whether an answer came.
  void polled (Time now, const std::string &ref, bool answered);
  // A user got an answer with this state; an empty one stands for 404.
  void state_reported (Time now, const std::string &ref, const std::string &state);
  // A repeated submission was refused permanently.
  void resubmission_refused (const std::string &ref);

  // ---- events of the run ----

  // Called when the last fault has ended: from now on the bounds on the waits of jobs and on the time without an
  // answered poll apply.
  void faults_over (Time now);
  // Removes the team's limit.
  void remove_limit (const std::string &team);
  // Called for each open job every few seconds. `could_run`: the job waits although a suitable machine has
  // room and the team's limit admits another task.
  void observe_waiting (Time now, const std::string &ref, bool could_run);
  // Called for each machine that is up every few seconds. `reason`: why the leader gives no work to the machine, which
  // runs no task; empty: it may get work, or runs tasks.
  void observe_unused (Time now, const std::string &machine, const std::string &reason);
  // A leader's write for a job was refused although the job is open, because the leader expected a wrong
  // revision of its row.
  void stale_revision_used (const std::string &ref);
  // Checks that no cancelled job has a task on a machine after its deadline; called after each event.
  void check_cancelled_jobs (Time now);
  // Checks the rules about the whole run.
  void check_at_end ();

  // ---- queries ----

  // The violations of rules so far, each as "RULE: DETAILS".
  const std::vector<std::string> &
  violations () const
  {
    return violations_;
  }
  const std::map<std::string, Job> &
  jobs () const
  {
    return jobs_;
  }
  // The number of task starts in the whole run.
  guint
  starts () const
  {
    return starts_;
  }
  // The number of task starts after the cancellation of the task's job was confirmed. Before the deadline such a
  // start violates no rule, but it is counted.
  guint starts_after_cancellation () const;
  // Whether all direct dependencies of the job are done.
  bool dependencies_done (const Job &job) const;
  // The number of running tasks of the job.
  guint live (const std::string &ref) const;
  // The number of running tasks of the job in that zone.
  guint live_in (const std::string &ref, const std::string &zone) const;

private:
  using Jobs = std::vector<const Job *>;
  using TaskKey = std::pair<std::string, guint>;

  void violated (const std::string &rule, const std::string &details);
  bool any_ancestor (const Job &job, const std::function<bool (const Job &)> &holds) const;
  bool cancellation_overdue (const Job &job, Time now) const;
  void check_zones (const std::string &ref, const Job &job, const Placement &where);
  void check_final_state (Time now, const std::string &ref, const Job &job, const std::string &state);
  void check_served (const std::string &group, const Jobs &jobs);
  void check_largest (const std::string &job_class, Jobs jobs);
  Time ready_at (const Job &job) const;

  std::map<std::string, double> limits_; // each team's limit in CPUs
  std::map<std::string, double> used_;   // CPUs that each team's tasks use
  Time cancel_;                          // time from a confirmed cancellation to the deadline for its tasks
  std::optional<Time> faults_over_at_;
  std::map<std::string, Job> jobs_;
  std::map<std::string, Time> unused_since_; // machines that are up, run no task and get no work
  std::set<std::string> cancelled_;          // jobs whose cancellation was confirmed to a user
  std::set<std::string> overdue_;            // cancelled jobs that had a task on a machine after the deadline
  std::map<TaskKey, std::vector<Placement> > placements_; // machines on which each task runs
  std::vector<std::string> violations_;
  guint starts_ = 0;
};

} // namespace sim
