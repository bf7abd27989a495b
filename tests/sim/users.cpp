// The users of the simulated world, and the part of a controller that serves their requests.
#include <gtest/gtest.h>

#include "world.hpp"

extern "C" {
#include "core/admission.h"
#include "wire/messages.h"
#include "wire/store.h"
}

#include <algorithm>

namespace sim {

// Delay before the retry of an unanswered submission or cancellation.
static constexpr Time kRetryAfter = kSecond;
// The probability that a submission reaches no controller.
static constexpr double kNoController = 0.1;
// The probability that the answer to a submission is lost.
static constexpr double kSubmissionUnanswered = 0.05;

// ---- rows ----

std::optional<JobRow>
World::job_row (const std::string &ref) const
{
  g_autofree char *key = ft_key_job (ref.c_str ());
  StoreAnswer answer = store.get (key);
  if (answer.status != 200)
    return std::nullopt;
  FtRow row;
  FtJobRow state{};
  if (!ft_store_row (answer.body.get (), &row) || !ft_row_job_parse (row.value, &state)) {
    ADD_FAILURE () << "cannot parse the state row of " << ref;
    return std::nullopt;
  }
  return JobRow{ row.revision, state };
}

// ---- submissions ----

// The specification of a submitted job, which borrows all its strings. `dependencies` is the array
// behind `spec.dependencies`.
struct Submission {
  FtJobSpec spec{};
  std::vector<char *> dependencies;
};

// Fills the specification from the checker's description of the job; other fields are constant or random.
static void
fill_spec (World &world, Submission &submission, const std::string &ref, const Checker::Job &job, double run_s)
{
  FtJobSpec &spec = submission.spec;
  spec.ref = (char *) ref.c_str ();
  spec.job_class = (char *) "sim";
  spec.team = (char *) job.team.c_str ();
  spec.priority = world.chance (0.4) ? FT_PRIORITY_HIGH : FT_PRIORITY_NORMAL;
  spec.tasks = job.tasks;
  spec.cpus = job.cpus;
  spec.memory_gb = 2;
  spec.image = (char *) (world.chance (0.5) ? "img-1" : "img-2");
  spec.image_gb = 1;
  spec.one_zone = job.one_zone;
  spec.spread = job.spread;
  spec.spot = job.spot;
  spec.estimate_s = run_s;
  spec.deadline_s = run_s * 3;
  spec.submitted_wall_ms = world.now / 1000;
  if (job.dependencies.empty ())
    return;
  for (const std::string &dependency : job.dependencies)
    submission.dependencies.push_back ((char *) dependency.c_str ());
  submission.dependencies.push_back (nullptr);
  spec.dependencies = submission.dependencies.data ();
}

void
World::submit (const std::string &ref, guint tasks, double cpus, double run, const std::string &team, bool one_zone,
               bool spread, bool spot, std::vector<std::string> dependencies)
{
  Checker::Job job;
  job.submitted_at = now;
  job.job_class = spot ? "sim" : "ordinary";
  job.team = team;
  job.cpus = cpus;
  job.tasks = tasks;
  job.spot = spot;
  job.one_zone = one_zone;
  job.spread = spread;
  job.dependencies = std::move (dependencies);
  checker->submitted (ref, job);
  run_s[ref] = run;
  Submission submission;
  fill_spec (*this, submission, ref, job, run);
  try_to_submit ({ ref, job.dependencies, adopt (ft_txn_submit (&submission.spec)),
                   adopt (ft_txn_submit_cancelled (&submission.spec, submission.spec.submitted_wall_ms)) });
}

void
World::try_to_submit (const PendingSubmission &pending)
{
  auto again = [this, pending] { try_to_submit (pending); };
  if (store.down || chance (kNoController)) {
    after (kRetryAfter, again);
    return;
  }
  bool cancelled = std::any_of (pending.dependencies.begin (), pending.dependencies.end (),
                                [this] (const std::string &dependency) { return is_cancelled (dependency); });
  StoreAnswer answer = store.commit ((cancelled ? pending.cancelled : pending.open).get (), now);
  if (chance (kSubmissionUnanswered) || answer.status == 429)
    after (kRetryAfter, again);
  else if (answer.status == 200)
    checker->state_reported (now, pending.ref, cancelled ? "cancelled" : "queued");
  else
    poll (pending.ref);
}

bool
World::submit_invalid (const std::string &ref)
{
  static const char *const required[]
      = { "ref",    "lane",    "crew",     "shape", "urgency", "pieces",  "cores",      "cards",   "mem_gb",
          "bundle", "pull_gb", "one_zone", "apart", "loaners", "guess_s", "bookmark_s", "shelve_s" };
  Json body
      = adopt (json_pack ("{s:s, s:s, s:s, s:s, s:s, s:i, s:f, s:f, s:f, s:s, s:f, s:b, s:b, s:b, s:f, s:f, s:f}",
                          "ref", ref.c_str (), "lane", "sim", "crew", "red", "shape", "array", "urgency", "high",
                          "pieces", 2, "cores", 2.0, "cards", 0.0, "mem_gb", 2.0, "bundle", "img-1", "pull_gb", 1.0,
                          "one_zone", 0, "apart", 0, "loaners", 1, "guess_s", 5.0, "bookmark_s", 0.0, "shelve_s", 0.0));
  switch (below (4)) {
  case 0:
    json_object_del (body.get (), required[below (G_N_ELEMENTS (required))]);
    break;
  case 1:
    json_object_set_new (body.get (), "crew", json_string ("nobody"));
    break;
  case 2:
    json_object_set_new (body.get (), "cores", json_real (Worker::kCpus + 0.5)); // no machine has as many CPUs
    break;
  case 3:
    json_object_set_new (body.get (), "mem_gb", json_real (65)); // no machine has as much memory
    break;
  }
  const char *why;
  g_autoptr (FtJobSpec) spec = ft_message_job (body.get ());
  if (spec == nullptr || ft_admission_check (&settings, catalog, spec, &why) != FT_ADMIT)
    return false;
  Checker::Job job;
  job.can_ever_run = false;
  checker->submitted (ref, job);
  checker->state_reported (now, ref, "queued");
  return true;
}

// ---- polls ----

void
World::poll (const std::string &ref)
{
  // A random controller receives the poll. One that cannot read the store gives no answer.
  bool answered = nodes[below ((int) nodes.size ())]->reaches_store ();
  checker->polled (now, ref, answered);
  if (answered)
    answer_poll (ref);
}

void
World::answer_poll (const std::string &ref)
{
  if (faults.polls_cancel_dependents && is_cancelled (ref))
    counters.cancelled_by_poll += commit_cancellation (cancellation_transaction (ref));
  std::optional<JobRow> row = job_row (ref);
  if (!row)
    checker->state_reported (now, ref, "");
  else if (row->state.open)
    checker->state_reported (now, ref, "open");
  else
    checker->state_reported (now, ref, row->state.end == FT_JOB_END_DONE ? "done" : "cancelled");
}

// Whether the job or an ancestor of it is cancelled, by the rows that src/net/ancestors.c reads.
bool
World::is_cancelled (const std::string &ref) const
{
  std::vector<std::string> unvisited = { ref };
  std::set<std::string> seen;
  while (!unvisited.empty ()) {
    std::string visited = unvisited.back ();
    unvisited.pop_back ();
    if (!seen.insert (visited).second)
      continue;
    std::optional<JobRow> row = job_row (visited);
    if (!row)
      continue;
    if (!row->state.open && row->state.end == FT_JOB_END_CANCELLED)
      return true;
    if (!row->state.open || !row->state.has_dependencies)
      continue;
    for (const std::string &dependency : dependencies_of (visited))
      unvisited.push_back (dependency);
  }
  return false;
}

// The dependencies of an open job, read from its row.
std::vector<std::string>
World::dependencies_of (const std::string &ref) const
{
  std::vector<std::string> dependencies;
  g_autofree char *key = ft_key_open (ref.c_str ());
  StoreAnswer answer = store.get (key);
  if (answer.status != 200)
    return dependencies;
  g_autoptr (FtJobSpec) spec = ft_row_open_parse (ref.c_str (), json_object_get (answer.body.get (), "data"));
  for (guint i = 0; spec != nullptr && spec->dependencies != nullptr && spec->dependencies[i] != nullptr; i++)
    dependencies.emplace_back (spec->dependencies[i]);
  return dependencies;
}

// ---- cancellations ----

// The transaction that cancels the job if its state row has not changed by then; empty if the job is
// not open.
Json
World::cancellation_transaction (const std::string &ref) const
{
  std::optional<JobRow> row = job_row (ref);
  if (!row || !row->state.open)
    return nullptr;
  return adopt (ft_txn_cancel (ref.c_str (), row->revision, row->state.tasks, now / 1000));
}

// Commits a cancellation; an empty transaction does nothing. Returns whether it was committed.
bool
World::commit_cancellation (const Json &transaction)
{
  return transaction != nullptr && StoreAnswer (store.commit (transaction.get (), now)).status == 200;
}

void
World::cancel (const std::string &ref)
{
  checker->cancellation_requested (ref);
  Node &asked = *nodes[below ((int) nodes.size ())];
  if (!asked.reaches_store ()) {
    after (kRetryAfter, [this, ref] { cancel (ref); });
    return;
  }
  Json transaction = cancellation_transaction (ref);
  if (transaction != nullptr && chance (faults.late_writes)) {
    after (seconds_between (2, 12),
           [this, transaction] { counters.late_writes_applied += commit_cancellation (transaction); });
    after (kRetryAfter, [this, ref] { cancel (ref); });
    return;
  }
  if (commit_cancellation (transaction))
    asked.advise_cancellation (ref);
  checker->polled (now, ref, true);
  answer_poll (ref);
}

// ---- jobs that wait although they could run ----

// Whether the job has a task to place and its team's limit admits it.
bool
World::wants_task (const std::string &ref, const Checker::Job &job) const
{
  double team_cpus = 0;
  guint placed = 0;
  if (!checker->dependencies_done (job))
    return false;
  for (const auto &[name, worker] : machines)
    for (const WorkerTask &task : worker->tasks ()) {
      if (!worker->alive || task.phase == FT_TASK_PHASE_EXITED)
        continue;
      const Checker::Job &other = checker->jobs ().at (task.job);
      team_cpus += other.team == job.team ? other.cpus : 0;
      placed += task.job == ref;
    }
  if (placed + job.done.size () >= job.tasks)
    return false;
  return std::none_of (settings.teams, settings.teams + settings.n_teams, [&] (const FtTeamLimit &team) {
    return job.team == team.name && team.cpus_max > 0 && team_cpus + job.cpus > team.cpus_max + Worker::kCpuRounding;
  });
}

// Whether the machine is reachable, meets the job's constraints and has room for one of its tasks.
bool
World::fits (const std::string &ref, const Checker::Job &job, const Worker &worker) const
{
  if (!worker.reachable () || failing_machines.count (worker.name) > 0 || (worker.spot && !job.spot)
      || (!job.zone.empty () && job.zone != worker.zone))
    return false;
  guint here = checker->live_in (ref, worker.zone), all = checker->live (ref);
  if ((job.one_zone && here < all) || (job.spread && here + 1 > (job.tasks + 1) / 2))
    return false;
  return worker.used_cpus () + job.cpus <= Worker::kCpus + Worker::kCpuRounding;
}

void
World::observe_waiting_jobs ()
{
  for (const auto &[ref, job] : checker->jobs ()) {
    if (!job.accepted || job.cancellation_requested || !job.final_state.empty ())
      continue;
    bool could_run
        = wants_task (ref, job)
          && std::any_of (machines.begin (), machines.end (),
                          [&, &ref = ref, &job = job] (const auto &entry) { return fits (ref, job, *entry.second); });
    checker->observe_waiting (now, ref, could_run);
  }
}

} // namespace sim
