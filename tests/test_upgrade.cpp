// The version in production and this one side by side, as real programs on loopback, and what
// only the whole program shows of jobs that wait for others.
#include <gtest/gtest.h>

#include <set>

#include "loopback.hpp"

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

void
replace (Controllers &c, size_t i, const char *program)
{
  c.kill (i);
  c.programs[i] = program;
  c.start (i);
  ASSERT_TRUE (c.ready (i)) << "controller " << i;
}

// One job by each controller, all done; one cancelled by each and gone everywhere.
void
serve (const Controllers &c, Machine &machine, const std::string &round)
{
  guint before = machine.starts;
  for (size_t i = 0; i < c.front.size (); i++) {
    std::string ref = "req-4" + round + std::to_string (i);
    ASSERT_EQ (call ("POST", c.front[i], "/work", job (ref.c_str (), 2))->status, 201u) << ref;
    EXPECT_TRUE (finished (c.front[(i + 1) % 3], ref.c_str (), "done")) << ref;
  }
  EXPECT_EQ (machine.starts, before + 6) << "each task once, round " << round;
  for (size_t i = 0; i < c.front.size (); i++) {
    std::string ref = "req-3" + round + std::to_string (i), path = "/work/" + ref;
    ASSERT_EQ (call ("POST", c.front[i], "/work", job (ref.c_str (), 1))->status, 201u) << ref;
    EXPECT_EQ (call ("POST", c.front[(i + 1) % 3], path + "/withdraw")->text ("standing"), "withdrawn") << ref;
    EXPECT_TRUE (wait_for ([&] { return !machine.has (ref); })) << ref;
    for (const std::string &addr : c.front)
      EXPECT_EQ (call ("GET", addr, path)->text ("standing"), "withdrawn") << ref;
  }
}

// Names in the rows of the registry; the largest row in `largest`.
std::set<std::string>
registry (const Services &services, size_t *largest)
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

// Any mix and order, a process that comes back old included, with what runs going on throughout.
TEST (Upgrade, OldAndNewServeEachOthersDataInAnyMix)
{
  Services services;
  Controllers c (services, 3, site_with_next_limits (), kOld);
  for (size_t i = 0; i < 3; i++)
    ASSERT_TRUE (c.ready (i));
  Machine machine (c.front);
  ASSERT_EQ (call ("POST", c.front[0], "/work", job ("req-3", 2))->status, 201u);
  ASSERT_TRUE (finished (c.front[1], "req-3", "running"));
  serve (c, machine, "0");
  guint started = machine.starts - machine.cancelled_starts;

  replace (c, 0, kNew);
  serve (c, machine, "1");
  // While an old controller is heard nothing that it does not know is accepted.
  EXPECT_TRUE (wait_for ([&] {
    auto put_off = call ("POST", c.front[0], "/work", job_after ("req-6", { "req-3" }));
    return put_off->status == 503;
  }));
  EXPECT_EQ (call ("GET", c.front[0], "/work/req-6")->status, 404u);

  // The new one leads, then an old one again, then a new one.
  for (size_t i : { 1, 2 })
    c.kill (i);
  ASSERT_EQ (c.leader (), 0u);
  for (size_t i : { 1, 2 })
    replace (c, i, kOld);
  serve (c, machine, "2");
  replace (c, 0, kOld);
  serve (c, machine, "3");
  for (size_t i : { 2, 0, 1 })
    replace (c, i, kNew);
  serve (c, machine, "4");
  EXPECT_EQ (machine.starts, started + 4 * 6 + machine.cancelled_starts) << "what ran went on";
  EXPECT_TRUE (machine.has ("req-3"));

  // All are new: what waits for others is taken again.
  auto taken = [&] { return call ("POST", c.front[2], "/work", job_after ("req-6", { "req-40", "req-400" }))->status; };
  guint status = 0;
  EXPECT_EQ (taken (), 422u) << "req-40 was never accepted";
  EXPECT_TRUE (wait_for ([&] {
    status = call ("POST", c.front[1], "/work", job_after ("req-6", { "req-400", "req-410" }))->status;
    return status != 503;
  }));
  EXPECT_EQ (status, 201u);
  EXPECT_TRUE (finished (c.front[0], "req-6", "done")) << "what it needs was done under an old leader";
}

// A set of done tasks that one version has begun is finished by the other, in either direction:
// what was cleared from its worker is not started again.
TEST (Upgrade, ADoneSetBegunByOneVersionIsFinishedByTheOther)
{
  Services services;
  Controllers c (services, 3, site_with_next_limits (), kOld);
  for (size_t i = 0; i < 3; i++)
    ASSERT_TRUE (c.ready (i));
  Machine machine (c.front, "n-000001", 150, 20); // four tasks at a time, three seconds each
  guint expected = 0;
  for (const char *next : { kNew, kOld }) {
    std::string ref = next == kNew ? "req-51" : "req-52", row = "d/" + ref + "/0";
    ASSERT_TRUE (wait_for ([&] { return call ("POST", c.front[0], "/work", job (ref.c_str (), 12))->status == 201; }));
    ASSERT_TRUE (wait_for ([&] {
      json_t *all = services.store.dump ();
      bool begun = json_object_get (all, row.c_str ()) != nullptr;
      json_decref (all);
      return begun;
    })) << row;
    for (size_t i = 0; i < 3; i++)
      c.kill (i);
    for (size_t i = 0; i < 3; i++)
      replace (c, i, next);
    EXPECT_TRUE (finished (c.front[1], ref.c_str (), "done")) << ref;
    expected += 12;
    EXPECT_EQ (machine.starts, expected) << ref << ": each task once";
  }
}

// Rows that the old version wrote under larger limits are split when they change, and no machine
// is forgotten meanwhile; nothing is refused once the limits are lower.
TEST (Upgrade, LargeRowsOfTheOldVersionAreSplitUnderTheNewLimits)
{
  constexpr int kMachines = 60;
  Services services;
  Site site = site_with_next_limits ();
  site.cpus_max = 4000;
  Controllers c (services, 3, site, kOld);
  for (size_t i = 0; i < 3; i++)
    ASSERT_TRUE (c.ready (i));
  std::vector<std::unique_ptr<Machine> > machines;
  for (int i = 0; i < kMachines; i++) {
    g_autofree char *name = g_strdup_printf ("n-%06d", i);
    machines.push_back (std::make_unique<Machine> (c.front, name, 300, 2, 2));
  }
  size_t largest;
  ASSERT_TRUE (wait_for ([&] { return registry (services, &largest).size () == kMachines; }));
  ASSERT_GT (largest, 2048u) << "the old version wrote no large row";
  for (size_t i = 0; i < 3; i++)
    replace (c, i, kNew);
  ASSERT_LT (c.leader (), 3u);
  services.store.limit (site.next_value_kb, site.next_txn_ops, site.next_write_rps);
  registry (services, &largest);
  EXPECT_GT (largest, 2048u) << "a row that does not change stays as it is";

  // A machine of it goes.
  std::set<std::string> alive;
  machines.erase (machines.begin () + 7);
  for (const auto &machine : machines)
    alive.insert (machine->name);
  bool complete = true;
  EXPECT_TRUE (wait_for ([&] {
    auto names = registry (services, &largest);
    complete &= std::includes (names.begin (), names.end (), alive.begin (), alive.end ());
    return names == alive && largest <= 2048;
  })) << largest;
  EXPECT_TRUE (complete) << "a machine was named by no row for a moment";
  EXPECT_EQ (services.store.too_large, 0u);
  ASSERT_EQ (call ("POST", c.front[0], "/work", job ("req-1", 100))->status, 201u);
  EXPECT_TRUE (finished (c.front[1], "req-1", "done"));
  EXPECT_EQ (services.store.too_large, 0u);
}

// ---- jobs that wait for others ----

struct ThreeControllers {
  Services services;
  Controllers c{ services };
  ThreeControllers ()
  {
    for (size_t i = 0; i < 3; i++)
      EXPECT_TRUE (c.ready (i));
    EXPECT_LT (c.leader (), 3u);
  }
  // Once the catalog and the peers are known.
  guint
  submit (size_t i, json_t *body)
  {
    guint status = 0;
    wait_for ([&] {
      status = call ("POST", c.front[i], "/work", json_incref (body))->status;
      return status != 503;
    });
    json_decref (body);
    return status;
  }
  std::string
  standing (size_t i, const std::string &ref)
  {
    return call ("GET", c.front[i], "/work/" + ref)->text ("standing");
  }
};

TEST (Pipelines, StepsRunInTheirOrderAndStayKnownThroughTakeovers)
{
  ThreeControllers t;
  Machine machine (t.c.front);
  ASSERT_EQ (t.submit (0, job ("req-3", 1)), 201u); // runs until it is cancelled
  ASSERT_EQ (t.submit (1, job ("req-1", 2)), 201u);
  ASSERT_EQ (t.submit (2, job_after ("req-11", { "req-1" }, 2)), 201u);
  ASSERT_EQ (t.submit (0, job_after ("req-12", { "req-11", "req-1", "req-11" })), 201u);
  ASSERT_EQ (t.submit (1, job_after ("req-13", { "req-3" })), 201u);
  EXPECT_TRUE (finished (t.c.front[2], "req-12", "done"));
  EXPECT_LT (machine.started_at ("req-1/1"), machine.started_at ("req-11/0"));
  EXPECT_LT (machine.started_at ("req-11/1"), machine.started_at ("req-12/0"));
  EXPECT_EQ (t.submit (2, job_after ("req-14", { "req-12" })), 201u) << "what it needs is done long ago";
  EXPECT_TRUE (finished (t.c.front[0], "req-14", "done"));
  for (size_t i = 0; i < 3; i++) {
    replace (t.c, i, kNew);
    EXPECT_EQ (t.standing (i, "req-13"), "queued");
  }
  EXPECT_EQ (t.submit (2, job_after ("req-13", { "req-3" })), 200u) << "known already";
  EXPECT_EQ (machine.started_at ("req-13/0"), 0u) << "req-3 is not done";
}

TEST (Pipelines, ListsOfNeedsAreRefusedTheSameWayByEachController)
{
  ThreeControllers t;
  ASSERT_EQ (t.submit (0, job ("req-3", 1)), 201u);
  ASSERT_EQ (t.submit (1, job ("req-2", 1)), 201u);
  EXPECT_EQ (call ("POST", t.c.front[2], "/work/req-2/withdraw")->text ("standing"), "withdrawn");
  for (int again = 0; again < 2; again++)
    for (size_t i = 0; i < 3; i++) {
      EXPECT_EQ (t.submit (i, job_after ("req-1", { "req-3", "req-404" })), 422u);
      // On the bench one that needed a cancelled job as well was accepted, and cancelled.
      EXPECT_EQ (t.submit (i, job_after ("req-1", { "req-2", "req-404" })), 422u);
      EXPECT_EQ (t.submit (i, job_after ("req-1", { "req-404", "req-2" })), 422u);
      EXPECT_EQ (t.submit (i, job_after ("req-1", { "req-1" })), 400u) << "itself";
      EXPECT_EQ (t.submit (i, job_after ("req-1", { "no job" })), 400u);
      json_t *body = job ("req-1", 1);
      json_object_set_new (body, "awaits", json_string ("req-3"));
      EXPECT_EQ (t.submit (i, body), 400u) << "no list";
      std::vector<std::string> many;
      for (int k = 0; k < 3000; k++)
        many.push_back ("req-" + std::to_string (100000 + k));
      EXPECT_EQ (t.submit (i, job_after ("req-1", many)), 422u) << "more than a row holds";
      EXPECT_EQ (call ("GET", t.c.front[i], "/work/req-1")->status, 404u);
    }
  t.services.down = true;
  EXPECT_TRUE (wait_for ([&] {
    return call ("POST", t.c.front[0], "/work", job_after ("req-1", { "req-404" }))->status == 503;
  })) << "nothing is known without the store";
}

TEST (Pipelines, CancellationTakesWhatComesAfterWithIt)
{
  ThreeControllers t;
  Machine machine (t.c.front);
  ASSERT_EQ (t.submit (0, job ("req-3", 1)), 201u);
  ASSERT_EQ (t.submit (1, job_after ("req-11", { "req-3" })), 201u);
  ASSERT_EQ (t.submit (2, job_after ("req-12", { "req-11" })), 201u);
  ASSERT_TRUE (finished (t.c.front[0], "req-3", "running"));
  EXPECT_EQ (call ("POST", t.c.front[1], "/work/req-3/withdraw")->text ("standing"), "withdrawn");
  for (size_t i = 0; i < 3; i++)
    EXPECT_TRUE (finished (t.c.front[i], "req-12", "withdrawn"));
  auto late = call ("POST", t.c.front[0], "/work", job_after ("req-13", { "req-12" }));
  EXPECT_EQ (late->status, 201u) << "accepted all the same";
  EXPECT_EQ (late->text ("standing"), "withdrawn");
  EXPECT_EQ (t.standing (2, "req-13"), "withdrawn");
  EXPECT_EQ (call ("POST", t.c.front[1], "/work/req-13/withdraw")->text ("standing"), "withdrawn");
}

// Nobody leads, and nobody can: each controller finds the cancellation in the rows when it is asked.
TEST (Pipelines, ACancellationIsToldWithoutALeader)
{
  ThreeControllers t;
  ASSERT_EQ (t.submit (0, job ("req-3", 1)), 201u);
  ASSERT_EQ (t.submit (1, job_after ("req-11", { "req-3" })), 201u);
  ASSERT_EQ (t.submit (2, job_after ("req-12", { "req-11" })), 201u);
  size_t leader = t.c.leader (), other = (leader + 1) % 3, third = (leader + 2) % 3;
  t.services.refuse_claims = true;
  t.c.kill (leader);
  EXPECT_EQ (call ("POST", t.c.front[other], "/work/req-3/withdraw")->text ("standing"), "withdrawn");
  EXPECT_TRUE (finished (t.c.front[third], "req-12", "withdrawn"));
  EXPECT_EQ (t.standing (other, "req-12"), "withdrawn");
  // The leader that comes cleans up.
  t.services.refuse_claims = false;
  t.c.start (leader);
  EXPECT_TRUE (wait_for ([&] {
    json_t *all = t.services.store.dump ();
    bool gone = json_object_get (all, "o/req-12") == nullptr && json_object_get (all, "o/req-11") == nullptr;
    json_decref (all);
    return gone;
  }));
  EXPECT_EQ (t.standing (other, "req-11"), "withdrawn");
}

TEST (Pipelines, OperatorsSeeWhatAJobWaitsFor)
{
  ThreeControllers t;
  ASSERT_EQ (t.submit (0, job ("req-3", 1)), 201u);
  ASSERT_EQ (t.submit (1, job_after ("req-11", { "req-3" })), 201u);
  size_t leader = t.c.leader ();
  auto shown = [&] (const char *ref, const char *field) {
    auto jobs = call ("GET", t.c.mesh[leader], "/admin/jobs", nullptr, FT_BODY_JSON);
    size_t i;
    json_t *item;
    json_array_foreach (json_object_get (jobs->body, "jobs"), i,
                        item) if (g_strcmp0 (json_string_value (json_object_get (item, "job")), ref)
                                  == 0) return std::string (json_string_value (json_object_get (item, field)));
    return std::string ();
  };
  EXPECT_TRUE (wait_for ([&] { return shown ("req-11", "state") == "waiting"; }));
  EXPECT_EQ (shown ("req-11", "awaits"), "req-3");
  EXPECT_EQ (shown ("req-3", "awaited_by"), "req-11");
  EXPECT_EQ (shown ("req-11", "waits_for"), "jobs that it needs are not done");
  auto metrics = call ("GET", t.c.mesh[leader], "/admin/metrics", nullptr, FT_BODY_JSON);
  const json_t *counters = json_object_get (metrics->body, "counters");
  EXPECT_EQ (json_integer_value (json_object_get (counters, "open_jobs")), 2);
  EXPECT_EQ (json_integer_value (json_object_get (counters, "waiting_jobs")), 1);
}

} // namespace
