#include "day.hpp"

#include <algorithm>

namespace sim {

// Interval between two polls of a job.
static constexpr Time kPollInterval = 7 * kSecond;
// Time from a job's submission to its first poll.
static constexpr Time kFirstPollAfter = 5 * kSecond;

Day::Day (guint32 seed, guint scale) : world (seed, scale)
{
  for (auto &node : world.nodes)
    node->start ();
}

// ---- jobs and requests of users ----

void
Day::poll_until_end (const std::string &ref, Time from, Time interval)
{
  for (Time when = from; when < length; when += interval)
    world.at (when, [this, ref] { world.poll (ref); });
}

void
Day::load ()
{
  for (int i = 0; i < 26; i++) {
    std::string ref = "req-" + std::to_string (100000 + world.below (800000) * 10 + i % 10);
    refs.push_back (ref);
    Time when = world.seconds_between (1, 140);
    guint tasks = (guint) world.below (9) + 1;
    double cpus = 1 + world.below (4), run_s = world.uniform (3, 40);
    std::string team = world.chance (0.6) ? "red" : "blue";
    bool one_zone = world.chance (0.15), spread = !one_zone && world.chance (0.2), spot = world.chance (0.7);
    world.at (when, [this, ref, tasks, cpus, run_s, team, one_zone, spread, spot] {
      world.submit (ref, tasks, cpus, run_s, team, one_zone, spread, spot);
    });
    if (world.chance (0.25))
      world.at (when + world.seconds_between (1, 40), [this, ref] { world.cancel (ref); });
    for (Time poll_at = when + kFirstPollAfter; poll_at < kLength; poll_at += kPollInterval)
      world.at (poll_at, [this, ref] { world.poll (ref); });
  }
  world.at (30 * kSecond, [this] { world.poll ("req-999"); });
}

void
Day::load_long (int jobs, guint tasks, double run_s, bool one_zone, bool spread)
{
  for (int i = 0; i < jobs; i++) {
    std::string ref = "req-7" + std::to_string (refs.size ());
    refs.push_back (ref);
    Time when = world.seconds_between (1, 8);
    std::string team = world.chance (0.6) ? "red" : "blue";
    world.at (when, [this, ref, tasks, run_s, team, one_zone, spread] {
      world.submit (ref, tasks, 2, run_s, team, one_zone, spread, true);
    });
    poll_until_end (ref, when + kFirstPollAfter, kPollInterval);
  }
}

void
Day::load_large (int jobs)
{
  world.worker_step = kSecond / 4;
  world.settings.value_kb = 8;
  world.settings.txn_ops = 16;
  for (int i = 0; i < jobs; i++) {
    std::string ref = "req-" + std::to_string (i);
    Time when = world.seconds_between (1, 60);
    guint tasks = i % 10 == 0 ? 250 : (guint) world.below (60) + 20;
    double run_s = world.uniform (5, 20);
    std::string team = world.chance (0.6) ? "red" : "blue";
    world.at (when, [this, ref, tasks, run_s, team] { world.submit (ref, tasks, 3, run_s, team, false, false, true); });
    if (world.chance (0.1))
      world.at (when + world.seconds_between (1, 40), [this, ref] { world.cancel (ref); });
    poll_until_end (ref, when + kFirstPollAfter, 15 * kSecond);
  }
}

// Whether all these jobs are accepted.
bool
Day::all_accepted (const std::vector<std::string> &jobs) const
{
  return std::all_of (jobs.begin (), jobs.end (), [this] (const std::string &ref) {
    auto job = world.checker->jobs ().find (ref);
    return job != world.checker->jobs ().end () && job->second.accepted;
  });
}

// Whether a user has seen all these jobs done or cancelled.
bool
Day::all_ended (const std::vector<std::string> &jobs) const
{
  return all_accepted (jobs) && std::all_of (jobs.begin (), jobs.end (), [this] (const std::string &ref) {
           return !world.checker->jobs ().at (ref).final_state.empty ();
         });
}

// Submits a job of a pipeline at that time, or later when its dependencies permit.
void
Day::submit_step (Time when, const Step &step)
{
  world.at (when, [this, step] {
    if (step.after_dependencies_end ? !all_ended (step.dependencies) : !all_accepted (step.dependencies)) {
      submit_step (world.now + kSecond / 3, step);
      return;
    }
    double run_s = world.uniform (2, 15);
    double cpus = 1 + world.below (2);
    world.submit (step.ref, step.tasks, cpus, run_s, "red", false, false, true, step.dependencies);
    poll_until_end (step.ref, world.now + 4 * kSecond, kPollInterval);
    if (step.cancelled)
      world.after (world.seconds_between (0.1, 40), [this, ref = step.ref] { world.cancel (ref); });
  });
}

void
Day::load_pipeline (const std::string &name, Time when, int cancelled_step)
{
  std::string first = name + "0", third = name + "2", last = name + "3";
  std::vector<std::string> earlier, second;
  if (!refs.empty () && world.chance (0.3))
    earlier.push_back (refs[world.below ((int) refs.size ())]);
  submit_step (when, { first, earlier, (guint) world.below (6) + 1, false, cancelled_step == 0 });
  for (int i = 0; i < 2 + world.below (3); i++) {
    second.push_back (name + "1" + std::to_string (i));
    guint tasks = (guint) world.below (10) + 1;
    submit_step (when, { second.back (), { first }, tasks, false, cancelled_step == 1 && i == 0 });
  }
  submit_step (when, { third, second, (guint) world.below (3) + 1, false, cancelled_step == 2 });
  submit_step (when, { last, { third }, 2, world.chance (0.2), cancelled_step == 3 });
}

void
Day::load_pipelines (int count, double cancelled_share, double from_s, double until_s)
{
  for (int i = 0; i < count; i++) {
    Time when = world.seconds_between (from_s, until_s);
    int cancelled_step = world.chance (cancelled_share) ? world.below (4) : -1;
    load_pipeline ("req-8" + std::to_string (i) + "-", when, cancelled_step);
  }
}

void
Day::cancel_running (Time when, guint count)
{
  world.at (when, [this, count] {
    guint taken = 0;
    for (const auto &[ref, job] : world.checker->jobs ()) {
      if (taken >= count || job.cancellation_requested || !job.final_state.empty () || world.checker->live (ref) == 0)
        continue;
      cancelled.push_back (ref);
      world.after (world.seconds_between (0, 0.2), [this, ref = ref] { world.cancel (ref); });
      taken++;
    }
  });
}

// ---- queries during the run ----

Node *
Day::leader ()
{
  auto leader = std::find_if (world.nodes.begin (), world.nodes.end (),
                              [] (const auto &node) { return node->alive && node->leads (); });
  return leader != world.nodes.end () ? leader->get () : nullptr;
}

int
Day::any_node ()
{
  return world.below ((int) world.nodes.size ());
}

std::shared_ptr<Worker>
Day::any_machine ()
{
  auto machine = world.machines.begin ();
  std::advance (machine, world.below ((int) world.machines.size ()));
  return machine->second;
}

std::vector<std::shared_ptr<Worker> >
Day::machines_of (const std::string &ref)
{
  std::vector<std::shared_ptr<Worker> > found;
  for (auto &[name, worker] : world.machines)
    if (worker->alive && worker->runs (ref))
      found.push_back (worker);
  return found;
}

guint
Day::confirmed_between (Time from, Time to) const
{
  guint count = 0;
  for (const std::string &ref : cancelled) {
    auto confirmed_at = world.checker->jobs ().at (ref).cancellation_confirmed_at;
    count += confirmed_at && *confirmed_at >= from && *confirmed_at < to;
  }
  return count;
}

// ---- the end of the run ----

// The leader's view of a job, for failure messages.
std::string
Day::leader_view (const std::string &ref)
{
  Node *node = leader ();
  if (node == nullptr)
    return "no leader";
  struct Search {
    const std::string &ref;
    std::string found;
  } search = { ref, node->name () + " does not know the job" };
  auto visit = [] (const FtJobInfo *job, gpointer data) {
    auto sought = (Search *) data;
    if (sought->ref == job->ref)
      sought->found = std::string (job->state) + ", " + std::to_string (job->done) + " done, "
                      + std::to_string (job->running) + " running, waits for: " + job->why_waiting;
  };
  ft_scheduler_each_job (node->scheduler (), visit, &search);
  return search.found;
}

// Fails the test for each accepted job that no user has seen done or cancelled.
void
Day::expect_all_ended ()
{
  int open = 0;
  for (const auto &[ref, job] : world.checker->jobs ()) {
    if (!job.final_state.empty () || !job.accepted)
      continue;
    open++;
    ADD_FAILURE () << ref << " of " << job.team << ": " << job.done.size () << " of " << job.tasks << " tasks done; "
                   << leader_view (ref);
  }
  EXPECT_EQ (open, 0) << "jobs neither done nor cancelled at the end";
}

// Tells the checker which machines that run no task are up and get no work, as the leader explains it to operators.
void
Day::observe_unused_machines ()
{
  Node *node = leader ();
  if (node == nullptr)
    return;
  auto visit = [] (const char *name, const char *state, const char *, const char *, gboolean, guint64, guint,
                   const char *reason, gpointer data) {
    auto self = (Day *) data;
    auto worker = self->world.machines.find (name);
    bool idle = worker != self->world.machines.end () && worker->second->used_cpus () <= 0;
    bool unused = std::string (state) == "up" && *reason != '\0';
    if (unused)
      self->unused_reasons.insert (reason);
    self->world.checker->observe_unused (self->world.now, name, unused && idle ? reason : "");
  };
  ft_scheduler_each_machine (node->scheduler (), visit, this);
}

void
Day::finish ()
{
  world.at (length / 2, [this] { world.checker->faults_over (world.now); });
  for (Time when = length / 2; when < length; when += 2 * kSecond)
    world.at (when, [this] { world.observe_waiting_jobs (); });
  for (Time when = 0; when < length; when += 2 * kSecond)
    world.at (when, [this] { observe_unused_machines (); });
  world.run_until (length);
  world.checker->check_at_end ();
  for (const std::string &violation : world.checker->violations ())
    ADD_FAILURE () << violation;
  expect_all_ended ();
}

} // namespace sim
