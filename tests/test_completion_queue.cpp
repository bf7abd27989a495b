// Completions that the main loop carries out later: never before they are added, in order, a bounded number in one
// turn.
#include <gtest/gtest.h>

#include <functional>
#include <vector>

extern "C" {
#include "core/constants.h"
#include "net/completion_queue.h"
}

namespace {

struct CompletionQueue : testing::Test {
  struct Completion {
    CompletionQueue *test;
    int number;
  };
  FtCompletionQueue *queue = ft_completion_queue_new (complete, drop);
  std::vector<int> carried_out;
  size_t carried_out_before_other_source = 0;
  int dropped = 0;
  std::function<void ()> on_complete; // called for each completion, if it is set

  ~CompletionQueue () override { ft_completion_queue_free (queue); }
  static void
  complete (gpointer data)
  {
    auto completion = (Completion *) data;
    CompletionQueue *test = completion->test;
    test->carried_out.push_back (completion->number);
    delete completion;
    if (test->on_complete)
      test->on_complete ();
  }
  static void
  drop (gpointer data)
  {
    auto completion = (Completion *) data;
    completion->test->dropped++;
    delete completion;
  }
  void
  add (int number)
  {
    ft_completion_queue_add (queue, new Completion{ this, number });
  }
  static void
  run_one_turn ()
  {
    g_main_context_iteration (nullptr, FALSE);
  }
};

TEST_F (CompletionQueue, CompletionsAreCarriedOutInOrderAfterTheyWereAdded)
{
  for (int i = 0; i < 3; i++)
    add (i);
  EXPECT_TRUE (carried_out.empty ());
  run_one_turn ();
  EXPECT_EQ (carried_out, (std::vector<int>{ 0, 1, 2 }));
}

// Guards against a renewal of the lease that waits behind thousands of refused reads.
TEST_F (CompletionQueue, OtherSourcesRunAfterABoundedNumberOfCompletions)
{
  for (int i = 0; i < 10 * FT_COMPLETIONS_AT_ONCE; i++)
    add (i);
  auto on_other_source = [] (gpointer data) -> gboolean {
    auto test = (CompletionQueue *) data;
    test->carried_out_before_other_source = test->carried_out.size ();
    return G_SOURCE_REMOVE;
  };
  g_idle_add_full (G_PRIORITY_DEFAULT, on_other_source, this, nullptr);
  run_one_turn ();
  EXPECT_EQ (carried_out.size (), (size_t) FT_COMPLETIONS_AT_ONCE);
  EXPECT_EQ (carried_out_before_other_source, (size_t) FT_COMPLETIONS_AT_ONCE);
}

// Guards against a caller that repeats each failed operation at once and so keeps the main loop from its other work.
TEST_F (CompletionQueue, CompletionAddedByACompletionWaitsForTheNextTurn)
{
  on_complete = [&] { add ((int) carried_out.size ()); };
  add (0);
  run_one_turn ();
  EXPECT_EQ (carried_out.size (), 1u);
  run_one_turn ();
  EXPECT_EQ (carried_out.size (), 2u);
}

TEST_F (CompletionQueue, CompletionsAreDroppedWithTheQueue)
{
  add (0);
  add (1);
  ft_completion_queue_free (queue);
  queue = nullptr;
  run_one_turn ();
  EXPECT_EQ (dropped, 2);
  EXPECT_TRUE (carried_out.empty ());
}

} // namespace
