#include "worker.hpp"

#include "node.hpp"
#include "world.hpp"

#include <algorithm>

namespace sim {

// A change triggers a heartbeat at once, but not sooner than this after the previous heartbeat.
static constexpr Time kLeastHeartbeatInterval = kSecond / 2;
// Time after which a heartbeat without an answer counts as unanswered.
static constexpr Time kAnswerTimeout = 4 * kSecond;
// Time until the worker notices that it cannot connect.
static constexpr Time kConnectionRefusedAfter = kSecond / 2;
static constexpr int kControllers = 3;

static bool
has_exited (const WorkerTask &task)
{
  return task.phase == FT_TASK_PHASE_EXITED;
}

Worker::Worker (World &world, std::string name_, std::string zone_, bool spot_)
    : name (std::move (name_)), zone (std::move (zone_)), spot (spot_), world_ (world)
{
  clock_rate_ = world.uniform (0.9995, 1.0005);
  node_ = world.below (kControllers);
}

// ---- power and faults ----

void
Worker::boot ()
{
  up = true;
  lease_from_ = world_.now;
  tick ();
}

void
Worker::die ()
{
  lose_tasks ();
  alive = up = false;
}

void
Worker::reboot ()
{
  lose_tasks ();
  incarnation_++;
  lease_from_ = world_.now;
  changed_ = true;
}

void
Worker::hang (Time until)
{
  hung_until = until;
}

void
Worker::stop_receiving (Time until)
{
  not_receiving_until_ = until;
}

void
Worker::stop_reporting (Time until)
{
  not_reporting_since_ = world_.now;
  not_reporting_until_ = until;
}

void
Worker::lose_commands (Time until)
{
  commands_lost_until_ = until;
}

bool
Worker::reachable () const
{
  return alive && up && world_.now >= std::max ({ hung_until, not_receiving_until_, not_reporting_until_ });
}

void
Worker::lose_tasks ()
{
  for (const WorkerTask &task : tasks_)
    if (task.phase == FT_TASK_PHASE_RUNNING)
      world_.checker->task_stopped (task.job, task.index, name);
  tasks_.clear ();
}

// Runs one step of the agent's loop.
void
Worker::tick ()
{
  if (!alive)
    return;
  auto self = world_.machines[name];
  if (world_.now < hung_until) {
    world_.at (hung_until, [self] { self->tick (); });
    return;
  }
  check_lease ();
  run_tasks ();
  bool due
      = world_.now >= next_heartbeat_at_ || (changed_ && world_.now >= last_heartbeat_at_ + kLeastHeartbeatInterval);
  if (!awaiting_answer_ && due)
    send_heartbeat ();
  world_.after (world_.worker_step, [self] { self->tick (); });
}

Time
Worker::lease_ends_at () const
{
  return lease_from_ + (Time) (world_.settings.lease_s * kSecond * clock_rate_);
}

// Ends all tasks and begins a new incarnation if the lease has expired, that is, if no heartbeat sent
// within the lease time was answered.
void
Worker::check_lease ()
{
  if (world_.now > lease_ends_at ())
    reboot ();
}

// ---- heartbeats ----

Heartbeat
Worker::heartbeat ()
{
  FtWorkerHeartbeat *message = ft_worker_heartbeat_new ();
  message->machine = g_strdup (name.c_str ());
  message->addr = g_strdup ((name + ":1").c_str ());
  message->type = g_strdup ("std");
  message->zone = g_strdup (zone.c_str ());
  message->spot = spot;
  message->incarnation = incarnation_;
  message->sequence = ++sequence_;
  message->token = token_;
  for (const WorkerTask &task : tasks_) {
    FtTaskStatus status
        = { g_strdup (task.job.c_str ()), task.index, task.attempt, task.phase, task.exit_reason, FALSE };
    g_array_append_val (message->tasks, status);
  }
  return adopt (message);
}

void
Worker::send_heartbeat ()
{
  awaiting_answer_ = true;
  changed_ = false;
  last_heartbeat_at_ = world_.now;
  next_heartbeat_at_ = world_.now + (Time) (world_.settings.heartbeat_s * world_.uniform (0.75, 1.25) * kSecond);
  Heartbeat message = heartbeat ();
  if (world_.faults.replay_heartbeats)
    world_.keep_heartbeat (message);
  // Only the first of answer and timeout counts.
  auto done = std::make_shared<bool> (false);
  auto self = world_.machines[name];
  auto finish = [self, done, sent = world_.now, message] (const HeartbeatAnswer &answer) {
    if (*done || !self->alive)
      return;
    *done = true;
    self->on_answer (sent, message->incarnation, answer);
  };
  if (world_.now < not_reporting_until_) {
    world_.after (kConnectionRefusedAfter, [finish] { finish ({}); });
    return;
  }
  deliver_heartbeat (message, finish);
  if (world_.chance (world_.faults.duplicates))
    duplicate_heartbeat (message);
  world_.after (kAnswerTimeout, [finish] { finish ({}); });
}

// Sends a heartbeat to the controller that the worker reports to, and passes the answer to `finish`.
void
Worker::deliver_heartbeat (const Heartbeat &message, std::function<void (const HeartbeatAnswer &)> finish)
{
  auto self = world_.machines[name];
  Node *target = world_.nodes[node_].get ();
  guint sent_in_term = world_.counters.takeovers;
  world_.deliver (name, target->name (), [self, message, target, finish, sent_in_term] {
    World &world = self->world_;
    HeartbeatAnswer answer;
    if (target->alive)
      answer = target->heartbeat (message.get ());
    world.counters.heartbeats_after_takeover += answer.status == 200 && world.counters.takeovers > sent_in_term;
    world.deliver (target->name (), self->name, [self, finish, answer] {
      if (self->world_.now >= self->hung_until)
        finish (answer);
    });
  });
}

// Delivers a copy of the heartbeat to a random controller, 1 s to 2.5 lease times late. The answer
// is dropped.
void
Worker::duplicate_heartbeat (const Heartbeat &message)
{
  Node *node = world_.nodes[world_.below (kControllers)].get ();
  world_.after (world_.seconds_between (1, 2.5 * world_.settings.lease_s), [node, message] {
    if (node->alive)
      node->heartbeat (message.get ());
  });
}

void
Worker::on_answer (Time sent, guint64 incarnation, const HeartbeatAnswer &answer)
{
  awaiting_answer_ = false;
  if (answer.status == 200) {
    if (answer.token < token_ || incarnation != incarnation_)
      return;
    if (answer.token > token_) {
      token_ = answer.token;
      changed_ = true;
    }
    lease_from_ = std::max (lease_from_, sent);
    execute (answer.commands.get ());
    return;
  }
  if (answer.status == 421 && answer.leader >= 0 && answer.leader != node_) {
    node_ = answer.leader;
    next_heartbeat_at_ = world_.now;
    return;
  }
  node_ = (node_ + 1) % kControllers;
  next_heartbeat_at_ = world_.now + kSecond;
}

// ---- commands ----

Worker::CommandAnswer
Worker::execute_commands (guint64 token, guint64 incarnation, const GArray *commands)
{
  check_lease ();
  run_tasks ();
  if (token < token_ || incarnation != incarnation_)
    return { 409, heartbeat () };
  token_ = token;
  execute (commands);
  return { 200, heartbeat () };
}

void
Worker::execute (const GArray *commands)
{
  for (guint i = 0; commands != nullptr && i < commands->len; i++) {
    const FtCommand &command = g_array_index (commands, FtCommand, i);
    auto task = std::find_if (tasks_.begin (), tasks_.end (), [&] (const WorkerTask &candidate) {
      return candidate.job == command.job && candidate.index == command.index && candidate.attempt == command.attempt;
    });
    if (command.op == FT_COMMAND_START)
      start (command);
    else if (task != tasks_.end () && command.op == FT_COMMAND_STOP && !has_exited (*task))
      exit_task (*task, FT_EXIT_STOPPED);
    else if (task != tasks_.end () && command.op == FT_COMMAND_FORGET && has_exited (*task)) {
      tasks_.erase (task);
      changed_ = true;
    }
  }
}

double
Worker::used_cpus () const
{
  double used = 0;
  for (const WorkerTask &task : tasks_)
    if (!has_exited (task))
      used += world_.checker->jobs ().at (task.job).cpus;
  return used;
}

// Starts a task. A repeated command for the same attempt has no effect.
void
Worker::start (const FtCommand &command)
{
  WorkerTask started = { command.job, command.index, command.attempt };
  bool busy = false;
  for (const WorkerTask &task : tasks_) {
    if (task.job != command.job || task.index != command.index)
      continue;
    if (task.attempt == command.attempt)
      return;
    busy |= !has_exited (task);
  }
  if (busy)
    started.exit_reason = FT_EXIT_BUSY;
  else if (used_cpus () + world_.checker->jobs ().at (command.job).cpus > kCpus + kCpuRounding)
    started.exit_reason = FT_EXIT_NO_ROOM;
  if (started.exit_reason != FT_EXIT_NONE)
    started.phase = FT_TASK_PHASE_EXITED;
  // Each job has an image of its own, which the machine fetches once.
  started.next_at = images_.count (command.job) > 0 ? world_.now
                                                    : world_.now + world_.seconds_between (0.1, world_.longest_fetch_s);
  tasks_.push_back (started);
  changed_ = true;
}

// ---- tasks ----

bool
Worker::runs (const std::string &ref) const
{
  return std::any_of (tasks_.begin (), tasks_.end (),
                      [&] (const WorkerTask &task) { return task.job == ref && task.phase == FT_TASK_PHASE_RUNNING; });
}

void
Worker::run_tasks ()
{
  for (WorkerTask &task : tasks_) {
    if (task.phase == FT_TASK_PHASE_FETCHING && world_.now >= task.next_at)
      begin_task (task);
    if (task.phase == FT_TASK_PHASE_RUNNING && world_.now >= task.next_at)
      complete_task (task);
  }
}

// Begins to run a task whose image is fetched. A task that has completed before, on any
// machine, completes at once, since its result is kept.
void
Worker::begin_task (WorkerTask &task)
{
  bool has_result = world_.results.count (task.name ()) > 0;
  Time lease = (Time) (world_.settings.lease_s * kSecond);
  images_.insert (task.job);
  task.phase = FT_TASK_PHASE_RUNNING;
  // Three lease times cover a takeover and the time until the leader declares the machine lost.
  world_.counters.starts_while_not_reporting
      += world_.now < not_reporting_until_ && world_.now > not_reporting_since_ + 3 * lease;
  world_.checker->task_started (world_.now, task.job, task.index, { name, zone, spot });
  task.next_at = world_.now + (Time) ((has_result ? 0 : world_.run_s[task.job] * world_.uniform (0.5, 1.5)) * kSecond);
  task.fails = world_.failing_jobs.count (task.job) > 0 || world_.now < tasks_fail_until;
  if (task.fails)
    task.next_at = world_.now;
  changed_ = true;
}

void
Worker::complete_task (WorkerTask &task)
{
  bool fails = task.fails || world_.failing_machines.count (name) > 0;
  world_.failures += fails;
  if (!fails) {
    world_.results.insert (task.name ());
    world_.checker->task_completed (world_.now, task.job, task.index);
  }
  exit_task (task, fails ? FT_EXIT_ERROR : FT_EXIT_DONE);
}

void
Worker::exit_task (WorkerTask &task, FtExitReason reason)
{
  if (task.phase == FT_TASK_PHASE_RUNNING)
    world_.checker->task_stopped (task.job, task.index, name);
  task.phase = FT_TASK_PHASE_EXITED;
  task.exit_reason = reason;
  changed_ = true;
}

} // namespace sim
