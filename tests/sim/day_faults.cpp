// The faults that a test can schedule in a Day.
#include "day.hpp"

namespace sim {

// ---- controllers ----

void
Day::crash (Time when, int node)
{
  world.at (when, [this, node] { world.nodes[node]->crash (world.seconds_between (0.3, 6)); });
}

void
Day::restart_quickly (Time when, int node)
{
  for (int i = 0; i < 3; i++) {
    when += world.seconds_between (0.05, 1.5);
    world.at (when, [this, node] { world.nodes[node]->crash (world.seconds_between (0.02, 0.4)); });
  }
}

void
Day::freeze (Time when, int node, Time freeze_length)
{
  world.at (when, [this, node, freeze_length] { world.nodes[node]->freeze (world.now + freeze_length); });
}

void
Day::refuse_leader (Time when, Time refusal_length)
{
  world.at (when, [this, refusal_length] {
    refused_leader = leader ();
    if (refused_leader != nullptr)
      refused_leader->store_refuses_until = world.now + refusal_length;
  });
}

void
Day::rolling_upgrade (Time when, Time interval, Time limits_at)
{
  world.previous_settings = world.settings;
  world.previous_settings.value_kb = 8;
  world.previous_settings.txn_ops = 16;
  for (auto &node : world.nodes)
    node->runs_previous_version = true;
  for (int i = 0; i < (int) world.nodes.size (); i++)
    world.at (when + i * interval, [this, i] {
      world.nodes[i]->runs_previous_version = false;
      world.nodes[i]->crash (3 * kSecond);
    });
  world.at (limits_at, [this] { world.store.limit (world.settings.value_kb, world.settings.txn_ops, 28); });
}

// ---- machines ----

void
Day::machine_fault (Time when)
{
  world.at (when, [this] {
    if (world.machines.empty ())
      return;
    auto machine = any_machine ();
    double roll = world.uniform (0, 1);
    if (roll < 0.4)
      machine->die ();
    else if (roll < 0.8)
      machine->hang (world.now + world.seconds_between (3, 40));
    else
      world.failing_machines.insert (machine->name);
  });
}

void
Day::reboot (Time when)
{
  world.at (when, [this] {
    if (world.machines.empty ())
      return;
    auto machine = any_machine ();
    if (machine->alive && machine->up)
      machine->reboot ();
  });
}

void
Day::fail_tasks (Time when, Time fault_length)
{
  world.at (when, [this, fault_length] {
    if (!world.machines.empty ())
      any_machine ()->tasks_fail_until = world.now + fault_length;
  });
}

void
Day::stop_receiving (Time when, Time fault_length)
{
  world.at (when, [this, fault_length] {
    if (!world.machines.empty ())
      any_machine ()->stop_receiving (world.now + fault_length);
  });
}

// ---- network and store ----

void
Day::outage (Time when, Time outage_length)
{
  world.at (when, [this] { world.store.down = true; });
  world.at (when + outage_length, [this] { world.store.down = false; });
}

void
Day::cut_node (Time when, int node, bool from_store)
{
  world.at (when, [this, node, from_store] {
    Time until = world.now + world.seconds_between (5, 40);
    std::string name = world.nodes[node]->name ();
    if (from_store)
      world.cut (name, "store", until);
    else
      for (auto &[machine, worker] : world.machines)
        if (world.chance (0.6))
          world.cut (name, machine, until);
  });
}

void
Day::cut_zone (Time when, Time cut_length, const std::string &zone, int inside)
{
  world.at (when, [this, cut_length, zone, inside] {
    Time until = world.now + cut_length;
    for (const char *service : { "store", "cloud" })
      world.cut (world.nodes[inside]->name (), service, until);
    for (int i = 0; i < (int) world.nodes.size (); i++)
      for (auto &[machine, worker] : world.machines)
        if ((worker->zone == zone) != (i == inside))
          world.cut (world.nodes[i]->name (), machine, until);
  });
}

void
Day::all_faults ()
{
  for (int i = 0; i < 5; i++) {
    Time when = world.seconds_between (15, 150);
    crash (when, any_node ());
    machine_fault (when + world.seconds_between (-2, 2));
    cut_node (world.seconds_between (15, 140), any_node (), world.chance (0.5));
  }
  outage (90 * kSecond, 15 * kSecond);
}

} // namespace sim
