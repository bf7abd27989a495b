#include "world.hpp"

#include <algorithm>

namespace sim {

// ---- state service ----

Store::~Store ()
{
  for (auto &[key, row] : rows_)
    json_decref (row.value);
  for (auto &event : log_)
    json_decref (event.value);
}

void
Store::limit (double value_kb, guint txn_ops, double write_rps)
{
  value_bytes_ = value_kb * 1024;
  txn_ops_ = txn_ops;
  write_rps_ = level_ = write_rps;
}

bool
Store::within_limits (const json_t *txn)
{
  size_t i;
  json_t *item;
  const json_t *apply = json_object_get (txn, "apply");
  if (txn_ops_ > 0 && json_array_size (apply) > txn_ops_)
    return false;
  if (txn_ops_ > 0 && json_array_size (json_object_get (txn, "if")) > 4 * txn_ops_)
    return false;
  json_array_foreach (apply, i, item)
  {
    const json_t *data = json_object_get (item, "data");
    if (value_bytes_ > 0 && data != nullptr && (double) json_dumpb (data, nullptr, 0, 0) > value_bytes_)
      return false;
  }
  return true;
}

// Bursts of a second's worth.
bool
Store::within_rate (const json_t *txn, Time now)
{
  if (write_rps_ == 0)
    return true;
  level_ = std::min (write_rps_, level_ + write_rps_ * (double) (now - level_at_) / kSecond);
  level_at_ = now;
  auto changes = (double) json_array_size (json_object_get (txn, "apply"));
  if (changes > level_)
    return false;
  level_ -= changes;
  return true;
}

std::pair<guint, json_t *>
Store::commit (const json_t *txn, Time now)
{
  size_t i;
  json_t *item;
  if (!within_limits (txn)) {
    too_large++;
    return { 400, json_pack ("{s:s}", "error", "too large") };
  }
  if (!within_rate (txn, now)) {
    too_many++;
    return { 429, nullptr };
  }
  json_t *failed = json_array ();
  json_array_foreach (json_object_get (txn, "if"), i, item)
  {
    const char *key = json_string_value (json_object_get (item, "key"));
    auto row = rows_.find (key);
    guint64 revision = row == rows_.end () ? 0 : row->second.revision;
    if (revision != (guint64) json_integer_value (json_object_get (item, "stamp")))
      json_array_append_new (failed, json_string (key));
  }
  if (json_array_size (failed) > 0)
    return { 409, json_pack ("{s:o, s:I}", "failed", failed, "ledger", (json_int_t) revision) };
  json_decref (failed);
  if (json_array_size (json_object_get (txn, "apply")) > 0)
    revision++;
  json_array_foreach (json_object_get (txn, "apply"), i, item)
  {
    const char *put = json_string_value (json_object_get (item, "write"));
    const char *gone = json_string_value (json_object_get (item, "delete"));
    std::string key = put ? put : gone;
    json_t *value = put ? json_deep_copy (json_object_get (item, "data")) : nullptr;
    auto row = rows_.find (key);
    if (row != rows_.end ()) {
      json_decref (row->second.value);
      rows_.erase (row);
    } else if (!put) {
      continue;
    }
    if (put)
      rows_[key] = { value, revision };
    log_.push_back ({ key, value ? json_incref (value) : nullptr, revision });
  }
  return { 200, json_pack ("{s:I}", "ledger", (json_int_t) revision) };
}

std::pair<guint, json_t *>
Store::get (const std::string &key) const
{
  auto row = rows_.find (key);
  if (row == rows_.end ())
    return { 404, json_pack ("{s:I}", "ledger", (json_int_t) revision) };
  return { 200, json_pack ("{s:s, s:O, s:I}", "key", key.c_str (), "data", row->second.value, "stamp",
                           (json_int_t) row->second.revision) };
}

std::pair<guint, json_t *>
Store::list (const std::string &prefix, const std::string &after, guint limit) const
{
  json_t *items = json_array ();
  auto row = after.empty () ? rows_.lower_bound (prefix) : rows_.upper_bound (after);
  for (; row != rows_.end () && row->first.rfind (prefix, 0) == 0 && json_array_size (items) < limit; ++row)
    json_array_append_new (items, json_pack ("{s:s, s:O, s:I}", "key", row->first.c_str (), "data", row->second.value,
                                             "stamp", (json_int_t) row->second.revision));
  bool more = row != rows_.end () && row->first.rfind (prefix, 0) == 0;
  return { 200, json_pack ("{s:o, s:b, s:I}", "pairs", items, "more", more, "ledger", (json_int_t) revision) };
}

json_t *
Store::dump () const
{
  json_t *all = json_object ();
  for (const auto &[key, row] : rows_)
    json_object_set (all, key.c_str (), row.value);
  return all;
}

bool
Store::changed (const std::string &prefix, guint64 since) const
{
  return std::any_of (log_.begin (), log_.end (),
                      [&] (const Event &e) { return e.revision > since && e.key.rfind (prefix, 0) == 0; });
}

std::pair<guint, json_t *>
Store::follow (const std::string &prefix, guint64 since) const
{
  json_t *events = json_array ();
  for (const Event &e : log_) {
    if (e.revision <= since || e.key.rfind (prefix, 0) != 0)
      continue;
    json_t *event
        = json_pack ("{s:s, s:I}", e.value ? "write" : "delete", e.key.c_str (), "stamp", (json_int_t) e.revision);
    if (e.value)
      json_object_set (event, "data", e.value);
    json_array_append_new (events, event);
  }
  return { 200, json_pack ("{s:o, s:I}", "events", events, "ledger", (json_int_t) revision) };
}

// ---- worker ----

static std::string
task_name (const TaskOn &t)
{
  return t.job + "/" + std::to_string (t.index);
}

Worker::Worker (World &world, std::string name_, std::string zone_, bool spot_)
    : name (name_), zone (zone_), spot (spot_), world_ (world)
{
  rate_ = world.uniform (0.9995, 1.0005);
  node_ = world.below (3);
}

void
Worker::boot ()
{
  up = true;
  last_sent_ok_ = world_.now;
  loop ();
}

void
Worker::drop_tasks ()
{
  for (TaskOn &t : tasks_)
    if (t.state == FT_TASK_PHASE_RUNNING)
      world_.checker->off (t.job, t.index, name);
  tasks_.clear ();
}

bool
Worker::runs (const std::string &ref) const
{
  return std::any_of (tasks_.begin (), tasks_.end (),
                      [&] (const TaskOn &t) { return t.job == ref && t.state == FT_TASK_PHASE_RUNNING; });
}

void
Worker::die ()
{
  drop_tasks ();
  alive = up = false;
}

void
Worker::reboot ()
{
  drop_tasks ();
  session_++;
  last_sent_ok_ = world_.now;
  changed ();
}

void
Worker::hang (Time until)
{
  hung_until = until;
}

void
Worker::not_reporting (Time until)
{
  mute_since = world_.now;
  mute_until = until;
}

FtWorkerHeartbeat *
Worker::heartbeat ()
{
  FtWorkerHeartbeat *r = ft_worker_heartbeat_new ();
  r->machine = g_strdup (name.c_str ());
  r->addr = g_strdup ((name + ":1").c_str ());
  r->type = g_strdup ("std");
  r->zone = g_strdup (zone.c_str ());
  r->spot = spot;
  r->incarnation = session_;
  r->sequence = ++sequence_;
  r->token = token_;
  for (const TaskOn &t : tasks_) {
    FtTaskStatus item = { g_strdup (t.job.c_str ()), t.index, t.attempt, t.state, t.why, FALSE };
    g_array_append_val (r->tasks, item);
  }
  return r;
}

void
Worker::exit_task (TaskOn &task, FtExitReason why)
{
  if (task.state == FT_TASK_PHASE_RUNNING)
    world_.checker->off (task.job, task.index, name);
  task.state = FT_TASK_PHASE_EXITED;
  task.why = why;
  changed ();
}

void
Worker::start (const FtCommand &c)
{
  double used = 0;
  const auto &jobs = world_.checker->jobs ();
  for (TaskOn &t : tasks_) {
    bool same = t.job == c.job && t.index == c.index;
    if (same && t.attempt == c.attempt)
      return;
    if (t.state != FT_TASK_PHASE_EXITED)
      used += jobs.at (t.job).cpus;
  }
  TaskOn task = { c.job, c.index, c.attempt };
  auto live = [&] (const TaskOn &t) { return t.job == c.job && t.index == c.index && t.state != FT_TASK_PHASE_EXITED; };
  if (std::any_of (tasks_.begin (), tasks_.end (), live)) {
    task.state = FT_TASK_PHASE_EXITED;
    task.why = FT_EXIT_BUSY;
  } else if (used + jobs.at (c.job).cpus > 16 + 1e-6) {
    task.state = FT_TASK_PHASE_EXITED;
    task.why = FT_EXIT_NO_ROOM;
  }
  task.at = world_.now + (Time) (world_.uniform (0.1, 1.5) * kSecond);
  tasks_.push_back (task);
  changed ();
}

void
Worker::execute (const GArray *orders)
{
  for (guint i = 0; orders != nullptr && i < orders->len; i++) {
    const FtCommand &c = g_array_index (orders, FtCommand, i);
    auto is = [&] (const TaskOn &t) { return t.job == c.job && t.index == c.index && t.attempt == c.attempt; };
    auto it = std::find_if (tasks_.begin (), tasks_.end (), is);
    if (c.op == FT_COMMAND_START)
      start (c);
    else if (it != tasks_.end () && c.op == FT_COMMAND_STOP && it->state != FT_TASK_PHASE_EXITED)
      exit_task (*it, FT_EXIT_STOPPED);
    else if (it != tasks_.end () && c.op == FT_COMMAND_FORGET && it->state == FT_TASK_PHASE_EXITED) {
      tasks_.erase (it);
      changed ();
    }
  }
}

std::pair<guint, FtWorkerHeartbeat *>
Worker::commands (guint64 token, guint64 incarnation, const GArray *orders)
{
  check_lease ();
  run_tasks ();
  if (token < token_ || incarnation != session_)
    return { 409, heartbeat () };
  token_ = std::max (token_, token);
  execute (orders);
  return { 200, heartbeat () };
}

void
Worker::run_tasks ()
{
  for (TaskOn &t : tasks_) {
    if (t.state == FT_TASK_PHASE_FETCHING && world_.now >= t.at) {
      bool kept = world_.results.count (task_name (t)) > 0;
      t.state = FT_TASK_PHASE_RUNNING;
      Time lease = (Time) (world_.settings.lease_s * kSecond);
      world_.starts_on_mute += world_.now < mute_until && world_.now > mute_since + 3 * lease;
      world_.checker->on (world_.now, t.job, t.index, { name, zone, spot });
      t.at = world_.now + (Time) ((kept ? 0 : world_.run_s[t.job] * world_.uniform (0.5, 1.5)) * kSecond);
      t.fails = world_.mistaken.count (t.job) > 0 || world_.now < sick_until;
      if (t.fails)
        t.at = world_.now;
      changed ();
    }
    if (t.state == FT_TASK_PHASE_RUNNING && world_.now >= t.at) {
      bool fails = t.fails || world_.failing.count (name) > 0;
      world_.failures += fails;
      if (!fails) {
        world_.results.insert (task_name (t));
        world_.checker->finished (world_.now, t.job, t.index);
      }
      exit_task (t, fails ? FT_EXIT_ERROR : FT_EXIT_DONE);
    }
  }
}

void
Worker::check_lease ()
{
  Time lease = (Time) (world_.settings.lease_s * kSecond * rate_);
  if (world_.now <= last_sent_ok_ + lease)
    return;
  drop_tasks ();
  session_++;
  last_sent_ok_ = world_.now;
  changed ();
}

void
Worker::answered (Time sent, guint64 incarnation, bool ok, guint status, guint64 token, std::shared_ptr<GArray> orders,
                  int answers_to)
{
  in_flight_ = false;
  if (ok && status == 200) {
    if (token < token_ || incarnation != session_)
      return;
    if (token > token_) {
      token_ = token;
      changed ();
    }
    last_sent_ok_ = std::max (last_sent_ok_, sent);
    execute (orders.get ());
    return;
  }
  if (ok && status == 421 && answers_to >= 0 && answers_to != node_) {
    node_ = answers_to;
    next_report_ = world_.now;
    return;
  }
  node_ = (node_ + 1) % 3;
  next_report_ = world_.now + kSecond;
}

void
Worker::send_report ()
{
  in_flight_ = true;
  change_ = false;
  last_report_ = world_.now;
  next_report_ = world_.now + (Time) (world_.settings.heartbeat_s * world_.uniform (0.75, 1.25) * kSecond);
  std::shared_ptr<FtWorkerHeartbeat> r (heartbeat (), ft_worker_heartbeat_free);
  Time sent = world_.now;
  if (world_.keep_reports)
    world_.kept_[name] = r;
  auto done = std::make_shared<bool> (false);
  auto self = world_.machines[name];
  std::string node = "node-" + std::to_string (node_);
  Node *target = world_.nodes[node_].get ();
  if (sent < mute_until) {
    world_.after (kSecond / 2, [this, self, sent, done, r] {
      if (*done || !alive)
        return;
      *done = true;
      answered (sent, r->incarnation, false, 0, 0, nullptr, -1);
    });
    return;
  }
  guint led = world_.takeovers;
  world_.deliver (name, node, [this, self, r, sent, done, target, node, led] {
    Node::Answer a;
    if (target->alive)
      a = target->heartbeat (r.get ());
    world_.reports_after_takeover += a.status == 200 && world_.takeovers > led;
    world_.deliver (node, name, [this, self, r, sent, done, a] {
      if (*done || !alive || world_.now < hung_until)
        return;
      *done = true;
      answered (sent, r->incarnation, a.status != 0, a.status, a.token, a.orders, a.answers_to);
    });
  });
  if (world_.chance (world_.copies))
    copy_later (r);
  world_.after (4 * kSecond, [this, self, sent, done, r] {
    if (*done || !alive)
      return;
    *done = true;
    answered (sent, r->incarnation, false, 0, 0, nullptr, -1);
  });
}

// A copy of the heartbeat reaches some controller, by seconds to well over a lease
// late; nobody waits for its answer.
void
Worker::copy_later (std::shared_ptr<FtWorkerHeartbeat> heartbeat)
{
  int node = world_.below (3);
  World &world = world_;
  world.after ((Time) (world.uniform (1, 2.5 * world.settings.lease_s) * kSecond), [&world, node, heartbeat] {
    if (world.nodes[node]->alive)
      world.nodes[node]->heartbeat (heartbeat.get ());
  });
}

void
Worker::loop ()
{
  if (!alive)
    return;
  auto self = world_.machines[name];
  if (world_.now < hung_until) {
    world_.at (hung_until, [self] { self->loop (); });
    return;
  }
  check_lease ();
  run_tasks ();
  bool due = world_.now >= next_report_ || (change_ && world_.now >= last_report_ + kSecond / 2);
  if (!in_flight_ && due)
    send_report ();
  world_.after (world_.worker_step, [self] { self->loop (); });
}

// ---- world ----

static const char *const zones[] = { "a", "b" };

World::World (guint32 seed, guint scale)
{
  most_machines *= scale;
  random = g_rand_new_with_seed (seed);
  settings.n_teams = 2;
  settings.teams = g_new0 (FtTeamLimit, 2);
  settings.teams[0] = { g_strdup ("red"), 24.0 * scale, 48.0 * scale, 0, 0 };
  settings.teams[1] = { g_strdup ("blue"), 16.0 * scale, 32.0 * scale, 0, 0 };
  settings.heartbeat_s = 2.5;
  settings.lease_s = 14;
  settings.cancel_s = 34;
  settings.list_lag_s = 3;
  settings.cloud_rps = 3;
  settings.txn_ops = 12;
  settings.value_kb = 1;
  settings.size = 3;
  catalog = ft_catalog_new ();
  FtMachineType *type = g_new0 (FtMachineType, 1);
  type->name = g_strdup ("std");
  type->cpus = 16;
  type->memory_gb = 64;
  type->cache_gb = 50;
  type->fetch_gb_per_s = 1;
  type->price = 1;
  type->spot_price = 0.4;
  type->boot_s = 8;
  type->zones = g_strsplit ("a b", " ", 0);
  g_ptr_array_add (catalog->types, type);
  checker
      = std::make_unique<Checker> (std::map<std::string, double>{ { "red", 48.0 * scale }, { "blue", 32.0 * scale } },
                                   (Time) (settings.cancel_s * kSecond));
  for (int i = 0; i < 3; i++)
    nodes.push_back (std::make_unique<Node> (*this, i));
}

void
World::unlimit ()
{
  for (guint i = 0; i < settings.n_teams; i++) {
    FtTeamLimit &team = settings.teams[i];
    team.cpus = team.cpus_max = team.gpus = team.gpus_max = 0;
    checker->unlimit (team.name);
  }
}

World::~World ()
{
  while (!events_.empty ())
    events_.pop ();
  nodes.clear ();
  machines.clear ();
  for (guint i = 0; i < settings.n_teams; i++)
    g_free (settings.teams[i].name);
  g_free (settings.teams);
  ft_catalog_unref (catalog);
  g_rand_free (random);
}

void
World::at (Time when, std::function<void ()> what)
{
  events_.push ({ std::max (when, now), order_++, std::move (what) });
}

void
World::deliver_kept_reports ()
{
  auto heartbeats = std::move (kept_);
  kept_.clear ();
  for (auto &[name, heartbeat] : heartbeats)
    for (auto &node : nodes) {
      std::shared_ptr<FtWorkerHeartbeat> copy = heartbeat;
      after ((Time) (uniform (0, 0.3) * kSecond), [this, node = node.get (), copy] {
        if (node->alive)
          kept_reports += node->heartbeat (copy.get ()).status == 200;
      });
    }
}

guint
World::alive_machines () const
{
  guint n = 0;
  for (const auto &[name, worker] : machines)
    n += worker->alive;
  return n;
}

void
World::run_until (Time end)
{
  while (!events_.empty () && events_.top ().when <= end) {
    Event event = events_.top ();
    events_.pop ();
    now = event.when;
    event.what ();
    checker->step (now);
  }
  now = end;
}

Node *
World::node (const std::string &name)
{
  return name.rfind ("node-", 0) == 0 ? nodes[name.back () - '0'].get () : nullptr;
}

void
World::deliver (const std::string &from, const std::string &to, std::function<void ()> what)
{
  if (chance (loss))
    return;
  Time delay = (Time) (uniform (0.001, 0.02) * kSecond);
  if (chance (late))
    delay = (Time) (uniform (1, 25) * kSecond);
  auto cut = cuts.find ({ from, to });
  if (cut != cuts.end () && cut->second > now) {
    if (chance (0.5))
      return;                   // reset
    delay += cut->second - now; // held back
  }
  after (delay, [this, to, what] {
    auto machine = machines.find (to);
    Node *controller = node (to);
    if (controller != nullptr && now < controller->frozen_until) {
      at (controller->frozen_until, what);
    } else if (machine == machines.end ()) {
      what ();
    } else if (machine->second->alive && now >= machine->second->deaf_until) {
      // A hanging machine takes its messages in when it resumes.
      if (now < machine->second->hung_until)
        at (machine->second->hung_until, what);
      else
        what ();
    }
  });
}

} // namespace sim
