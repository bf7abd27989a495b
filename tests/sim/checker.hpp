// The rules of the protocol, checked from outside.
//
// The checker sees only what is on machines and what users are told, never what a
// scheduler believes. The simulated machines and users report to it; a test reads
// violations() at the end. It is independent of the code under test and must stay so.
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
  // What is known of a job from outside.
  struct Job {
    // As submitted.
    std::string team, job_class;
    double cpus = 0; // of each task
    guint tasks = 0;
    bool spot = true, one_zone = false, spread = false;
    std::string zone;                      // empty: any
    std::vector<std::string> dependencies; // jobs that must be done before it
    Time submitted_at = 0;
    bool can_ever_run = true; // by the protocol; if not, accepting it is wrong

    // What its user has done and was told.
    bool accepted = false;
    bool cancellation_requested = false;
    std::optional<Time> cancellation_confirmed_at;
    std::string final_state; // "done" or "cancelled" once a user was told so; empty before
    std::optional<Time> last_answered_at;

    // What has happened on machines.
    std::set<guint> done; // indices of completed tasks
    Time last_completed_at = 0;
    std::optional<Time> first_start_at;
    std::optional<Time> runnable_since; // it has been waiting since then although it could run
    guint starts_after_cancellation = 0;
    Time latest_start_after_cancellation = 0; // how long after the confirmation, at most
  };

  // The machine of a task, by what matters for the rules.
  struct Placement {
    std::string machine, zone;
    bool spot;
  };

  // `limits`: CPUs of each team. `cancel`: within that time of its confirmed
  // cancellation a job must have no task left.
  Checker (std::map<std::string, double> limits, Time cancel) : limits_ (std::move (limits)), cancel_ (cancel) {}

  // ---- events on machines ----

  void task_started (Time now, const std::string &ref, guint index, const Placement &where);
  // The task is no longer on the machine, for whatever reason.
  void task_stopped (const std::string &ref, guint index, const std::string &machine);
  void task_completed (Time now, const std::string &ref, guint index);
  // Called when the last task of a job has completed, before any controller knows.
  std::function<void (const std::string &ref)> on_last_task_completed;

  // ---- events at users ----

  void submitted (const std::string &ref, const Job &job);
  void cancellation_requested (const std::string &ref);
  // A user has asked about the job, and was answered or not.
  void polled (Time now, const std::string &ref, bool answered);
  // A user was told this state; empty stands for 404.
  void state_reported (Time now, const std::string &ref, const std::string &state);
  // A repeated submission was refused for good.
  void resubmission_refused (const std::string &ref);

  // ---- events of the run ----

  // No fault is active from here on: jobs must be answered and served in time.
  void faults_over (Time now);
  // The team has no limit.
  void remove_limit (const std::string &team);
  // Whether the job waits although a machine that fits has room and its team is
  // under its limit; to be called for each waiting job every few seconds.
  void observe_waiting (Time now, const std::string &ref, bool could_run);
  // A leader's write of a job's end was refused although the job is open: the
  // leader knew a wrong revision of its row.
  void stale_revision_used (const std::string &ref);
  // Cancelled jobs must have no task left after their time; called after each event.
  void check_cancelled_jobs (Time now);
  // The rules about the whole run.
  void check_at_end ();

  // ---- questions ----

  // Each broken rule as "rule: what was seen".
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
  // Tasks that were started in the whole run.
  guint
  starts () const
  {
    return starts_;
  }
  // Starts of jobs whose cancellation had been confirmed; the protocol counts them.
  guint starts_after_cancellation () const;
  // Whether all jobs that it depends on are done.
  bool dependencies_done (const Job &job) const;
  // Tasks of the job that are on machines, and how many of them are in the zone.
  guint live (const std::string &ref) const;
  guint live_in (const std::string &ref, const std::string &zone) const;

private:
  using Jobs = std::vector<const Job *>;
  using TaskKey = std::pair<std::string, guint>;

  void violated (const std::string &rule, const std::string &what);
  bool any_ancestor (const Job &job, const std::function<bool (const Job &)> &holds) const;
  bool cancellation_overdue (const Job &job, Time now) const;
  void check_zones (const std::string &ref, const Job &job, const Placement &where);
  void check_final_state (Time now, const std::string &ref, const Job &job, const std::string &state);
  void check_served (const std::string &group, const Jobs &jobs);
  void check_largest (const std::string &job_class, Jobs jobs);
  Time ready_at (const Job &job) const;

  std::map<std::string, double> limits_, used_; // CPUs of each team
  Time cancel_;
  std::optional<Time> faults_over_at_;
  std::map<std::string, Job> jobs_;
  std::set<std::string> cancelled_; // confirmed to a user
  std::set<std::string> overdue_;   // of them, those that were still on a machine too late
  std::map<TaskKey, std::vector<Placement> > placements_;
  std::vector<std::string> violations_;
  guint starts_ = 0;
};

} // namespace sim
