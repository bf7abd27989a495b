// What operators can tell from the leader's log alone about one machine and one job.
#include "scheduler_harness.hpp"

namespace {

// Collects the log lines of the thread while it exists.
class LogLines {
public:
  LogLines () { previous_ = g_log_set_default_handler (on_line, this); }
  ~LogLines () { g_log_set_default_handler (previous_, nullptr); }
  // The number of lines that contain the text.
  guint
  count (const std::string &text) const
  {
    guint n = 0;
    for (const std::string &line : lines_)
      n += line.find (text) != std::string::npos;
    return n;
  }

private:
  static void
  on_line (const char *, GLogLevelFlags, const char *line, gpointer data)
  {
    ((LogLines *) data)->lines_.emplace_back (line);
  }
  std::vector<std::string> lines_;
  GLogFunc previous_;
};

TEST (MachineLog, TellsHowAnIncarnationWasFirstShownAndFromWhatItsLeaseIsReckoned)
{
  LogLines log;
  OneMachine harness;
  EXPECT_EQ (log.count ("machine n-1: incarnation 1 (first shown by a heartbeat; its lease is reckoned until 15.0 s"),
             1u);
  ft_scheduler_tick (harness.scheduler, 120 * kS, TRUE);
  EXPECT_EQ (
      log.count ("incarnation 1 expired (its worker lease has run out; reckoned from the last answer, 20.0 s ago)"),
      1u);
  g_autoptr (GArray) refused = harness.exchange (121 * kS, 2);
  EXPECT_EQ (log.count ("machine n-1: heartbeat not applied (its incarnation is over), refused"), 1u);
  g_autoptr (GArray) commands = harness.exchange (122 * kS, 3, {}, 2);
  EXPECT_EQ (log.count ("machine n-1: new incarnation 2 (first shown by a heartbeat"), 1u);
}

TEST (MachineLog, TellsEachChangeOfWhetherAMachineGetsDirectCommands)
{
  LogLines log;
  OneMachine harness;
  ft_scheduler_tick (harness.scheduler, 101 * kS, TRUE);
  EXPECT_EQ (log.count ("direct commands"), 0u);
  ft_scheduler_tick (harness.scheduler, 120 * kS, TRUE);
  EXPECT_EQ (log.count ("machine n-1: gets no direct commands (its incarnation is over)"), 1u);
  g_autoptr (GArray) commands = harness.exchange (121 * kS, 2, {}, 2);
  ft_scheduler_tick (harness.scheduler, 121 * kS, TRUE);
  EXPECT_EQ (log.count ("machine n-1: gets direct commands again"), 1u);
}

TEST (MachineLog, CountsHeartbeatsThatAreNotAppliedWithOneLineForManyOfThem)
{
  LogLines log;
  OneMachine harness (100);
  for (guint64 sequence = 1; sequence <= 50; sequence++)
    g_autoptr (GArray) commands = harness.exchange (101 * kS + (gint64) sequence * kS / 10, sequence);
  EXPECT_EQ (log.count ("heartbeat not applied (older than its newest status), answered"), 1u);
  g_autoptr (GArray) commands = harness.exchange (107 * kS, 101);
  EXPECT_EQ (
      log.count ("50 heartbeats not applied (older than its newest status; the first 5.9 s ago, the last 1.0 s ago)"),
      1u);
}

TEST (MachineLog, TellsWhichStopsWereSentAndByWhichWayAtMostOnceASecond)
{
  LogLines log;
  OneMachine harness;
  harness.start_job ("req-1", 5, 100 * kS, 2);
  FtTaskStatus running = task_status ("req-1", 0, harness.attempt, FT_TASK_PHASE_RUNNING);
  g_autoptr (GArray) none = harness.exchange (102 * kS, 3, { running });
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", 0, 102 * kS);
  ft_direct_request_free (ft_scheduler_next_direct_request (harness.scheduler, 102 * kS));
  EXPECT_EQ (log.count ("machine n-1: 1 stops sent in a direct request: req-1/0"), 1u);
  for (guint64 sequence = 4; sequence < 24; sequence++)
    g_autoptr (GArray) commands = harness.exchange (103 * kS + (gint64) sequence * kS / 10, sequence, { running });
  EXPECT_EQ (log.count ("machine n-1: 1 stops sent in an answer to a heartbeat: req-1/0"), 2u);
}

TEST (MachineLog, TellsWhatTheCloudSaidToTheReturnOfAMachine)
{
  LogLines log;
  OneMachine harness;
  ft_machine_terminate (harness.machine ("n-1"), "faulty");
  ft_scheduler_tick (harness.scheduler, 101 * kS, TRUE);
  for (gint64 now = 102 * kS; now < 106 * kS; now += 2 * kS) {
    FtCloudCall *call = ft_scheduler_next_cloud (harness.scheduler, now);
    ASSERT_NE (call, nullptr);
    ft_scheduler_cloud_done (harness.scheduler, call, now < 104 * kS ? FT_CLOUD_REFUSED : FT_CLOUD_OK, now);
    ft_cloud_call_free (call);
  }
  EXPECT_EQ (log.count ("machine n-1: up -> returning (faulty)"), 1u);
  EXPECT_EQ (log.count ("machine n-1: not returned yet (the cloud refuses)"), 1u);
  EXPECT_EQ (log.count ("machine n-1: returned after 1 calls that failed"), 1u);
}

// The metric overdue_machines.
TEST (MachineLog, MachinesWithTasksCancelledOverHalfOfTheirTimeAgoAreCounted)
{
  OneMachine harness;
  harness.start_job ("req-1", 5, 100 * kS, 2);
  FtTaskStatus running = task_status ("req-1", 0, harness.attempt, FT_TASK_PHASE_RUNNING);
  g_autoptr (GArray) none = harness.exchange (102 * kS, 3, { running });
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", 0, 102 * kS);
  ft_scheduler_tick (harness.scheduler, 118 * kS, TRUE);
  EXPECT_EQ (ft_scheduler_count_machines (harness.scheduler).overdue, 0u);
  ft_scheduler_tick (harness.scheduler, 120 * kS, TRUE);
  EXPECT_EQ (ft_scheduler_count_machines (harness.scheduler).overdue, 1u);
}

} // namespace
