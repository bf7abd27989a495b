#include <algorithm>

#include "world.hpp"

namespace sim {

void
Checker::check_zone (const std::string &ref, const Job &job, const Spot &where)
{
  guint here = 0;
  if (!job.one_zone && !job.spread)
    return;
  for (auto it = where_.lower_bound ({ ref, 0 }); it != where_.end () && it->first.first == ref; ++it)
    for (const Spot &other : it->second) {
      if (job.one_zone && other.zone != where.zone)
        fail ("wrong_place", ref + " in two zones");
      here += other.zone == where.zone;
    }
  if (job.spread && here + 1 > (job.tasks + 1) / 2)
    fail ("wrong_place", ref + " has more than half of its tasks in " + where.zone);
}

bool
Checker::needs_done (const Job &job) const
{
  return std::all_of (job.dependencies.begin (), job.dependencies.end (), [&] (const std::string &dependency) {
    const Job &before = jobs_.at (dependency);
    return before.done.size () == before.tasks;
  });
}

const Checker::Job *
Checker::any_before (const Job &job, std::function<bool (const Job &)> reserved) const
{
  std::vector<std::string> todo = job.dependencies;
  std::set<std::string> seen (todo.begin (), todo.end ());
  while (!todo.empty ()) {
    const Job &before = jobs_.at (todo.back ());
    todo.pop_back ();
    if (reserved (before))
      return &before;
    for (const std::string &dependency : before.dependencies)
      if (seen.insert (dependency).second)
        todo.push_back (dependency);
  }
  return nullptr;
}

void
Checker::on (Time now, const std::string &ref, guint index, Spot where)
{
  Job &job = jobs_[ref];
  if (!job.begun)
    job.begun = now;
  const std::string name = ref + "/" + std::to_string (index);
  starts_++;
  auto &spots = where_[{ ref, index }];
  if (!spots.empty ())
    fail ("ran_twice", name + " starts on " + where.machine + " while on " + spots[0].machine);
  if ((!job.spot && where.spot) || (!job.zone.empty () && job.zone != where.zone))
    fail ("wrong_place", name + " on " + where.machine);
  check_zone (ref, job, where);
  if (!needs_done (job))
    fail ("too_early", name + " starts before the jobs that it needs are done");
  if (job.cancel_told && now > *job.cancel_told + cancel_)
    fail ("ran_cancelled", name + " starts after its cancellation");
  if (job.cancel_told) {
    job.started_cancelled++;
    job.last_start_cancelled = std::max (job.last_start_cancelled, now - *job.cancel_told);
  }
  job.could_run.reset ();
  spots.push_back (where);
  used_[job.team] += job.cpus;
  if (used_[job.team] > limits_[job.team] + 1e-6)
    fail ("quota", job.team + " uses " + std::to_string (used_[job.team]));
}

void
Checker::off (const std::string &ref, guint index, const std::string &machine)
{
  auto &spots = where_[{ ref, index }];
  auto it = std::find_if (spots.begin (), spots.end (), [&] (const Spot &s) { return s.machine == machine; });
  if (it == spots.end ())
    return;
  spots.erase (it);
  used_[jobs_[ref].team] -= jobs_[ref].cpus;
}

void
Checker::finished (Time now, const std::string &ref, guint index)
{
  Job &job = jobs_[ref];
  job.last_done = now;
  bool last = job.done.insert (index).second && job.done.size () == job.tasks;
  if (last && on_last_task)
    on_last_task (ref);
}

guint
Checker::live (const std::string &ref) const
{
  guint n = 0;
  for (auto it = where_.lower_bound ({ ref, 0 }); it != where_.end () && it->first.first == ref; ++it)
    n += (guint) it->second.size ();
  return n;
}

guint
Checker::live_in (const std::string &ref, const std::string &zone) const
{
  guint n = 0;
  for (auto it = where_.lower_bound ({ ref, 0 }); it != where_.end () && it->first.first == ref; ++it)
    for (const Spot &spot : it->second)
      n += spot.zone == zone;
  return n;
}

// Once all troubles are over, a job that could run is not left waiting for 90 s.
void
Checker::waits (Time now, const std::string &ref, bool could)
{
  Job &job = jobs_[ref];
  if (!could || !calm_) {
    job.could_run.reset ();
    return;
  }
  if (!job.could_run)
    job.could_run = now;
  if (now - *job.could_run > 90 * kSecond)
    fail ("waiting", ref + " could run and waits");
}

void
Checker::told (Time now, const std::string &ref, const std::string &state)
{
  if (jobs_.find (ref) == jobs_.end ()) {
    if (!state.empty ())
      fail ("invented", ref + " is " + state);
    return;
  }
  Job &job = jobs_[ref];
  if (state.empty ()) {
    if (job.accepted)
      fail ("forgotten", ref + " is answered 404");
    return;
  }
  job.accepted = true;
  if (!job.can_run)
    fail ("accepted", ref + " can never run, or lacks a field");
  if (state == "done" && job.done.size () < job.tasks)
    fail ("not_done", ref + " with " + std::to_string (job.done.size ()) + " tasks done");
  if (!job.final_told.empty () && job.final_told != state)
    fail ("went_back", ref + " was " + job.final_told + ", is " + state);
  auto asked = [] (const Job &before) { return before.cancel_asked; };
  auto overdue = [&] (const Job &before) { return before.cancel_told && now > *before.cancel_told + cancel_; };
  if (state != "done" && state != "cancelled" && any_before (job, overdue) != nullptr)
    fail ("orphaned", ref + " is called " + state + " though a job before it is cancelled");
  if (state == "cancelled" && !job.cancel_asked && any_before (job, asked) == nullptr)
    fail ("went_back", ref + " is cancelled, nobody asked");
  if (state == "done" || state == "cancelled")
    job.final_told = state;
  if (state == "cancelled" && !job.cancel_told)
    job.cancel_told = now;
  if (state == "cancelled")
    cancelled_.insert (ref);
}

// Once all troubles are over, a job is not left without an answer for 75 s.
void
Checker::asked (Time now, const std::string &ref, bool answered)
{
  auto it = jobs_.find (ref);
  if (it == jobs_.end () || !it->second.accepted)
    return;
  Job &job = it->second;
  if (answered || !job.answered) {
    job.answered = now;
    return;
  }
  if (calm_ && now - std::max (*calm_, *job.answered) > 75 * kSecond)
    fail ("forgotten", ref + " gets no answer");
}

void
Checker::refused (const std::string &ref)
{
  if (jobs_[ref].accepted)
    fail ("forgotten", ref + " is refused when submitted again");
}

void
Checker::step (Time now)
{
  for (const std::string &ref : cancelled_) {
    if (now <= *jobs_[ref].cancel_told + cancel_)
      continue;
    for (auto it = where_.lower_bound ({ ref, 0 }); it != where_.end () && it->first.first == ref; ++it)
      if (!it->second.empty () && overdue_.insert (ref).second)
        fail ("ran_cancelled", ref + " is still on " + it->second[0].machine);
  }
}

void
Checker::served (const std::string &what, const std::vector<const Job *> &jobs)
{
  auto done = std::count_if (jobs.begin (), jobs.end (), [] (const Job *j) { return j->done.size () == j->tasks; });
  if (2 * (size_t) done < jobs.size ())
    fail ("served", what + ": " + std::to_string (done) + " of " + std::to_string (jobs.size ()));
}

// When it could begin: submitted, and all that it needs done.
Time
Checker::ready (const Job &job) const
{
  Time at = job.submitted;
  for (const std::string &dependency : job.dependencies)
    at = std::max (at, jobs_.at (dependency).last_done);
  return at;
}

// The largest tenth of a class: half of them served, each begun in four minutes.
void
Checker::largest (const std::string &job_class, std::vector<const Job *> jobs)
{
  std::sort (jobs.begin (), jobs.end (), [] (const Job *a, const Job *b) { return a->tasks > b->tasks; });
  jobs.resize ((jobs.size () + 9) / 10);
  served ("the largest of class " + job_class, jobs);
  for (const Job *job : jobs)
    if (!job->begun || *job->begun - ready (*job) > 240 * kSecond)
      fail ("served", "one of the largest of class " + job_class + " did not begin in four minutes");
}

void
Checker::end ()
{
  std::map<std::string, std::vector<const Job *> > classes, teams;
  if (starts_ == 0)
    fail ("nothing_ran", "no task was started");
  for (const auto &[ref, job] : jobs_) {
    auto asked = [] (const Job &before) { return before.cancel_asked; };
    if (!job.accepted || job.cancel_asked || any_before (job, asked) != nullptr)
      continue;
    classes[job.job_class].push_back (&job);
    teams[job.team].push_back (&job);
  }
  for (const auto &[name, jobs] : teams)
    served ("team " + name, jobs);
  for (const auto &[name, jobs] : classes) {
    served ("class " + name, jobs);
    largest (name, jobs);
  }
}

} // namespace sim
