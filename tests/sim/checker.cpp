#include <algorithm>

#include "world.hpp"

namespace sim {

void
Checker::check_zone (const std::string &ref, const Job &job, const Spot &where)
{
  guint here = 0;
  for (const auto &[task, spots] : where_) {
    if (task.first != ref)
      continue;
    for (const Spot &other : spots) {
      if (job.one_zone && other.zone != where.zone)
        fail ("wrong_place", ref + " in two zones");
      here += other.zone == where.zone;
    }
  }
  if (job.spread && here + 1 > (job.tasks + 1) / 2)
    fail ("wrong_place", ref + " has more than half of its tasks in " + where.zone);
}

void
Checker::on (Time now, const std::string &ref, guint index, Spot where)
{
  const Job &job = jobs_[ref];
  const std::string name = ref + "/" + std::to_string (index);
  starts_++;
  auto &spots = where_[{ ref, index }];
  if (!spots.empty ())
    fail ("ran_twice", name + " starts on " + where.machine + " while on " + spots[0].machine);
  if ((!job.spot && where.spot) || (!job.zone.empty () && job.zone != where.zone))
    fail ("wrong_place", name + " on " + where.machine);
  check_zone (ref, job, where);
  if (job.cancel_told && now > *job.cancel_told + cancel_)
    fail ("ran_cancelled", name + " starts after its cancellation");
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
  if (state == "done" && job.done.size () < job.tasks)
    fail ("not_done", ref + " with " + std::to_string (job.done.size ()) + " tasks done");
  if (!job.final_told.empty () && job.final_told != state)
    fail ("went_back", ref + " was " + job.final_told + ", is " + state);
  if (state == "cancelled" && !job.cancel_asked)
    fail ("went_back", ref + " is cancelled, nobody asked");
  if (state == "done" || state == "cancelled")
    job.final_told = state;
  if (state == "cancelled" && !job.cancel_told)
    job.cancel_told = now;
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
  for (const auto &[task, spots] : where_) {
    const Job &job = jobs_[task.first];
    if (!spots.empty () && job.cancel_told && now > *job.cancel_told + cancel_)
      fail ("ran_cancelled", task.first + " is still on " + spots[0].machine);
  }
}

void
Checker::end ()
{
  if (starts_ == 0)
    fail ("nothing_ran", "no task was started");
}

} // namespace sim
