// What the scheduler concludes from worker heartbeats, or from their absence.
#include "scheduler_harness.hpp"

namespace {

TEST (Scheduler, AMachineThatDoesNotHearGetsNoWorkAndIsReturned)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 1), 5, 101 * kS, 0);
  // Each answer starts the task anew; no heartbeat ever shows it.
  gint64 at = 101 * kS;
  for (guint64 sequence = 2; sequence < 11; sequence++, at += 2 * kS)
    g_autoptr (GArray) starts = b.exchange (at, sequence);
  b.other_up (at); // most others are heard
  FtMachine *m = b.machine ("n-1");
  EXPECT_TRUE (ft_machine_not_receiving (m));
  EXPECT_FALSE (ft_machine_usable (b.s, m));
  b.set_on_time_since (at - 5 * kS); // we were late ourselves
  ft_scheduler_tick (b.s, at, TRUE);
  EXPECT_EQ (m->state, FT_MACHINE_UP);
  b.set_on_time_since (0);
  ft_scheduler_tick (b.s, at, TRUE);
  EXPECT_EQ (m->state, FT_MACHINE_UP) << "the store was not seen since 100 s: we may be cut off ourselves";
  ft_scheduler_cancellations_known (b.s, at);
  ft_scheduler_tick (b.s, at, TRUE);
  EXPECT_EQ (m->state, FT_MACHINE_TERMINATING);
}

// A takeover does not wait for a machine whose reports never show the new token.
TEST (Scheduler, ADeafMachineOfTheRosterIsReturned)
{
  SchedulerHarness b;
  ft_scheduler_load_machine (b.s, "row-1", "n-1", "10.1.0.1:9000", "std", "a", FALSE);
  ft_scheduler_loaded (b.s, 100 * kS);
  gint64 at = 100 * kS;
  for (guint64 sequence = 1; sequence < 11; sequence++, at += 2 * kS) {
    g_autoptr (FtWorkerHeartbeat) old = b.heartbeat (1, sequence, 2);
    EXPECT_TRUE (ft_scheduler_heartbeat (b.s, old, at));
    g_autoptr (GArray) none = ft_scheduler_answer (b.s, old, at);
    EXPECT_EQ (none->len, 0u);
  }
  b.other_up (at);
  ft_scheduler_tick (b.s, at, TRUE);
  EXPECT_EQ (b.machine ("n-1")->state, FT_MACHINE_UP) << "the store was not seen since 100 s";
  ft_scheduler_cancellations_known (b.s, at);
  ft_scheduler_tick (b.s, at, TRUE);
  EXPECT_EQ (b.machine ("n-1")->state, FT_MACHINE_TERMINATING);
}

TEST (Scheduler, ALateCopyRevivesNoMachineAndProvesNoAbsence)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS, 5);
  FtMachine *m = b.machine ("n-1");
  // From before it knew us, with a higher number than any we saw: tokens only rise.
  g_autoptr (FtWorkerHeartbeat) before = b.heartbeat (1, 9, 2);
  ft_scheduler_heartbeat (b.s, before, 140 * kS);
  EXPECT_EQ (m->last_status_at, 100 * kS);
  EXPECT_EQ (m->sequence, 5u);
  // Of a former incarnation.
  g_autoptr (FtWorkerHeartbeat) incarnation = b.heartbeat (0, 9, 3);
  ft_scheduler_heartbeat (b.s, incarnation, 140 * kS);
  EXPECT_EQ (m->last_status_at, 100 * kS);
  // Of a machine that nobody knows any more: no work before it shows our token.
  g_autoptr (FtWorkerHeartbeat) ghost = b.heartbeat (1, 1, 2);
  g_free (ghost->machine);
  ghost->machine = g_strdup ("n-9");
  ft_scheduler_heartbeat (b.s, ghost, 140 * kS);
  b.write (140 * kS);
  EXPECT_FALSE (ft_machine_usable (b.s, b.machine ("n-9")));
  EXPECT_EQ (ft_scheduler_last_heard (b.s), 100 * kS);
}

// No heartbeat costs a look at all jobs or machines, whatever waits.
TEST (Scheduler, AReportLooksAtFewThings)
{
  SchedulerHarness b;
  const guint machines = 1000, jobs = 300;
  b.world.settings.value_kb = 8;
  b.world.settings.teams[0].cpus_max = 1e6;
  ft_scheduler_loaded (b.s, 100 * kS);
  auto name = [] (FtWorkerHeartbeat *r, guint i) {
    g_free (r->machine);
    r->machine = g_strdup_printf ("n-%06u", i);
  };
  for (guint i = 0; i < machines; i++) {
    g_autoptr (FtWorkerHeartbeat) r = b.heartbeat (1, 1, 3);
    name (r, i);
    ft_scheduler_heartbeat (b.s, r, 100 * kS);
  }
  for (int i = 0; i < 20; i++)
    b.write (100 * kS);
  for (guint i = 0; i < jobs; i++) {
    g_autofree char *ref = g_strdup_printf ("req-%u", i);
    ft_scheduler_job_added (b.s, spec (ref, 250), 5 + i, 100 * kS, 0);
  }
  // Passes fill every machine; far more waits.
  gint64 at = 100 * kS;
  for (int i = 0; i < 40; i++)
    ft_scheduler_place (b.s, at += kS / 5, TRUE);
  for (guint64 left = 1; left > 0;) { // all commands are on their way
    FtDirect *direct = ft_scheduler_next_direct (b.s, at);
    left = direct != nullptr;
    ft_direct_free (direct);
  }
  FtMachine *m = b.machine ("n-000007");
  ASSERT_EQ (ft_machine_room (m, b.job ("req-299")->spec), 0u);
  guint before = ft_scheduler_looked_at (b.s);
  ft_scheduler_place (b.s, at, TRUE); // within the pause: no pass
  g_autoptr (FtWorkerHeartbeat) r = b.heartbeat (1, 2, 3);
  name (r, 7);
  ft_scheduler_heartbeat (b.s, r, at);
  g_autoptr (GArray) commands = ft_scheduler_answer (b.s, r, at);
  EXPECT_EQ (ft_scheduler_next_direct (b.s, at), nullptr);
  g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (b.s, 11, TRUE, at);
  ft_scheduler_writes_committed (b.s, writes, at);
  EXPECT_LE (ft_scheduler_looked_at (b.s) - before, 64u);
  // A pass over a full fleet looks at each machine and job a few times at most.
  before = ft_scheduler_looked_at (b.s);
  ft_scheduler_tick (b.s, at + kS, TRUE);
  EXPECT_LE (ft_scheduler_looked_at (b.s) - before, 40 * (machines + jobs));
}

// Found by the random runs: a machine that hangs past its worker lease still
// has its tasks; time alone must not free them.
TEST (Scheduler, AWorkerLeaseThatLapsedFreesNoTask)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 1), 5, 100 * kS, 0);
  g_autoptr (GArray) starts = b.exchange (101 * kS, 2);
  ASSERT_EQ (count (starts, FT_COMMAND_START), 1u);
  FtTaskStatus t = { (char *) "req-1", 0,    g_array_index (starts, FtCommand, 0).attempt, FT_TASK_PHASE_RUNNING,
                     FT_EXIT_NONE,     FALSE };
  g_autoptr (GArray) more = b.exchange (102 * kS, 3, { t });
  for (gint64 at = 103; at < 160; at++) {
    ft_scheduler_cancellations_known (b.s, at * kS);
    ft_scheduler_tick (b.s, at * kS, TRUE);
  }
  EXPECT_EQ (ft_scheduler_view (b.s, "req-1").running, 1u);
  // The cloud confirms the return: now it is over.
  FtCloudCall *call = nullptr;
  while ((call = ft_scheduler_next_cloud (b.s, 160 * kS)) != nullptr && call->op != FT_CLOUD_SCALE_IN)
    ft_cloud_call_free (call);
  ASSERT_NE (call, nullptr);
  ft_scheduler_cloud_done (b.s, call, FT_CLOUD_OK, 160 * kS);
  ft_cloud_call_free (call);
  EXPECT_EQ (ft_scheduler_view (b.s, "req-1").running, 0u);
}

TEST (Scheduler, AnOlderReportChangesNothing)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS, 5);
  ft_scheduler_job_added (b.s, spec ("req-1", 1), 5, 100 * kS, 0);
  g_autoptr (GArray) starts = b.exchange (101 * kS, 6);
  ASSERT_EQ (count (starts, FT_COMMAND_START), 1u);
  FtTaskStatus t = { (char *) "req-1", 0,    g_array_index (starts, FtCommand, 0).attempt, FT_TASK_PHASE_EXITED,
                     FT_EXIT_ERROR,    FALSE };
  g_autoptr (GArray) late = b.exchange (102 * kS, 4, { t });
  EXPECT_EQ (late->len, 0u);
  FtJob *job = b.job ("req-1");
  EXPECT_EQ (job->tasks[0].state, FT_TASK_STARTING);
}

TEST (Scheduler, AHigherTokenEndsTheLeadership)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  g_autoptr (FtWorkerHeartbeat) r = b.heartbeat (1, 1, 4);
  EXPECT_FALSE (ft_scheduler_heartbeat (b.s, r, 101 * kS));
}

TEST (Scheduler, AMachineOnWhichDifferentJobsFailIsReturned)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  guint64 sequence = 2, revision = 5;
  gint64 now = 100 * kS;
  for (const char *ref : { "req-1", "req-2" }) {
    ft_scheduler_job_added (b.s, spec (ref, 1), revision++, now += kS, 0);
    g_autoptr (GArray) starts = b.exchange (now, sequence++);
    ASSERT_EQ (count (starts, FT_COMMAND_START), 1u);
    FtTaskStatus t
        = { (char *) ref, 0, g_array_index (starts, FtCommand, 0).attempt, FT_TASK_PHASE_EXITED, FT_EXIT_ERROR, FALSE };
    g_autoptr (GArray) rest = b.exchange (now, sequence++, { t });
  }
  ft_scheduler_tick (b.s, now + kS, TRUE);
  FtMachine *m = b.machine ("n-1");
  EXPECT_EQ (m->state, FT_MACHINE_TERMINATING);
}

} // namespace
