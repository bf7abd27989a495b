#include "checker.hpp"

#include <algorithm>

namespace sim {

// Once no fault is active: how long a job may wait although it could run, and a machine may get no work.
static constexpr Time kLongestWait = 90 * kSecond;
// Once no fault is active: how long polls of a job may remain unanswered.
static constexpr Time kLongestSilence = 75 * kSecond;
// How long the largest jobs of a class may wait for the start of their first task.
static constexpr Time kLongestWaitOfLargest = 240 * kSecond;
// Tolerance for rounding in comparisons of sums of CPUs.
static constexpr double kCpuRounding = 1e-6;

void
Checker::violated (const std::string &rule, const std::string &details)
{
  violations_.push_back (rule + ": " + details);
}

// ---- queries ----

guint
Checker::starts_after_cancellation () const
{
  guint count = 0;
  for (const auto &[ref, job] : jobs_)
    count += job.starts_after_cancellation;
  return count;
}

bool
Checker::dependencies_done (const Job &job) const
{
  return std::all_of (job.dependencies.begin (), job.dependencies.end (), [&] (const std::string &ref) {
    const Job &dependency = jobs_.at (ref);
    return dependency.done.size () == dependency.tasks;
  });
}

// Whether `holds` is true for any job that this one depends on, directly or indirectly.
bool
Checker::any_ancestor (const Job &job, const std::function<bool (const Job &)> &holds) const
{
  std::vector<std::string> unvisited = job.dependencies;
  std::set<std::string> seen (unvisited.begin (), unvisited.end ());
  while (!unvisited.empty ()) {
    const Job &ancestor = jobs_.at (unvisited.back ());
    unvisited.pop_back ();
    if (holds (ancestor))
      return true;
    for (const std::string &ref : ancestor.dependencies)
      if (seen.insert (ref).second)
        unvisited.push_back (ref);
  }
  return false;
}

// Whether the deadline for the tasks of a cancelled job has passed.
bool
Checker::cancellation_overdue (const Job &job, Time now) const
{
  return job.cancellation_confirmed_at && now > *job.cancellation_confirmed_at + cancel_;
}

guint
Checker::live (const std::string &ref) const
{
  guint count = 0;
  for (auto it = placements_.lower_bound ({ ref, 0 }); it != placements_.end () && it->first.first == ref; ++it)
    count += (guint) it->second.size ();
  return count;
}

guint
Checker::live_in (const std::string &ref, const std::string &zone) const
{
  guint count = 0;
  for (auto it = placements_.lower_bound ({ ref, 0 }); it != placements_.end () && it->first.first == ref; ++it)
    for (const Placement &placement : it->second)
      count += placement.zone == zone;
  return count;
}

// ---- events on machines ----

// Checks the rules on zones for a task that is about to start at `where`.
void
Checker::check_zones (const std::string &ref, const Job &job, const Placement &where)
{
  guint all = live (ref), here = live_in (ref, where.zone);
  if (job.one_zone)
    for (guint i = here; i < all; i++)
      violated ("wrong_place", ref + " has tasks in two zones");
  if (job.spread && here + 1 > (job.tasks + 1) / 2)
    violated ("wrong_place", ref + " has more than half of its tasks in " + where.zone);
}

void
Checker::task_started (Time now, const std::string &ref, guint index, const Placement &where)
{
  Job &job = jobs_[ref];
  if (!job.first_start_at)
    job.first_start_at = now;
  const std::string task = ref + "/" + std::to_string (index);
  starts_++;
  auto &placements = placements_[{ ref, index }];
  if (!placements.empty ())
    violated ("ran_twice", task + " starts on " + where.machine + " while it runs on " + placements[0].machine);
  if ((!job.spot && where.spot) || (!job.zone.empty () && job.zone != where.zone))
    violated ("wrong_place", task + " starts on " + where.machine + ", where its job may not run");
  check_zones (ref, job, where);
  if (!dependencies_done (job))
    violated ("too_early", task + " starts before the jobs that it depends on are done");
  if (cancellation_overdue (job, now))
    violated ("ran_cancelled", task + " starts after the deadline of its job's cancellation");
  if (job.cancellation_confirmed_at) {
    job.starts_after_cancellation++;
    job.latest_start_after_cancellation
        = std::max (job.latest_start_after_cancellation, now - *job.cancellation_confirmed_at);
  }
  job.runnable_since.reset ();
  placements.push_back (where);
  used_[job.team] += job.cpus;
  if (used_[job.team] > limits_[job.team] + kCpuRounding)
    violated ("quota", "team " + job.team + " uses " + std::to_string (used_[job.team]) + " CPUs");
}

void
Checker::task_stopped (const std::string &ref, guint index, const std::string &machine)
{
  auto &placements = placements_[{ ref, index }];
  auto it = std::find_if (placements.begin (), placements.end (),
                          [&] (const Placement &placement) { return placement.machine == machine; });
  if (it == placements.end ())
    return;
  placements.erase (it);
  used_[jobs_[ref].team] -= jobs_[ref].cpus;
}

void
Checker::task_completed (Time now, const std::string &ref, guint index)
{
  Job &job = jobs_[ref];
  job.last_completed_at = now;
  bool last = job.done.insert (index).second && job.done.size () == job.tasks;
  if (last && on_last_task_completed)
    on_last_task_completed (ref);
}

// ---- answers to heartbeats ----

void
Checker::cancelled_task_kept (const std::string &task, const std::string &machine)
{
  violated ("kept_cancelled", "an answer to " + machine + " renews its lease and does not stop " + task);
}

// ---- requests of users and their answers ----

void
Checker::submitted (const std::string &ref, const Job &job)
{
  jobs_[ref] = job;
}

void
Checker::cancellation_requested (const std::string &ref)
{
  jobs_[ref].cancellation_requested = true;
}

// Checks a state in an answer to a user against the job's tasks, its earlier states and its ancestors.
void
Checker::check_final_state (Time now, const std::string &ref, const Job &job, const std::string &state)
{
  bool is_final = state == "done" || state == "cancelled";
  auto requested = [] (const Job &ancestor) { return ancestor.cancellation_requested; };
  auto overdue = [&] (const Job &ancestor) { return cancellation_overdue (ancestor, now); };
  if (state == "done" && job.done.size () < job.tasks)
    violated ("not_done", ref + " is reported as done with " + std::to_string (job.done.size ()) + " tasks completed");
  if (!job.final_state.empty () && job.final_state != state)
    violated ("went_back",
              ref + " was reported as " + job.final_state + " before and is reported as " + state + " now");
  if (!is_final && any_ancestor (job, overdue))
    violated ("orphaned", ref + " is reported as " + state + " although a job that it depends on is cancelled");
  if (state == "cancelled" && !job.cancellation_requested && !any_ancestor (job, requested))
    violated ("went_back", ref + " is cancelled, but no user requested it");
}

void
Checker::state_reported (Time now, const std::string &ref, const std::string &state)
{
  if (jobs_.find (ref) == jobs_.end ()) {
    if (!state.empty ())
      violated ("invented", ref + " was never submitted but is reported as " + state);
    return;
  }
  Job &job = jobs_[ref];
  if (state.empty ()) {
    if (job.accepted)
      violated ("forgotten", ref + " is accepted but is answered 404");
    return;
  }
  job.accepted = true;
  if (!job.can_ever_run)
    violated ("accepted", ref + " is accepted although it can never run or lacks a field");
  check_final_state (now, ref, job, state);
  if (state == "done" || state == "cancelled")
    job.final_state = state;
  if (state != "cancelled")
    return;
  if (!job.cancellation_confirmed_at)
    job.cancellation_confirmed_at = now;
  cancelled_.insert (ref);
}

void
Checker::polled (Time now, const std::string &ref, bool answered)
{
  auto it = jobs_.find (ref);
  if (it == jobs_.end () || !it->second.accepted)
    return;
  Job &job = it->second;
  if (answered || !job.last_answered_at) {
    job.last_answered_at = now;
    return;
  }
  if (faults_over_at_ && now - std::max (*faults_over_at_, *job.last_answered_at) > kLongestSilence)
    violated ("forgotten", ref + " is accepted, but its polls get no answer");
}

void
Checker::resubmission_refused (const std::string &ref)
{
  if (jobs_[ref].accepted)
    violated ("forgotten", ref + " is accepted but is refused when submitted again");
}

// ---- events of the run ----

void
Checker::faults_over (Time now)
{
  faults_over_at_ = now;
}

void
Checker::remove_limit (const std::string &team)
{
  limits_[team] = G_MAXDOUBLE;
}

void
Checker::stale_revision_used (const std::string &ref)
{
  violated ("revision", ref + " is open at a revision other than the one that its leader expects");
}

void
Checker::observe_waiting (Time now, const std::string &ref, bool could_run)
{
  Job &job = jobs_[ref];
  if (!could_run || !faults_over_at_) {
    job.runnable_since.reset ();
    return;
  }
  if (!job.runnable_since)
    job.runnable_since = now;
  if (now - *job.runnable_since > kLongestWait)
    violated ("waiting", ref + " could run but has waited too long");
}

void
Checker::observe_unused (Time now, const std::string &machine, const std::string &reason)
{
  if (reason.empty () || !faults_over_at_) {
    unused_since_.erase (machine);
    return;
  }
  Time since = unused_since_.emplace (machine, now).first->second;
  if (now - since > kLongestWait)
    violated ("unused", machine + " is up without work for too long: " + reason);
}

void
Checker::check_cancelled_jobs (Time now)
{
  for (const std::string &ref : cancelled_) {
    if (!cancellation_overdue (jobs_[ref], now))
      continue;
    for (auto it = placements_.lower_bound ({ ref, 0 }); it != placements_.end () && it->first.first == ref; ++it)
      if (!it->second.empty () && overdue_.insert (ref).second)
        violated ("ran_cancelled", ref + " still has a task on " + it->second[0].machine);
  }
}

// Checks that at least half of the jobs of a team or class are done.
void
Checker::check_served (const std::string &group, const Jobs &jobs)
{
  auto done
      = std::count_if (jobs.begin (), jobs.end (), [] (const Job *job) { return job->done.size () == job->tasks; });
  if (2 * (size_t) done < jobs.size ())
    violated ("served",
              group + ": " + std::to_string (done) + " of " + std::to_string (jobs.size ()) + " jobs are done");
}

// The time from which the job could run: its submission, or the completion of its last dependency.
Time
Checker::ready_at (const Job &job) const
{
  Time at = job.submitted_at;
  for (const std::string &ref : job.dependencies)
    at = std::max (at, jobs_.at (ref).last_completed_at);
  return at;
}

// Checks, for the largest tenth of a class's jobs, that at least half of them are done and that each has
// begun in time.
void
Checker::check_largest (const std::string &job_class, Jobs jobs)
{
  std::sort (jobs.begin (), jobs.end (),
             [] (const Job *first, const Job *second) { return first->tasks > second->tasks; });
  jobs.resize ((jobs.size () + 9) / 10);
  check_served ("the largest of class " + job_class, jobs);
  for (const Job *job : jobs)
    if (!job->first_start_at || *job->first_start_at - ready_at (*job) > kLongestWaitOfLargest)
      violated ("served", "one of the largest of class " + job_class + " did not begin in four minutes");
}

void
Checker::check_at_end ()
{
  std::map<std::string, Jobs> classes, teams;
  auto requested = [] (const Job &ancestor) { return ancestor.cancellation_requested; };
  if (starts_ == 0)
    violated ("nothing_ran", "no task was started");
  for (const auto &[ref, job] : jobs_) {
    if (!job.accepted || job.cancellation_requested || any_ancestor (job, requested))
      continue;
    classes[job.job_class].push_back (&job);
    teams[job.team].push_back (&job);
  }
  for (const auto &[team, jobs] : teams)
    check_served ("team " + team, jobs);
  for (const auto &[job_class, jobs] : classes) {
    check_served ("class " + job_class, jobs);
    check_largest (job_class, jobs);
  }
}

} // namespace sim
