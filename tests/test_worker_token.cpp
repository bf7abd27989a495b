// Worker tokens: a worker may forget a directly started attempt only once it has seen a higher token, however late that
// is, and heartbeats stay small until then.
#include "scheduler_harness.hpp"

#include <list>
#include <map>

namespace {

// A machine whose worker runs the tasks of one job after the other. All are started directly unless the leader sends
// the start in the answer to a heartbeat.
struct DirectStarts : SchedulerHarness {
  gint64 now = 100 * kS;
  guint64 sequence = 0, seen_token;           // of the worker
  guint64 revision = 10;                      // of the last job
  std::list<std::string> names;               // job names that statuses borrow
  std::map<std::string, FtTaskStatus> listed; // the tasks that the worker remembers
  bool answers_arrive = true;
  guint started_directly = 0, started_by_answer = 0;
  guint forgets_sent = 0; // in all answers, also those that do not arrive

  explicit DirectStarts (FtWorkerTokenRange tokens = { 3, 1000 }) : SchedulerHarness (tokens), seen_token (tokens.first)
  {
    ft_scheduler_loaded (scheduler, now);
    heartbeat ();
    commit_writes (now);
  }
  // Executes commands as a worker does.
  void
  execute (const GArray *commands, guint &starts)
  {
    for (guint i = 0; i < commands->len; i++) {
      const FtCommand &command = g_array_index (commands, FtCommand, i);
      std::string name = std::string (command.job) + "/" + std::to_string (command.index);
      if (command.op == FT_COMMAND_FORGET)
        listed.erase (name);
      if (command.op != FT_COMMAND_START || !listed.emplace (name, FtTaskStatus{}).second)
        continue;
      names.push_back (command.job);
      listed[name] = task_status (names.back ().c_str (), command.index, command.attempt, FT_TASK_PHASE_RUNNING);
      starts++;
    }
  }
  FtWorkerHeartbeat *
  status ()
  {
    FtWorkerHeartbeat *heartbeat = new_heartbeat (1, ++sequence, seen_token);
    std::vector<FtTaskStatus> tasks;
    for (const auto &[name, task] : listed)
      tasks.push_back (task);
    add_tasks (heartbeat, tasks);
    return heartbeat;
  }
  // Sends a heartbeat. The worker gets the answer if `answers_arrive`.
  void
  heartbeat ()
  {
    g_autoptr (FtWorkerHeartbeat) heartbeat = status ();
    ASSERT_TRUE (ft_scheduler_heartbeat (scheduler, heartbeat, now));
    ft_scheduler_set_may_start (scheduler, TRUE);
    guint64 token;
    g_autoptr (GArray) commands = ft_scheduler_answer (scheduler, heartbeat, now, &token);
    forgets_sent += count_commands (commands, FT_COMMAND_FORGET);
    if (!answers_arrive)
      return;
    ASSERT_GE (token, seen_token);
    seen_token = token;
    execute (commands, started_by_answer);
  }
  // Sends all direct requests, which the worker executes and answers.
  void
  direct_requests ()
  {
    while (FtDirectRequest *direct = ft_scheduler_next_direct_request (scheduler, now)) {
      ASSERT_GE (direct->token, seen_token);
      seen_token = direct->token;
      execute (direct->commands, started_directly);
      g_autoptr (FtWorkerHeartbeat) answer = status ();
      EXPECT_TRUE (ft_scheduler_direct_request_done (scheduler, direct, FT_DIRECT_OK, answer, now));
      ft_direct_request_free (direct);
    }
  }
  // Runs a job of one task to its end: it is placed, started, done and committed. `seconds`: the time that this takes.
  void
  run_job (double seconds = 1)
  {
    names.push_back ("req-" + std::to_string (++revision));
    ft_scheduler_job_added (scheduler, new_job_spec (names.back ().c_str (), 1), revision, now, 0);
    ft_scheduler_place (scheduler, now, TRUE);
    direct_requests ();
    heartbeat (); // carries the start if no direct request has
    now += (gint64) (seconds * kS);
    for (auto &[name, task] : listed) {
      task.state = FT_TASK_PHASE_EXITED;
      task.exit_reason = FT_EXIT_DONE;
    }
    heartbeat ();
    commit_writes (now);
    commit_writes (now);
  }
  void
  wait (double seconds)
  {
    for (gint64 end = now + (gint64) (seconds * kS); now < end; now += 2 * kS)
      heartbeat ();
  }
};

// Guards against ran_twice: the worker was told to forget a directly started attempt after two worker leases, although
// it had seen no higher token, and a copy of the start then started the task again.
TEST (WorkerToken, DirectStartIsRememberedUntilTheWorkerHasShownAHigherToken)
{
  DirectStarts harness;
  harness.run_job ();
  ASSERT_EQ (harness.started_directly, 1u);
  harness.answers_arrive = false;
  harness.wait (600);
  EXPECT_EQ (harness.forgets_sent, 0u);
  harness.answers_arrive = true;
  harness.wait (4);
  EXPECT_EQ (harness.seen_token, 4u) << "the token must be renewed once, however many answers were lost";
  EXPECT_EQ (harness.listed.size (), 0u);
}

// Guards against heartbeats that grow with the length of the run.
TEST (WorkerToken, RememberedStartsStayFewWhileAllStartsAreDirect)
{
  DirectStarts harness;
  for (guint i = 0; i < 10 * FT_REMEMBERED_STARTS_RENEW; i++) {
    harness.run_job ();
    ASSERT_LE (harness.listed.size (), FT_REMEMBERED_STARTS_RENEW + 1u);
  }
  EXPECT_EQ (harness.started_directly, 10u * FT_REMEMBERED_STARTS_RENEW);
}

TEST (WorkerToken, FewRememberedStartsAreForgottenAfterAWhile)
{
  DirectStarts harness;
  harness.run_job ();
  harness.wait (FT_REMEMBERED_START_S - 4);
  EXPECT_EQ (harness.seen_token, 3u);
  EXPECT_EQ (harness.listed.size (), 1u);
  harness.wait (10);
  EXPECT_EQ (harness.seen_token, 4u);
  EXPECT_EQ (harness.listed.size (), 0u);
}

// Guards against a leadership that has no token left and still sends every start directly: no worker could forget any.
TEST (WorkerToken, StartsAreSentInAnswersWhenNoTokenIsLeft)
{
  DirectStarts harness{ { 3, 3 } };
  for (guint i = 0; i < 2 * FT_DIRECT_STARTS_MAX; i++) {
    harness.run_job ();
    ASSERT_LE (harness.listed.size (), FT_DIRECT_STARTS_MAX + 1u);
  }
  EXPECT_EQ (harness.started_directly, (guint) FT_DIRECT_STARTS_MAX);
  EXPECT_EQ (harness.started_by_answer, (guint) FT_DIRECT_STARTS_MAX);
}

// Guards against a renewal that makes the worker refuse a request in flight.
TEST (WorkerToken, TokenIsNotRenewedWhileARequestIsInFlight)
{
  DirectStarts harness;
  harness.run_job ();
  harness.wait (FT_REMEMBERED_START_S - 2);
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-9", 1), 9000, harness.now, 0);
  ft_scheduler_place (harness.scheduler, harness.now, TRUE);
  FtDirectRequest *direct = ft_scheduler_next_direct_request (harness.scheduler, harness.now);
  ASSERT_NE (direct, nullptr);
  harness.now += 4 * kS;
  harness.heartbeat ();
  EXPECT_EQ (harness.seen_token, direct->token);
  ft_scheduler_direct_request_done (harness.scheduler, direct, FT_DIRECT_UNANSWERED, nullptr, harness.now);
  ft_direct_request_free (direct);
  harness.heartbeat ();
  EXPECT_EQ (harness.seen_token, 4u);
}

// A new leader does not know what was started directly. The worker refuses what a former leader sent, but not what this
// leader has sent itself.
TEST (WorkerToken, UnknownAttemptsAreForgottenAtOnceOnlyIfAFormerLeaderStartedThem)
{
  SchedulerHarness harness{ { 3, 1000 } };
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  guint64 former = ((guint64) 2 << FT_ATTEMPT_BITS) + 1, own = ((guint64) 1000 << FT_ATTEMPT_BITS) + 1;
  for (auto [attempt, forgets] : { std::pair (former, 1u), std::pair (own, 0u) }) {
    const char *name = attempt == former ? "n-1" : "n-2";
    FtTaskStatus exited = task_status ("req-1", 0, attempt, FT_TASK_PHASE_EXITED, FT_EXIT_STOPPED);
    g_autoptr (GArray) commands = harness.exchange (101 * kS, 1, { exited }, 1, name);
    EXPECT_EQ (count_commands (commands, FT_COMMAND_FORGET), forgets) << name;
  }
}

// The protocol does not let the incarnation, the sequence or the token of a machine begin anew. Statuses that do count
// as copies: the machine gets no command, and what it was given before still counts.
TEST (WorkerToken, MachineWhoseNumbersBeginAnewGetsNoCommands)
{
  DirectStarts harness;
  harness.wait (10);
  harness.run_job ();
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-9", 1), 9000, harness.now, 0);
  ft_scheduler_place (harness.scheduler, harness.now, TRUE);
  guint attempts = g_hash_table_size (harness.machine ("n-1")->attempts);
  for (guint64 sequence : { 1, 2, 3 }) {
    g_autoptr (FtWorkerHeartbeat) heartbeat = harness.new_heartbeat (1, sequence, sequence == 1 ? 0 : 3);
    ASSERT_TRUE (ft_scheduler_heartbeat (harness.scheduler, heartbeat, harness.now));
    g_autoptr (GArray) commands = ft_scheduler_answer (harness.scheduler, heartbeat, harness.now, nullptr);
    EXPECT_EQ (commands->len, 0u);
  }
  EXPECT_EQ (g_hash_table_size (harness.machine ("n-1")->attempts), attempts);
}

// Guards against an answer that a worker drops because it has seen a higher token of the same leadership.
TEST (WorkerToken, AnswerToAnUnknownMachineCarriesTheTokenThatItHasSeen)
{
  SchedulerHarness harness{ { 3, 1000 } };
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  for (guint64 seen : { 2, 3, 17, 1000 }) {
    g_autoptr (FtWorkerHeartbeat) heartbeat = harness.new_heartbeat (1, seen, seen);
    ASSERT_TRUE (ft_scheduler_heartbeat (harness.scheduler, heartbeat, 100 * kS));
    guint64 token;
    g_autoptr (GArray) commands = ft_scheduler_answer (harness.scheduler, heartbeat, 100 * kS, &token);
    EXPECT_EQ (token, MAX (seen, 3u));
  }
  g_autoptr (FtWorkerHeartbeat) heartbeat = harness.new_heartbeat (1, 1001, 1001);
  EXPECT_FALSE (ft_scheduler_heartbeat (harness.scheduler, heartbeat, 100 * kS)) << "another controller leads";
}

} // namespace
