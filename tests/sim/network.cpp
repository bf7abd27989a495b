// Messages between the hosts of the simulated world.
#include "world.hpp"

namespace sim {

void
World::cut (const std::string &first, const std::string &second, Time until)
{
  cuts_[{ first, second }] = cuts_[{ second, first }] = until;
}

bool
World::is_cut (const std::string &from, const std::string &to) const
{
  auto cut = cuts_.find ({ from, to });
  return cut != cuts_.end () && cut->second > now;
}

// The controller that the host name stands for; NULL if the host is not a controller.
Node *
World::node_of (const std::string &host) const
{
  return host.rfind ("node-", 0) == 0 ? nodes[host.back () - '0'].get () : nullptr;
}

void
World::deliver (const std::string &from, const std::string &to, EventQueue::Action action)
{
  if (chance (faults.message_loss))
    return;
  Time delay = seconds_between (0.001, 0.02);
  if (chance (faults.message_delay))
    delay = seconds_between (1, 25);
  if (is_cut (from, to)) {
    if (chance (0.5))
      return;                               // the cut resets the connection
    delay += cuts_.at ({ from, to }) - now; // the message waits until the cut is over
  }
  after (delay, [this, to, action = std::move (action)] { arrive (to, action); });
}

// Runs the message's action at its receiver. A frozen controller or a hung machine processes its
// messages when it resumes.
void
World::arrive (const std::string &to, const EventQueue::Action &action)
{
  Node *node = node_of (to);
  if (node != nullptr && now < node->frozen_until) {
    at (node->frozen_until, action);
    return;
  }
  auto machine = machines.find (to);
  if (machine == machines.end ()) {
    action ();
    return;
  }
  const Worker &worker = *machine->second;
  if (worker.drops_messages (now))
    return;
  if (now < worker.hung_until)
    at (worker.hung_until, action);
  else
    action ();
}

std::optional<Worker::CommandAnswer>
World::execute_direct (const DirectMessage &direct)
{
  auto machine = machines.find (direct->machine);
  if (machine == machines.end () || !machine->second->up || machine->second->loses_commands (now))
    return {};
  return machine->second->execute_commands (direct->token, direct->incarnation, direct->commands);
}

void
World::deliver_copy (const DirectMessage &direct)
{
  arrive (direct->machine, [this, direct] {
    auto answer = execute_direct (direct);
    if (!answer || direct->commands->len == 0)
      return;
    counters.copies_executed += answer->status == 200;
    counters.copies_refused += answer->status == 409;
  });
}

Time
World::copy_delay ()
{
  const double longest_s[] = { 1, 1.5 * settings.lease_s, 240 };
  return seconds_between (0.1, longest_s[below (G_N_ELEMENTS (longest_s))]);
}

void
World::keep_heartbeat (const Heartbeat &heartbeat)
{
  kept_heartbeats_[heartbeat->machine] = heartbeat;
}

void
World::replay_heartbeats ()
{
  auto heartbeats = std::move (kept_heartbeats_);
  kept_heartbeats_.clear ();
  for (const auto &[machine, heartbeat] : heartbeats)
    for (const auto &node : nodes)
      after (seconds_between (0, 0.3), [this, node = node.get (), heartbeat = heartbeat] {
        if (node->alive)
          counters.replayed_heartbeats += node->heartbeat (heartbeat.get ()).status == 200;
      });
}

} // namespace sim
