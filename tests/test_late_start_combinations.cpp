// A start command that is held up on its way, until after its job's time for cancelling is over.
#include <tuple>

#include "one_idle_machine.hpp"

using namespace sim;

namespace {

// When the start arrives.
enum class Age { kSeconds, kAfterQuarantine, kAfterDeadline, kMinutes };

// What reaches the machine while the start is on its way.
enum class Reach { kAll, kHeartbeats, kNothingForAWhile };

// Whether the leader can go on to a higher token for the machine.
enum class Token { kRenewed, kExhausted };

// Whether the cloud takes machines back.
enum class Cloud { kAnswers, kOut };

using Combination = std::tuple<Age, Reach, Token, Cloud>;

std::string
combination_name (const testing::TestParamInfo<Combination> &info)
{
  static const char *const ages[] = { "SecondsLate", "AfterQuarantine", "AfterDeadline", "MinutesLate" };
  static const char *const reaches[] = { "Reachable", "HeartbeatsAlone", "UnreachableForAWhile" };
  static const char *const tokens[] = { "TokenRenewed", "TokenExhausted" };
  static const char *const clouds[] = { "CloudAnswers", "CloudOut" };
  return std::string (ages[(int) std::get<Age> (info.param)]) + reaches[(int) std::get<Reach> (info.param)]
         + tokens[(int) std::get<Token> (info.param)] + clouds[(int) std::get<Cloud> (info.param)];
}

class LateStart : public OneIdleMachine, public testing::TestWithParam<Combination> {
protected:
  // Shorter than a lease, so that the worker's incarnation lasts.
  static constexpr Time kUnreachable = 12 * kSecond;

  void
  SetUp () override
  {
    world.longest_fetch_s = 0.11; // so that no stop comes before the task begins to run
    world.direct_delay = [this] (const DirectMessage &direct) { return on_direct_message (direct); };
    fill_other_machines ();
  }

  static Time
  age ()
  {
    static const Time ages[] = { 4 * kSecond, 12 * kSecond, (Time) (kCancelS * kSecond) + 6 * kSecond, 200 * kSecond };
    return ages[(int) std::get<Age> (GetParam ())];
  }

  // Holds the first start of the job, and lets its user cancel the job at once.
  Time
  on_direct_message (const DirectMessage &direct)
  {
    if (sent_at > 0 || !starts_job (direct))
      return 0;
    sent_at = world.now;
    world.cancel (kJob);
    return age ();
  }

  void
  limit_reach ()
  {
    if (std::get<Reach> (GetParam ()) == Reach::kNothingForAWhile)
      make_unreachable (world.now + kUnreachable);
    else if (std::get<Reach> (GetParam ()) == Reach::kHeartbeats)
      machine->lose_commands (world.now + MAX (age () - kSecond, 0));
  }

  Time sent_at = 0; // when the start was sent
};

// Guards against ran_cancelled: a start that got no answer was carried out after its job's time for cancelling was
// over, on a machine whose heartbeats the leader went on answering.
TEST_P (LateStart, IsNotCarriedOutAfterTheTimeForCancelling)
{
  await_answered_heartbeat ();
  if (std::get<Token> (GetParam ()) == Token::kExhausted)
    record ()->worker_token.current = record ()->context->token;
  await_answered_heartbeat ();
  submit_job ();
  for (Time limit = world.now + 8 * kSecond; sent_at == 0 && world.now < limit;)
    world.run_until (world.now + kSecond / 50);
  ASSERT_GT (sent_at, 0) << "the task was not started directly on the idle machine";
  limit_reach ();
  await_confirmation ();
  world.cloud.down = std::get<Cloud> (GetParam ()) == Cloud::kOut;
  world.run_until (MAX (sent_at + age (), *confirmed_at () + (Time) (kCancelS * kSecond)) + 20 * kSecond);
  EXPECT_EQ (world.checker->live (kJob), 0u);
  expect_room_used_again ();
}

INSTANTIATE_TEST_SUITE_P (All, LateStart,
                          testing::Combine (testing::Values (Age::kSeconds, Age::kAfterQuarantine, Age::kAfterDeadline,
                                                             Age::kMinutes),
                                            testing::Values (Reach::kAll, Reach::kHeartbeats, Reach::kNothingForAWhile),
                                            testing::Values (Token::kRenewed, Token::kExhausted),
                                            testing::Values (Cloud::kAnswers, Cloud::kOut)),
                          combination_name);

} // namespace
