// Jobs that wait for others: the graph alone, and one scheduler with it.
#include "scheduler_harness.hpp"

#include <set>

extern "C" {
#include "core/dependency.h"
#include "wire/messages.h"
#include "wire/store.h"
}

namespace {

// ---- the graph alone ----

class Graph : public testing::Test {
protected:
  std::set<std::string> changed;
  FtDependencyGraph *graph
      = ft_dependency_graph_new ([] (const char *ref, gpointer data) { ((Graph *) data)->changed.insert (ref); }, this);
  ~Graph () override { ft_dependency_graph_free (graph); }
  void
  add (const std::string &ref, std::vector<std::string> dependencies = {}, FtUrgency own = { FT_PRIORITY_LOW, 0 },
       bool cancelled = false)
  {
    std::vector<const char *> list;
    for (const std::string &dependency : dependencies)
      list.push_back (dependency.c_str ());
    list.push_back (nullptr);
    ft_dependency_graph_add (graph, ref.c_str (), list.data (), cancelled, &own);
  }
  void
  done (const std::string &ref, gint64 at = 5)
  {
    ft_dependency_graph_settle (graph, ref.c_str (), FT_JOB_END_DONE, at);
  }
  void
  cancelled (const std::string &ref)
  {
    ft_dependency_graph_settle (graph, ref.c_str (), FT_JOB_END_CANCELLED, 5);
  }
  FtWait
  wait (const std::string &ref)
  {
    return ft_dependency_graph_wait (graph, ref.c_str ());
  }
  const FtUrgency &
  urgency (const std::string &ref)
  {
    return *ft_dependency_graph_urgency (graph, ref.c_str ());
  }
};

TEST_F (Graph, AJobWaitsUntilTheLastOfItsNeedsIsDone)
{
  add ("a");
  add ("b");
  add ("c", { "a", "b" });
  EXPECT_EQ (wait ("a"), FT_WAIT_NONE);
  EXPECT_EQ (wait ("c"), FT_WAIT_OTHERS);
  done ("a", 7);
  EXPECT_EQ (wait ("c"), FT_WAIT_OTHERS);
  changed.clear ();
  done ("b", 6);
  EXPECT_EQ (wait ("c"), FT_WAIT_NONE);
  EXPECT_EQ (changed.count ("c"), 1u);
  EXPECT_EQ (ft_dependency_graph_met_at (graph, "c"), 7) << "the last of them counts";
}

TEST_F (Graph, ADiamondWaitsForBothSidesAndIsCancelledOnce)
{
  add ("top");
  add ("left", { "top" });
  add ("right", { "top", "top" });
  add ("bottom", { "left", "right" });
  done ("top");
  EXPECT_EQ (wait ("left"), FT_WAIT_NONE);
  EXPECT_EQ (wait ("right"), FT_WAIT_NONE) << "named twice counts once";
  done ("left");
  EXPECT_EQ (wait ("bottom"), FT_WAIT_OTHERS);
  cancelled ("right");
  EXPECT_EQ (wait ("bottom"), FT_WAIT_CANCELLED);
}

// A chain as long as users like: nothing recurses on it.
TEST_F (Graph, ALongChainIsCancelledWhole)
{
  constexpr int kLength = 20000;
  add ("j0");
  for (int i = 1; i < kLength; i++)
    add ("j" + std::to_string (i), { "j" + std::to_string (i - 1) });
  cancelled ("j0");
  for (int i = 1; i < kLength; i++)
    ASSERT_EQ (wait ("j" + std::to_string (i)), FT_WAIT_CANCELLED) << i;
}

TEST_F (Graph, HundredsNeedOneAndOneNeedsHundreds)
{
  std::vector<std::string> all;
  add ("first");
  for (int i = 0; i < 400; i++) {
    all.push_back ("m" + std::to_string (i));
    add (all.back (), { "first" });
  }
  add ("last", all);
  done ("first");
  for (const std::string &ref : all) {
    EXPECT_EQ (wait (ref), FT_WAIT_NONE);
    EXPECT_EQ (wait ("last"), FT_WAIT_OTHERS);
    done (ref);
  }
  EXPECT_EQ (wait ("last"), FT_WAIT_NONE);
}

// What comes after a cancelled one is cancelled too, also if it is added later.
TEST_F (Graph, WhatIsAddedLaterIsCancelledWithWhatItNeeds)
{
  add ("a");
  add ("b", { "a" });
  cancelled ("a");
  add ("c", { "b" });
  EXPECT_EQ (wait ("c"), FT_WAIT_CANCELLED);
  add ("d", {}, { FT_PRIORITY_LOW, 0 }, true);
  EXPECT_EQ (wait ("d"), FT_WAIT_CANCELLED);
}

// Absence proves nothing: a need that nobody knows is to be read, at once, then now and then.
TEST_F (Graph, AnUnknownNeedIsToBeRead)
{
  add ("c", { "a", "b" });
  std::set<std::string> named;
  while (const char *ref = ft_dependency_graph_next_unread (graph, 100, 50))
    ASSERT_TRUE (named.insert (ref).second);
  EXPECT_EQ (named, (std::set<std::string>{ "a", "b" }));
  EXPECT_EQ (ft_dependency_graph_next_unread (graph, 149, 50), nullptr);
  add ("a"); // it has come by the watch
  done ("b");
  EXPECT_EQ (ft_dependency_graph_next_unread (graph, 200, 50), nullptr);
  EXPECT_EQ (wait ("c"), FT_WAIT_OTHERS);
  add ("e", { "f" });
  EXPECT_STREQ (ft_dependency_graph_next_unread (graph, 200, 50), "f") << "a new one does not wait for others' turns";
}

TEST_F (Graph, AJobIsAsUrgentAsWhatNeedsIt)
{
  add ("a");
  add ("b", { "a" });
  add ("c", { "b" }, { FT_PRIORITY_HIGH, 100 * kS });
  EXPECT_EQ (urgency ("a").priority, FT_PRIORITY_HIGH);
  EXPECT_EQ (urgency ("b").deadline_at, 100 * kS);
  EXPECT_EQ (urgency ("a").deadline_at, 100 * kS) << "through b";
  add ("d", { "a" }, { FT_PRIORITY_PRODUCTION, 50 * kS });
  EXPECT_EQ (urgency ("a").priority, FT_PRIORITY_PRODUCTION);
  EXPECT_EQ (urgency ("a").deadline_at, 50 * kS);
  EXPECT_EQ (urgency ("b").priority, FT_PRIORITY_HIGH);
  cancelled ("d"); // nobody needs it for that any more
  EXPECT_EQ (urgency ("a").priority, FT_PRIORITY_HIGH);
  EXPECT_EQ (urgency ("a").deadline_at, 100 * kS);
}

// ---- a scheduler with it ----

FtJobSpec *
new_dependent_spec (const char *ref, std::vector<const char *> dependencies, guint tasks = 1)
{
  FtJobSpec *spec = new_job_spec (ref, tasks);
  dependencies.push_back (nullptr);
  spec->dependencies = g_strdupv ((char **) dependencies.data ());
  spec->dispatch_watermark = 0;
  spec->estimate_s = 10;
  return spec;
}

struct Pipeline : OneMachine {
  FtJob *
  add (FtJobSpec *job_spec, gint64 now, guint64 revision)
  {
    std::string ref = job_spec->ref;
    ft_scheduler_job_added (scheduler, job_spec, revision, now, now / 1000);
    return job (ref.c_str ());
  }
  // The writes due now, committed or not by the caller.
  GPtrArray *
  writes (gint64 now)
  {
    return ft_scheduler_next_writes (scheduler, 11, TRUE, now);
  }
  bool
  has (GPtrArray *list, FtWriteKind kind, const std::string &ref)
  {
    for (guint i = 0; i < list->len; i++) {
      auto write = (const FtWrite *) g_ptr_array_index (list, i);
      if (write->kind == kind && ref == write->name)
        return true;
    }
    return false;
  }
  // Starts and ends the job's only task; its end is reported, not committed.
  void
  run_to_its_end (const char *ref, gint64 at, guint64 sequence)
  {
    g_autoptr (GArray) first = exchange (at, sequence);
    commit_writes (at); // the dispatch watermark
    g_autoptr (GArray) starts = exchange (at + kS, sequence + 1);
    ASSERT_NE (job (ref)->tasks[0].attempt, nullptr);
    guint64 attempt = job (ref)->tasks[0].attempt->id;
    g_autoptr (GArray) none
        = exchange (at + 2 * kS, sequence + 2, { task_status (ref, 0, attempt, FT_TASK_PHASE_EXITED, FT_EXIT_DONE) });
  }
};

// A heartbeat that the last task is done is not enough, nor a write on its way: only the commit is.
TEST (Waiting, NothingStartsBeforeTheEndOfItsNeedIsCommitted)
{
  Pipeline pipeline;
  pipeline.add (new_job_spec ("req-1", 1), 101 * kS, 5);
  FtJob *second = pipeline.add (new_dependent_spec ("req-2", { "req-1" }), 101 * kS, 6);
  pipeline.run_to_its_end ("req-1", 102 * kS, 2);
  EXPECT_EQ (second->state, FT_JOB_WAITING);
  g_autoptr (GPtrArray) writes = pipeline.writes (105 * kS);
  ASSERT_TRUE (pipeline.has (writes, FT_WRITE_JOB_DONE, "req-1"));
  ft_scheduler_place (pipeline.scheduler, 105 * kS, TRUE);
  EXPECT_EQ (second->tasks[0].attempt, nullptr);
  ft_scheduler_writes_failed (pipeline.scheduler, writes, nullptr, 105 * kS);
  EXPECT_EQ (second->state, FT_JOB_WAITING) << "refused: nothing is known to be done";
  pipeline.commit_writes (106 * kS);
  EXPECT_EQ (second->state, FT_JOB_OPEN);
  EXPECT_EQ (second->ready_at, 106 * kS);
  g_autoptr (GArray) answer = pipeline.exchange (107 * kS, 6);
  EXPECT_NE (second->tasks[0].attempt, nullptr);
}

TEST (Waiting, CountsNowhereUntilItCanBegin)
{
  Pipeline pipeline;
  pipeline.add (new_job_spec ("req-1", 1), 101 * kS, 5);
  FtJob *waiting = pipeline.add (new_dependent_spec ("req-2", { "req-1" }, 4), 101 * kS, 6);
  for (gint64 at = 102; at < 400; at++) {
    ft_scheduler_tick (pipeline.scheduler, at * kS, TRUE);
    ASSERT_FALSE (waiting->starved) << "it does not wait to begin";
  }
  EXPECT_FALSE (pipeline.in_placement_order (waiting)) << "neither guarantee nor rentals see it";
  EXPECT_FALSE (waiting->guaranteed);
  EXPECT_EQ (waiting->team->unknown_cpus, 0);
}

// Cancelled with what it needs: on its own revision, once the cancellation is read and not only advised.
TEST (Waiting, IsCancelledWithWhatItNeeds)
{
  Pipeline pipeline;
  pipeline.add (new_job_spec ("req-1", 1), 101 * kS, 5);
  pipeline.add (new_dependent_spec ("req-2", { "req-1" }), 101 * kS, 6);
  pipeline.add (new_dependent_spec ("req-3", { "req-2" }), 101 * kS, 7);
  ft_scheduler_cancellation_advised (pipeline.scheduler, "req-1", 102 * kS);
  g_autoptr (GPtrArray) none = pipeline.writes (102 * kS);
  EXPECT_FALSE (pipeline.has (none, FT_WRITE_JOB_CANCELLED, "req-2")) << "an advisory proves nothing";
  ft_scheduler_job_cancelled (pipeline.scheduler, "req-1", 0, 103 * kS);
  g_autoptr (GPtrArray) writes = pipeline.writes (103 * kS);
  EXPECT_TRUE (pipeline.has (writes, FT_WRITE_JOB_CANCELLED, "req-2"));
  EXPECT_TRUE (pipeline.has (writes, FT_WRITE_JOB_CANCELLED, "req-3"));
  ft_scheduler_writes_committed (pipeline.scheduler, writes, 103 * kS);
  EXPECT_EQ (pipeline.job ("req-2"), nullptr);
  FtJob *later = pipeline.add (new_dependent_spec ("req-4", { "req-3" }), 104 * kS, 9);
  ASSERT_NE (later, nullptr);
  EXPECT_TRUE (later->dependency_cancelled) << "submitted after the cancellation";
}

// Cancelled by its own user in the same instant: one of the two commits wins.
TEST (Waiting, ItsOwnUserMayCancelItFirst)
{
  Pipeline pipeline;
  pipeline.add (new_job_spec ("req-1", 1), 101 * kS, 5);
  pipeline.add (new_dependent_spec ("req-2", { "req-1" }), 101 * kS, 6);
  ft_scheduler_job_cancelled (pipeline.scheduler, "req-1", 0, 103 * kS);
  g_autoptr (GPtrArray) writes = pipeline.writes (103 * kS);
  ASSERT_TRUE (pipeline.has (writes, FT_WRITE_JOB_CANCELLED, "req-2"));
  json_t *body = json_pack ("{s:[s]}", "failed", "j/req-2");
  EXPECT_STREQ (ft_store_conflicted_job (body, writes), "req-2");
  json_decref (body);
  ft_scheduler_writes_failed (pipeline.scheduler, writes, "req-2", 103 * kS);
  ft_scheduler_job_conflict_resolved (pipeline.scheduler, "req-2", FALSE, 104 * kS);
  ft_scheduler_job_cancelled (pipeline.scheduler, "req-2", 0, 104 * kS);
  g_autoptr (GPtrArray) next = pipeline.writes (104 * kS);
  EXPECT_TRUE (pipeline.has (next, FT_WRITE_JOB_STOPPED, "req-2"));
  EXPECT_FALSE (pipeline.has (next, FT_WRITE_JOB_CANCELLED, "req-2"));
}

// A new leader does not take a job for done because it is not among the open ones.
TEST (Waiting, ANewLeaderReadsWhatItDoesNotKnow)
{
  SchedulerHarness harness;
  ft_scheduler_load_job (harness.scheduler, new_dependent_spec ("req-2", { "req-1", "req-3" }), 6, 100 * kS, 100000);
  ft_scheduler_load_job (harness.scheduler, new_job_spec ("req-3", 1), 5, 100 * kS, 100000);
  EXPECT_EQ (ft_scheduler_next_unread_job (harness.scheduler, 100 * kS), nullptr) << "its pages are not read yet";
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  EXPECT_STREQ (ft_scheduler_next_unread_job (harness.scheduler, 100 * kS), "req-1");
  EXPECT_EQ (ft_scheduler_next_unread_job (harness.scheduler, 100 * kS), nullptr)
      << "once, and not the one that is open";
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_WAITING);
  ft_scheduler_job_end_read (harness.scheduler, "req-1", FT_JOB_END_DONE, 30 * kS, 101 * kS);
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_WAITING);
  ft_scheduler_job_end_read (harness.scheduler, "req-3", FT_JOB_END_DONE, 0, 101 * kS);
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_WAITING) << "an open job's end comes by its own write";
  ft_scheduler_job_cancelled (harness.scheduler, "req-3", 0, 102 * kS);
  EXPECT_TRUE (harness.job ("req-2")->dependency_cancelled);
}

TEST (Waiting, TimesCountFromTheEndOfTheLastNeedAfterATakeoverToo)
{
  SchedulerHarness harness;
  FtJobSpec *job = new_dependent_spec ("req-2", { "req-1" });
  job->submitted_wall_ms = 10000;
  job->deadline_s = 200;
  ft_scheduler_load_job (harness.scheduler, job, 6, 100 * kS, 100000);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  ft_scheduler_job_end_read (harness.scheduler, "req-1", FT_JOB_END_DONE, 30 * kS, 101 * kS);
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_OPEN);
  EXPECT_EQ (harness.job ("req-2")->ready_at, 71 * kS);
  EXPECT_EQ (harness.job ("req-2")->deadline_at, 210 * kS) << "from the submission";
}

// A raised dispatch watermark is committed evidence that all needs were done: nothing is read again.
TEST (Waiting, AJobThatHasStartedNeedsNothingToBeRead)
{
  SchedulerHarness harness;
  FtJobSpec *job = new_dependent_spec ("req-2", { "req-1" }, 4);
  job->dispatch_watermark = 2;
  ft_scheduler_load_job (harness.scheduler, job, 6, 100 * kS, 100000);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  EXPECT_EQ (harness.job ("req-2")->state, FT_JOB_OPEN);
  EXPECT_EQ (ft_scheduler_next_unread_job (harness.scheduler, 100 * kS), nullptr);
}

TEST (Waiting, AJobRanksWithWhatNeedsIt)
{
  Pipeline pipeline;
  FtJobSpec *low = new_job_spec ("req-1", 1);
  low->priority = FT_PRIORITY_LOW;
  FtJob *first = pipeline.add (low, 101 * kS, 5);
  FtJobSpec *high = new_dependent_spec ("req-2", { "req-1" });
  high->priority = FT_PRIORITY_HIGH;
  high->deadline_s = 60;
  high->submitted_wall_ms = 101000;
  pipeline.add (high, 101 * kS, 6);
  EXPECT_EQ (first->priority, FT_PRIORITY_HIGH);
  EXPECT_GT (first->deadline_at, 0);
  EXPECT_EQ (first->deadline_at, pipeline.job ("req-2")->deadline_at);
}

// ---- rows and messages ----

TEST (Waiting, ItsDependenciesSurviveItsRowAndAreFewBytesEach)
{
  g_autoptr (FtJobSpec) job = new_dependent_spec ("req-1", { "req-000398", "req-000405" });
  json_t *row = ft_row_open (job);
  g_autoptr (FtJobSpec) back = ft_row_open_parse ("req-1", row);
  ASSERT_NE (back, nullptr);
  EXPECT_TRUE (g_strv_equal ((const char *const *) back->dependencies, (const char *const *) job->dependencies));
  json_object_set_new (row, "awaits", json_string ("no/ref"));
  EXPECT_EQ (ft_row_open_parse ("req-1", row), nullptr) << "never started because its needs cannot be read";
  json_decref (row);
  std::vector<std::string> names;
  std::vector<const char *> many;
  for (int i = 0; i < 150; i++)
    names.push_back ("req-" + std::to_string (100000 + i));
  for (const std::string &name : names)
    many.push_back (name.c_str ());
  g_autoptr (FtJobSpec) wide = new_dependent_spec ("req-1", many);
  EXPECT_LE (ft_row_open_size (wide), 2048u);
}

TEST (Waiting, AJobsOwnRowHasItsEndAndWhetherItHasDependencies)
{
  g_autoptr (FtJobSpec) job = new_dependent_spec ("req-1", { "req-2" }, 3);
  FtJobRow state;
  json_t *open = ft_row_job_open (job), *done = ft_row_job_ended (FT_JOB_END_DONE, 3, 77);
  ASSERT_TRUE (ft_row_job_parse (open, &state));
  EXPECT_TRUE (state.open && state.has_dependencies && state.tasks == 3);
  ASSERT_TRUE (ft_row_job_parse (done, &state));
  EXPECT_TRUE (!state.open && state.end == FT_JOB_END_DONE && state.ended_wall_ms == 77);
  json_object_set_new (done, "state", json_string ("gone"));
  EXPECT_FALSE (ft_row_job_parse (done, &state));
  json_decref (open);
  json_decref (done);
}

TEST (Waiting, AListOfDependenciesIsCheckedWhole)
{
  auto job = [] (const char *dependencies) {
    std::string text = R"({"ref":"req-1","lane":"c","crew":"red","shape":"array","urgency":"high","pieces":1,"cores":1.0,
      "cards":0.0,"mem_gb":1.0,"bundle":"i","pull_gb":1.0,"one_zone":false,"apart":false,"loaners":true,"guess_s":1.0,
      "bookmark_s":0.0,"shelve_s":0.0,"awaits":)" + std::string (dependencies)
                       + "}";
    json_t *body = json_loads (text.c_str (), 0, nullptr);
    FtJobSpec *spec = ft_message_job (body);
    json_decref (body);
    return spec;
  };
  for (const char *bad : { "7", "\"req-2\"", "{}", "[7]", "[\"job-2\"]", "[\"req-2/1\"]", "[\"req-1\"]", "[null]",
                           "[\"req-2\",\"\"]", "[\"req-a b\"]" }) {
    g_autoptr (FtJobSpec) none = job (bad);
    EXPECT_EQ (none, nullptr) << bad;
  }
  for (const char *nothing : { "null", "[]" }) {
    g_autoptr (FtJobSpec) spec = job (nothing);
    ASSERT_NE (spec, nullptr) << nothing;
    EXPECT_EQ (spec->dependencies, nullptr);
  }
  g_autoptr (FtJobSpec) twice = job ("[\"req-2\",\"req-3\",\"req-2\"]");
  ASSERT_NE (twice, nullptr);
  EXPECT_EQ (g_strv_length (twice->dependencies), 2u);
}

} // namespace
