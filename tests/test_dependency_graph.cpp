// Tests of the graph of DAG dependencies between jobs, without a scheduler.
#include <set>

#include "scheduler_harness.hpp"

extern "C" {
#include "core/dependency.h"
}

namespace {

class DependencyGraph : public testing::Test {
protected:
  std::set<std::string> changed; // jobs whose wait or urgency (priority and deadline) was reported as changed
  FtDependencyGraph *graph = ft_dependency_graph_new (
      [] (const char *ref, gpointer data) { ((DependencyGraph *) data)->changed.insert (ref); }, this);
  ~DependencyGraph () override { ft_dependency_graph_free (graph); }
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
    ft_dependency_graph_job_ended (graph, ref.c_str (), FT_JOB_END_DONE, at);
  }
  void
  cancelled (const std::string &ref)
  {
    ft_dependency_graph_job_ended (graph, ref.c_str (), FT_JOB_END_CANCELLED, 5);
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

TEST_F (DependencyGraph, JobWaitsUntilItsLastDependencyIsDone)
{
  add ("a");
  add ("b");
  add ("c", { "a", "b" });
  EXPECT_EQ (wait ("a"), FT_WAIT_NONE);
  EXPECT_EQ (wait ("c"), FT_WAIT_PENDING);
  done ("a", 7);
  EXPECT_EQ (wait ("c"), FT_WAIT_PENDING);
  changed.clear ();
  done ("b", 6);
  EXPECT_EQ (wait ("c"), FT_WAIT_NONE);
  EXPECT_EQ (changed.count ("c"), 1u);
  EXPECT_EQ (ft_dependency_graph_met_at (graph, "c"), 7) << "the later of the two ends counts";
}

TEST_F (DependencyGraph, JobWaitsForTwoDependenciesAndIsCancelledWithEither)
{
  add ("top");
  add ("left", { "top" });
  add ("right", { "top", "top" });
  add ("bottom", { "left", "right" });
  done ("top");
  EXPECT_EQ (wait ("left"), FT_WAIT_NONE);
  EXPECT_EQ (wait ("right"), FT_WAIT_NONE) << "a dependency that is named twice counts once";
  done ("left");
  EXPECT_EQ (wait ("bottom"), FT_WAIT_PENDING);
  cancelled ("right");
  EXPECT_EQ (wait ("bottom"), FT_WAIT_CANCELLED);
}

// Guards against recursion along a chain of dependencies, whose length users choose.
TEST_F (DependencyGraph, CancellationReachesEveryJobOfALongChain)
{
  constexpr int kLength = 20000;
  add ("j0");
  for (int i = 1; i < kLength; i++)
    add ("j" + std::to_string (i), { "j" + std::to_string (i - 1) });
  cancelled ("j0");
  for (int i = 1; i < kLength; i++)
    ASSERT_EQ (wait ("j" + std::to_string (i)), FT_WAIT_CANCELLED) << i;
}

TEST_F (DependencyGraph, JobsWaitForTheirDependenciesInAFanOutAndFanInOfHundredsOfJobs)
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
    EXPECT_EQ (wait ("last"), FT_WAIT_PENDING);
    done (ref);
  }
  EXPECT_EQ (wait ("last"), FT_WAIT_NONE);
}

// A job that is added after the cancellation of its ancestor is cancelled too, as is one that is added with a
// dependency that is known to be cancelled.
TEST_F (DependencyGraph, JobAddedAfterTheCancellationOfAnAncestorIsCancelled)
{
  add ("a");
  add ("b", { "a" });
  cancelled ("a");
  add ("c", { "b" });
  EXPECT_EQ (wait ("c"), FT_WAIT_CANCELLED);
  add ("d", {}, { FT_PRIORITY_LOW, 0 }, true);
  EXPECT_EQ (wait ("d"), FT_WAIT_CANCELLED);
}

// A dependency that is not in the graph may be open or ended, so its row is read at once, and again after the retry
// interval if the dependency is still unknown.
TEST_F (DependencyGraph, RowOfAnUnknownDependencyIsReadAtOnceAndOnlyOnceInTheRetryInterval)
{
  add ("c", { "a", "b" });
  std::set<std::string> named;
  while (const char *ref = ft_dependency_graph_next_unread (graph, 100, 50))
    ASSERT_TRUE (named.insert (ref).second);
  EXPECT_EQ (named, (std::set<std::string>{ "a", "b" }));
  EXPECT_EQ (ft_dependency_graph_next_unread (graph, 149, 50), nullptr);
  add ("a"); // the watch has reported that the job is open
  done ("b");
  EXPECT_EQ (ft_dependency_graph_next_unread (graph, 200, 50), nullptr);
  EXPECT_EQ (wait ("c"), FT_WAIT_PENDING);
  add ("e", { "f" });
  EXPECT_STREQ (ft_dependency_graph_next_unread (graph, 200, 50), "f")
      << "a new unknown dependency is returned at once";
}

TEST_F (DependencyGraph, JobInheritsTheHighestPriorityAndEarliestDeadlineOfItsDependents)
{
  add ("a");
  add ("b", { "a" });
  add ("c", { "b" }, { FT_PRIORITY_HIGH, 100 * kS });
  EXPECT_EQ (urgency ("a").priority, FT_PRIORITY_HIGH);
  EXPECT_EQ (urgency ("b").deadline_at, 100 * kS);
  EXPECT_EQ (urgency ("a").deadline_at, 100 * kS) << "the deadline is inherited through b";
  add ("d", { "a" }, { FT_PRIORITY_PRODUCTION, 50 * kS });
  EXPECT_EQ (urgency ("a").priority, FT_PRIORITY_PRODUCTION);
  EXPECT_EQ (urgency ("a").deadline_at, 50 * kS);
  EXPECT_EQ (urgency ("b").priority, FT_PRIORITY_HIGH);
  cancelled ("d"); // "d" is cancelled, so its urgency is no longer inherited by "a"
  EXPECT_EQ (urgency ("a").priority, FT_PRIORITY_HIGH);
  EXPECT_EQ (urgency ("a").deadline_at, 100 * kS);
}

} // namespace
