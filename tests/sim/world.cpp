#include "world.hpp"

namespace sim {

static constexpr int kControllers = 3;

// Guarantee and limit of team "red" in CPUs, at scale 1.
static constexpr double kRedGuarantee = 24, kRedLimit = 48;
// Guarantee and limit of team "blue" in CPUs, at scale 1.
static constexpr double kBlueGuarantee = 16, kBlueLimit = 32;

static FtMachineType *
machine_type_new ()
{
  FtMachineType *type = g_new0 (FtMachineType, 1);
  type->name = g_strdup ("std");
  type->cpus = Worker::kCpus;
  type->memory_gb = 64;
  type->cache_gb = 50;
  type->fetch_gb_per_s = 1;
  type->price = 1;
  type->spot_price = 0.4;
  type->boot_s = 8;
  type->zones = g_strsplit ("a b", " ", 0);
  return type;
}

static void
set_defaults (FtSettings &settings, guint scale)
{
  settings.n_teams = 2;
  settings.teams = g_new0 (FtTeamLimit, 2);
  settings.teams[0] = { g_strdup ("red"), kRedGuarantee * scale, kRedLimit * scale, 0, 0 };
  settings.teams[1] = { g_strdup ("blue"), kBlueGuarantee * scale, kBlueLimit * scale, 0, 0 };
  settings.heartbeat_s = 2.5;
  settings.lease_s = 14;
  settings.cancel_s = 34;
  settings.list_lag_s = 3;
  settings.cloud_rps = 3;
  settings.txn_ops = 12;
  settings.value_kb = 1;
  settings.size = kControllers;
}

World::World (guint32 seed, guint scale) : random (g_rand_new_with_seed (seed)), catalog (ft_catalog_new ())
{
  std::map<std::string, double> limits = { { "red", kRedLimit * scale }, { "blue", kBlueLimit * scale } };
  cloud.capacity *= scale;
  set_defaults (settings, scale);
  g_ptr_array_add (catalog->types, machine_type_new ());
  checker = std::make_unique<Checker> (limits, (Time) (settings.cancel_s * kSecond));
  for (int i = 0; i < kControllers; i++)
    nodes.push_back (std::make_unique<Node> (*this, i));
}

World::~World ()
{
  events_.clear (); // the actions hold references to the objects that are freed below
  nodes.clear ();
  machines.clear ();
  for (guint i = 0; i < settings.n_teams; i++)
    g_free (settings.teams[i].name);
  g_free (settings.teams);
  ft_catalog_unref (catalog);
  g_rand_free (random);
}

void
World::remove_team_limits ()
{
  for (guint i = 0; i < settings.n_teams; i++) {
    FtTeamLimit &team = settings.teams[i];
    team.cpus = team.cpus_max = team.gpus = team.gpus_max = 0;
    checker->remove_limit (team.name);
  }
}

// ---- clock ----

void
World::at (Time when, EventQueue::Action action)
{
  events_.add (std::max (when, now), std::move (action));
}

void
World::run_until (Time end)
{
  while (events_.due (end)) {
    EventQueue::Event event = events_.take ();
    now = event.when;
    event.action ();
    checker->check_cancelled_jobs (now);
  }
  now = end;
}

} // namespace sim
