// Upgrades from the version in production to this version. Both versions run side by side as real programs on loopback.
#include <set>

#include "loopback.hpp"
#include "loopback/three_controllers.hpp"

using namespace loopback;

namespace {

constexpr const char *kOld = PRODUCTION_PROGRAM, *kNew = FLINTRACK_PROGRAM;

// The settings announce lower limits of the store, as on the deployments that are upgraded.
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
  // Submits two jobs to each controller. The first one runs until it is done. The second one is cancelled: its task
  // leaves the machine, and every controller reports the cancellation.
  void
  run_jobs_on_each (const Machine &machine, const std::string &round)
  {
    guint before = machine.starts;
    for (size_t i = 0; i < kControllers; i++) {
      std::string ref = "req-4" + round + std::to_string (i);
      ASSERT_EQ (submit (i, job (ref.c_str (), 2))->status, 201u) << ref;
      EXPECT_TRUE (reaches ((i + 1) % 3, ref, "done")) << ref;
    }
    EXPECT_EQ (machine.starts, before + 6) << "a task was not started exactly once in round " << round;
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

// Controllers of both versions run in several mixes, one of which results from a downgrade. One job runs all the
// time.
TEST_F (Upgrade, OldAndNewVersionsServeTheSameJobsInAnyMix)
{
  Machine machine (controllers.front);
  ASSERT_EQ (submit (0, job ("req-3", 2))->status, 201u);
  ASSERT_TRUE (reaches (1, "req-3", "running"));
  run_jobs_on_each (machine, "0");
  guint started = machine.starts - machine.cancelled_starts;

  ASSERT_NO_FATAL_FAILURE (replace (0, kNew));
  run_jobs_on_each (machine, "1");
  // While a controller of the old version sends heartbeats, no job with dependencies is accepted, since the old version
  // does not support dependencies.
  EXPECT_TRUE (wait_for ([&] { return submit (0, job_after ("req-6", { "req-3" }))->status == 503; }));
  EXPECT_EQ (look_up (0, "req-6")->status, 404u);

  // A controller of the new version leads, then one of the old version, then one of the new version again.
  for (size_t i : { 1, 2 })
    controllers.kill (i);
  ASSERT_EQ (controllers.leader (), 0u);
  for (size_t i : { 1, 2 })
    ASSERT_NO_FATAL_FAILURE (replace (i, kOld));
  run_jobs_on_each (machine, "2");
  ASSERT_NO_FATAL_FAILURE (replace (0, kOld));
  run_jobs_on_each (machine, "3");
  for (size_t i : { 2, 0, 1 })
    ASSERT_NO_FATAL_FAILURE (replace (i, kNew));
  run_jobs_on_each (machine, "4");
  EXPECT_EQ (machine.starts, started + 4 * 6 + machine.cancelled_starts) << "a running task was started again";
  EXPECT_TRUE (machine.has ("req-3"));

  // All controllers are of the new version, so jobs with dependencies are accepted.
  auto submit_with_unknown_dependency = [&] {
    return submit (2, job_after ("req-6", { "req-40", "req-400" }))->status;
  };
  guint status = 0;
  EXPECT_EQ (submit_with_unknown_dependency (), 422u) << "req-40 was never accepted";
  EXPECT_TRUE (wait_for ([&] {
    status = submit (1, job_after ("req-6", { "req-400", "req-410" }))->status;
    return status != 503;
  }));
  EXPECT_EQ (status, 201u);
  EXPECT_TRUE (reaches (0, "req-6", "done")) << "its dependencies were done under a leader of the old version";
}

// One version writes a part of a job's done-set, and the other version finishes the job, in both directions. A task
// whose result the worker has already forgotten is not started again.
TEST_F (Upgrade, DoneSetOfOneVersionIsContinuedByTheOther)
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
    EXPECT_EQ (machine.starts, expected) << ref << ": a task was not started exactly once";
  }
}

// Returns the names of the machines in all registry rows, and sets `largest` to the size of the largest row in bytes.
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

// Enough machines for a registry row that exceeds the lower value limit.
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

// Rows that the old version wrote under larger limits are split when they change. At any moment, a row names each
// machine. The store refuses no transaction for its size once the limits are lower.
TEST_F (UpgradeOfLargeRows, LargeRowsAreSplitUnderTheLowerLimits)
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
  EXPECT_GT (largest, 2048u) << "a row was rewritten although it did not change";

  // One of the machines that the large row names is removed.
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
  EXPECT_TRUE (complete) << "for a moment, no row named one of the machines";
  EXPECT_EQ (services.store.too_large, 0u);
  ASSERT_EQ (submit (0, job ("req-1", 100))->status, 201u);
  EXPECT_TRUE (reaches (1, "req-1", "done"));
  EXPECT_EQ (services.store.too_large, 0u);
}

} // namespace
