// The version in production and this one side by side, as real programs on loopback.
#include <set>

#include "loopback.hpp"
#include "loopback/three_controllers.hpp"

using namespace loopback;

namespace {

constexpr const char *kOld = PRODUCTION_PROGRAM, *kNew = FLINTRACK_PROGRAM;

// Limits as on the machines that are upgraded.
Site
site_with_next_limits ()
{
  Site site;
  site.next_write_rps = 60;
  site.next_value_kb = 2;
  site.next_txn_ops = 4;
  return site;
}

class Upgrade : public ThreeControllers {
protected:
  explicit Upgrade (const Site &site = site_with_next_limits ()) : ThreeControllers (site, kOld) {}
  // One job by each controller, all done; one cancelled by each and gone everywhere.
  void
  serve (const Machine &machine, const std::string &round)
  {
    guint before = machine.starts;
    for (size_t i = 0; i < kControllers; i++) {
      std::string ref = "req-4" + round + std::to_string (i);
      ASSERT_EQ (submit (i, job (ref.c_str (), 2))->status, 201u) << ref;
      EXPECT_TRUE (reaches ((i + 1) % 3, ref, "done")) << ref;
    }
    EXPECT_EQ (machine.starts, before + 6) << "each task once, round " << round;
    for (size_t i = 0; i < kControllers; i++) {
      std::string ref = "req-3" + round + std::to_string (i);
      ASSERT_EQ (submit (i, job (ref.c_str (), 1))->status, 201u) << ref;
      EXPECT_EQ (cancel ((i + 1) % 3, ref), "withdrawn") << ref;
      EXPECT_TRUE (wait_for ([&] { return !machine.has (ref); })) << ref;
      for (size_t each = 0; each < kControllers; each++)
        EXPECT_EQ (state_of (each, ref), "withdrawn") << ref;
    }
  }
  bool
  store_has (const std::string &row)
  {
    json_t *all = services.store.dump ();
    bool found = json_object_get (all, row.c_str ()) != nullptr;
    json_decref (all);
    return found;
  }
};

// Any mix and order, a process that comes back old included, with what runs going on throughout.
TEST_F (Upgrade, OldAndNewServeEachOthersDataInAnyMix)
{
  Machine machine (controllers.front);
  ASSERT_EQ (submit (0, job ("req-3", 2))->status, 201u);
  ASSERT_TRUE (reaches (1, "req-3", "running"));
  serve (machine, "0");
  guint started = machine.starts - machine.cancelled_starts;

  ASSERT_NO_FATAL_FAILURE (replace (0, kNew));
  serve (machine, "1");
  // While an old controller is heard nothing that it does not know is accepted.
  EXPECT_TRUE (wait_for ([&] { return submit (0, job_after ("req-6", { "req-3" }))->status == 503; }));
  EXPECT_EQ (look_up (0, "req-6")->status, 404u);

  // The new one leads, then an old one again, then a new one.
  for (size_t i : { 1, 2 })
    controllers.kill (i);
  ASSERT_EQ (controllers.leader (), 0u);
  for (size_t i : { 1, 2 })
    ASSERT_NO_FATAL_FAILURE (replace (i, kOld));
  serve (machine, "2");
  ASSERT_NO_FATAL_FAILURE (replace (0, kOld));
  serve (machine, "3");
  for (size_t i : { 2, 0, 1 })
    ASSERT_NO_FATAL_FAILURE (replace (i, kNew));
  serve (machine, "4");
  EXPECT_EQ (machine.starts, started + 4 * 6 + machine.cancelled_starts) << "what ran went on";
  EXPECT_TRUE (machine.has ("req-3"));

  // All are new: what waits for others is taken again.
  auto taken = [&] { return submit (2, job_after ("req-6", { "req-40", "req-400" }))->status; };
  guint status = 0;
  EXPECT_EQ (taken (), 422u) << "req-40 was never accepted";
  EXPECT_TRUE (wait_for ([&] {
    status = submit (1, job_after ("req-6", { "req-400", "req-410" }))->status;
    return status != 503;
  }));
  EXPECT_EQ (status, 201u);
  EXPECT_TRUE (reaches (0, "req-6", "done")) << "what it needs was done under an old leader";
}

// A set of done tasks that one version has begun is finished by the other, in either direction:
// what was cleared from its worker is not started again.
TEST_F (Upgrade, ADoneSetBegunByOneVersionIsFinishedByTheOther)
{
  Machine machine (controllers.front, "n-000001", 150, 20); // four tasks at a time, three seconds each
  guint expected = 0;
  for (const char *next : { kNew, kOld }) {
    std::string ref = next == kNew ? "req-51" : "req-52", row = "d/" + ref + "/0";
    ASSERT_TRUE (wait_for ([&] { return submit (0, job (ref.c_str (), 12))->status == 201; }));
    ASSERT_TRUE (wait_for ([&] { return store_has (row); })) << row;
    for (size_t i = 0; i < 3; i++)
      controllers.kill (i);
    for (size_t i = 0; i < 3; i++)
      ASSERT_NO_FATAL_FAILURE (replace (i, next));
    EXPECT_TRUE (reaches (1, ref, "done")) << ref;
    expected += 12;
    EXPECT_EQ (machine.starts, expected) << ref << ": each task once";
  }
}

// Names in the rows of the registry; the largest row in `largest`.
std::set<std::string>
registry_names (const Services &services, size_t *largest)
{
  std::set<std::string> names;
  json_t *all = services.store.dump (), *value, *item;
  const char *key;
  size_t i;
  *largest = 0;
  json_object_foreach (all, key, value)
  {
    if (!g_str_has_prefix (key, "m/"))
      continue;
    *largest = std::max (*largest, json_dumpb (value, nullptr, 0, 0));
    json_array_foreach (json_object_get (value, "machines"), i, item)
        names.insert (json_string_value (json_object_get (item, "name")));
  }
  json_decref (all);
  return names;
}

// Machines enough for a row that the lower limits do not allow.
class UpgradeOfLargeRows : public Upgrade {
protected:
  static constexpr int kMachines = 60;
  std::vector<std::unique_ptr<Machine> > machines;
  UpgradeOfLargeRows () : Upgrade (site_of_many_machines ()) {}
  static Site
  site_of_many_machines ()
  {
    Site site = site_with_next_limits ();
    site.cpus_max = 4000;
    return site;
  }
  void
  connect_machines ()
  {
    for (int i = 0; i < kMachines; i++) {
      g_autofree char *name = g_strdup_printf ("n-%06d", i);
      machines.push_back (std::make_unique<Machine> (controllers.front, name, 300, 2, 2));
    }
  }
};

// Rows that the old version wrote under larger limits are split when they change, and no machine
// is forgotten meanwhile; nothing is refused once the limits are lower.
TEST_F (UpgradeOfLargeRows, SplitsThemUnderTheNewLimits)
{
  connect_machines ();
  size_t largest;
  ASSERT_TRUE (wait_for ([&] { return registry_names (services, &largest).size () == kMachines; }));
  ASSERT_GT (largest, 2048u) << "the old version wrote no large row";
  for (size_t i = 0; i < 3; i++)
    ASSERT_NO_FATAL_FAILURE (replace (i, kNew));
  ASSERT_NO_FATAL_FAILURE (find_leader ());
  const Site site = site_with_next_limits ();
  services.store.limit (site.next_value_kb, site.next_txn_ops, site.next_write_rps);
  registry_names (services, &largest);
  EXPECT_GT (largest, 2048u) << "a row that does not change stays as it is";

  // A machine of it goes.
  std::set<std::string> alive;
  machines.erase (machines.begin () + 7);
  for (const auto &machine : machines)
    alive.insert (machine->name);
  bool complete = true;
  EXPECT_TRUE (wait_for ([&] {
    auto names = registry_names (services, &largest);
    complete &= std::includes (names.begin (), names.end (), alive.begin (), alive.end ());
    return names == alive && largest <= 2048;
  })) << largest;
  EXPECT_TRUE (complete) << "a machine was named by no row for a moment";
  EXPECT_EQ (services.store.too_large, 0u);
  ASSERT_EQ (submit (0, job ("req-1", 100))->status, 201u);
  EXPECT_TRUE (reaches (1, "req-1", "done"));
  EXPECT_EQ (services.store.too_large, 0u);
}

} // namespace
