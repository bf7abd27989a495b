// An operation with a completion callback in a test: how often, when and with which result the callback is called.
// The contract of net/http.h: once, and never before the function that starts the operation has returned.
#pragma once
#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <functional>
#include <string>

#include "loopback/http.hpp"

template <typename Result> struct CompletionCall {
  std::string name;              // of the operation, or of the case
  bool returned = false;         // whether the function that starts the operation has returned
  guint calls = 0;               // of the callback
  guint calls_before_return = 0; // of the callback, before that function had returned
  Result result{};
  guintptr stack = 0;             // address of the callback's stack frame
  std::function<void ()> on_call; // called by the callback, if it is set
  void
  complete (Result result_)
  {
    calls++;
    calls_before_return += !returned;
    result = result_;
    stack = (guintptr) __builtin_frame_address (0);
    if (on_call)
      on_call ();
  }
};

// References to its elements stay valid when calls are added.
template <typename Result> using CompletionCalls = std::deque<CompletionCall<Result> >;

template <typename Result>
CompletionCall<Result> &
add_call (CompletionCalls<Result> &calls, const char *name)
{
  CompletionCall<Result> &call = calls.emplace_back ();
  call.name = name;
  return call;
}

// Waits until the callbacks of all calls from `first` on were called, and checks that each was called once, with that
// result, after the function that starts the operation had returned.
template <typename Result>
void
expect_done (const CompletionCalls<Result> &calls, Result result, size_t first = 0)
{
  EXPECT_TRUE (loopback::wait_for ([&] {
    return std::all_of (calls.begin () + (long) first, calls.end (), [] (const auto &call) { return call.calls > 0; });
  }));
  loopback::run_main_loop_for (loopback::kSecondCallS);
  for (size_t i = first; i < calls.size (); i++) {
    EXPECT_EQ (calls[i].calls, 1u) << calls[i].name;
    EXPECT_EQ (calls[i].calls_before_return, 0u) << calls[i].name;
    EXPECT_EQ (calls[i].result, result) << calls[i].name;
  }
}

template <typename Result>
void
expect_never_called (const CompletionCalls<Result> &calls)
{
  loopback::run_main_loop_for (loopback::kSecondCallS);
  for (const auto &call : calls)
    EXPECT_EQ (call.calls, 0u) << call.name;
}
