// Unit tests of single modules.
#include <gtest/gtest.h>

#include <array>

#include "scheduler_harness.hpp"

extern "C" {
#include "config.h"
#include "core/admission.h"
#include "core/constants.h"
#include "core/scheduler_private.h"
#include "net/budget.h"
#include "wire/cbor.h"
#include "wire/cloud.h"
#include "wire/messages.h"
#include "wire/store.h"
}

namespace {

// ---- CBOR ----

json_t *
parse (const char *text)
{
  return json_loads (text, JSON_DECODE_ANY, nullptr);
}

TEST (Cbor, RoundTrip)
{
  json_t *value = parse ("{\"a\":[1,-7,2.5,null,true,false,\"text\"],\"b\":{\"c\":9007199254740993},\"d\":[]}");
  GBytes *bytes = ft_cbor_encode (value);
  gsize size;
  auto data = (const guint8 *) g_bytes_get_data (bytes, &size);
  json_t *back = ft_cbor_decode (data, size);
  EXPECT_TRUE (json_equal (value, back));
  // Every shorter prefix is malformed.
  for (gsize n = 0; n < size; n++)
    EXPECT_EQ (ft_cbor_decode (data, n), nullptr) << n;
  json_decref (value);
  json_decref (back);
  g_bytes_unref (bytes);
}

TEST (Cbor, RefusesWhatIsNotOneItemOfTheJsonModel)
{
  const std::vector<std::vector<guint8> > bad = {
    {},                                                       // nothing
    { 0x01, 0x02 },                                           // two items
    { 0x41, 0x00 },                                           // bytes
    { 0xa1, 0x01, 0x02 },                                     // a key that is not text
    { 0xc1, 0x01 },                                           // a tag
    { 0x61, 0xff },                                           // not UTF-8
    { 0xf9, 0x7e, 0x00 },                                     // not a number
    { 0xff },                                                 // a stray break
    { 0xbf, 0x61, 0x61, 0xff },                               // a key without value
    { 0xf7 },                                                 // undefined
    { 0x9b, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff }, // a list of 2^64 - 1 items
  };
  for (const auto &bytes : bad)
    EXPECT_EQ (ft_cbor_decode (bytes.data (), bytes.size ()), nullptr) << testing::PrintToString (bytes);
  std::vector<guint8> deep (FT_NESTING_MAX + 1, 0x81);
  deep.push_back (0x01);
  EXPECT_EQ (ft_cbor_decode (deep.data (), deep.size ()), nullptr);
  json_t *allowed = ft_cbor_decode (deep.data () + 1, deep.size () - 1);
  EXPECT_NE (allowed, nullptr);
  json_decref (allowed);
}

// ---- lease ----

struct Lease {
  FtLease *lease = ft_lease_new ("me", 7, 9 * kS, 3 * kS, 18 * kS, 1);
  ~Lease () { ft_lease_free (lease); }
  void
  see (gint64 now, guint64 token, const char *holder, guint64 fence, guint64 renewal, bool released = false,
       gint64 lease_us = 0)
  {
    FtLeaseRows rows = { token, (char *) holder, 1, fence, renewal, lease_us, released };
    ft_lease_observe (lease, now, &rows);
  }
};

TEST (Lease, TakesARowUnrenewedForALeaseTimeAndNotBefore)
{
  Lease l;
  l.see (0, 4, "other", 10, 20);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 9 * kS));
  l.see (8 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 16 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (l.lease, 18 * kS));
  FtLeaseClaim c = ft_lease_claim (l.lease, 18 * kS);
  EXPECT_EQ (c.token, 5u);
  EXPECT_EQ (c.fence_revision, 10u);
  EXPECT_TRUE (c.check_renewal);
}

TEST (Lease, TimeWithoutSightDoesNotCountAgainstTheHolder)
{
  Lease l;
  l.see (0, 4, "other", 10, 20);
  ft_lease_sweep_failed (l.lease, 8 * kS);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 16 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (l.lease, 18 * kS));
}

// Found in a recorded day: after an outage up to 3.75 s went by before anybody looked.
TEST (Lease, AFailedSweepIsRepeatedSoon)
{
  g_autoptr (FtLease) lease = ft_lease_new ("hearth-0", 1, 9 * kS, 3 * kS, 18 * kS, 1);
  ft_lease_sweep_failed (lease, 100 * kS);
  EXPECT_FALSE (ft_lease_sweep_due (lease, 100 * kS + kS / 10));
  EXPECT_TRUE (ft_lease_sweep_due (lease, 101 * kS));
}

TEST (Lease, TakesOverAtOnceFromItsFormerSelfAndFromAReleasedRow)
{
  Lease own, released;
  own.see (0, 4, "me", 10, 20);
  EXPECT_TRUE (ft_lease_acquire_due (own.lease, 0));
  released.see (0, 4, "other", 10, 20, true);
  EXPECT_TRUE (ft_lease_acquire_due (released.lease, 0));
}

TEST (Lease, ValidityCountsFromWhenTheRenewalWasSent)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 1 * kS, 10);
  ft_lease_cancellations_known (l.lease, 8 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 9 * kS));
  EXPECT_FALSE (ft_lease_may_start (l.lease, 10 * kS));
  ft_lease_tick (l.lease, 10 * kS);
  EXPECT_EQ (ft_lease_state (l.lease), FT_LEASE_EXPIRED);
  // A expired holder answers reports for the hold, counted from the older contact.
  ft_lease_cancellations_known (l.lease, 18 * kS);
  EXPECT_TRUE (ft_lease_may_answer (l.lease, 18 * kS));
  EXPECT_FALSE (ft_lease_may_answer (l.lease, 19 * kS));
  // Nobody acquired in between: the renewal makes it go on.
  ft_lease_renewed (l.lease, 17 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 20 * kS));
  ft_lease_lost (l.lease, 21 * kS);
  EXPECT_FALSE (ft_lease_may_start (l.lease, 21 * kS));
  EXPECT_FALSE (ft_lease_may_answer (l.lease, 21 * kS));
}

// Its answers would keep tasks alive that were cancelled before it was the holder.
TEST (Lease, ANewHolderAnswersNobodyBeforeItHasReadTheWithdrawals)
{
  Lease l;
  l.see (0, 4, "me", 10, 20);
  for (guint64 revision : { 30u, 40u }) { // again after each acquisition
    ft_lease_claim (l.lease, 0);
    ft_lease_acquired (l.lease, 0, revision);
    EXPECT_FALSE (ft_lease_may_answer (l.lease, kS));
    EXPECT_FALSE (ft_lease_may_start (l.lease, kS));
    ft_lease_cancellations_known (l.lease, kS);
    EXPECT_TRUE (ft_lease_may_answer (l.lease, 2 * kS));
    EXPECT_TRUE (ft_lease_may_start (l.lease, 2 * kS));
    ft_lease_lost (l.lease, 3 * kS);
    l.see (3 * kS, 5, "me", revision, 50);
  }
}

// A renewal that succeeds after an outage tells nothing of the cancellations meanwhile.
TEST (Lease, ARenewalAloneProlongsNoHoldAndStartsNothing)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 0, 10);
  ft_lease_cancellations_known (l.lease, 2 * kS);
  ft_lease_tick (l.lease, 10 * kS);
  ft_lease_renewed (l.lease, 30 * kS);
  EXPECT_EQ (ft_lease_state (l.lease), FT_LEASE_HOLDING);
  EXPECT_FALSE (ft_lease_may_start (l.lease, 31 * kS));
  EXPECT_FALSE (ft_lease_may_answer (l.lease, 31 * kS));
  ft_lease_cancellations_known (l.lease, 31 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 32 * kS));
  EXPECT_TRUE (ft_lease_may_answer (l.lease, 32 * kS));
  // An answer that comes late, of a request sent before, takes nothing back.
  ft_lease_cancellations_known (l.lease, 5 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 32 * kS));
}

TEST (Lease, ACedingHolderStartsNothingAndAnswersUntilItsHoldIsOver)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 0, 10);
  ft_lease_cancellations_known (l.lease, kS);
  ft_lease_yield (l.lease, 2 * kS);
  EXPECT_EQ (ft_lease_state (l.lease), FT_LEASE_EXPIRED);
  EXPECT_FALSE (ft_lease_may_start (l.lease, 2 * kS));
  EXPECT_TRUE (ft_lease_may_answer (l.lease, 17 * kS));
  EXPECT_FALSE (ft_lease_may_answer (l.lease, 18 * kS));
  // Nobody has taken the lease and the store is back: it goes on.
  ft_lease_renewed (l.lease, 4 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 5 * kS));
}

TEST (Lease, ASuspectedHolderIsTakenOverOnlyIfItsRowsStandStill)
{
  Lease alive, gone;
  for (Lease *l : { &alive, &gone }) {
    l->see (0, 4, "other", 10, 19);
    l->see (20 * kS, 4, "other", 10, 20);
    ft_lease_suspect (l->lease, "other", TRUE, 21 * kS);
    EXPECT_TRUE (ft_lease_sweep_due (l->lease, 21 * kS));
    EXPECT_FALSE (ft_lease_acquire_due (l->lease, 21 * kS)) << "the rows must be read first";
  }
  alive.see (22 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (alive.lease, 22 * kS));
  gone.see (22 * kS, 4, "other", 10, 20);
  ASSERT_TRUE (ft_lease_acquire_due (gone.lease, 22 * kS));
  FtLeaseClaim c = ft_lease_claim (gone.lease, 22 * kS);
  EXPECT_TRUE (c.check_renewal);
}

// Found on the fleets' day of refused connections: every controller looked dead to
// the others, and a new leader claimed twice a second.
TEST (Lease, AHintWithoutAWitnessOrAboutANewLeaderWaitsForARenewal)
{
  Lease unsure, young;
  for (Lease *l : { &unsure, &young }) {
    l->see (0, 4, "other", l == &young ? 9 : 10, 20);
    l->see (20 * kS, 4, "other", 10, 20);
    ft_lease_suspect (l->lease, "other", l == &young, 21 * kS);
    l->see (21 * kS + kS / 5, 4, "other", 10, 20);
    EXPECT_TRUE (ft_lease_sweep_due (l->lease, 22 * kS)) << "it is looked at often meanwhile";
    EXPECT_EQ (ft_lease_acquire_due (l->lease, 22 * kS), l == &unsure) << "unsure: unrenewed since 0 s";
  }
  young.see (23 * kS, 4, "other", 10, 20);
  EXPECT_FALSE (ft_lease_acquire_due (young.lease, 23 * kS));
  young.see (24 * kS + kS / 10, 4, "other", 10, 20);
  EXPECT_TRUE (ft_lease_acquire_due (young.lease, 24 * kS + kS / 10)) << "a renewal is a second overdue";
  Lease renewed;
  renewed.see (0, 4, "other", 10, 20);
  ft_lease_suspect (renewed.lease, "other", FALSE, kS);
  renewed.see (3 * kS, 4, "other", 10, 21);
  EXPECT_FALSE (ft_lease_acquire_due (renewed.lease, 8 * kS));
}

TEST (Lease, AReleasedHolderKeepsOff)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 0, 10);
  ft_lease_released (l.lease, kS);
  l.see (2 * kS, 1, "me", 10, 11, true);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 2 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (l.lease, 2 * kS + (gint64) (FT_ABSTAIN_S * kS)));
}

// ---- states ----

TEST (Task, RefusesIllegalMoves)
{
  FtJob *job = ft_job_new (spec ("req-1", 2), nullptr, 1, FT_TASK_QUEUED);
  EXPECT_FALSE (ft_task_set_state (job, 0, FT_TASK_DONE));
  EXPECT_TRUE (ft_task_set_state (job, 0, FT_TASK_STARTING));
  EXPECT_TRUE (ft_task_set_state (job, 0, FT_TASK_FINISHED));
  EXPECT_TRUE (ft_task_set_state (job, 0, FT_TASK_DONE));
  for (FtTaskState to : { FT_TASK_QUEUED, FT_TASK_RUNNING, FT_TASK_CANCELLED, FT_TASK_UNKNOWN })
    EXPECT_FALSE (ft_task_set_state (job, 0, to));
  EXPECT_EQ (job->counts[FT_TASK_DONE], 1u);
  EXPECT_EQ (job->counts[FT_TASK_QUEUED], 1u);
  EXPECT_TRUE (ft_job_set_state (job, FT_JOB_CANCELLING, "test"));
  EXPECT_FALSE (ft_job_set_state (job, FT_JOB_OPEN, "test"));
  ft_job_free (job);
}

TEST (Job, DoneSetsAreChunkedToFitTheValueLimit)
{
  FtJob *job = ft_job_new (spec ("req-1", FT_JOB_TASKS_MAX), nullptr, 1, FT_TASK_QUEUED);
  ASSERT_EQ (ft_job_chunks (job), (FT_JOB_TASKS_MAX + FT_DONE_CHUNK - 1) / FT_DONE_CHUNK);
  ft_task_set_state (job, FT_DONE_CHUNK + 9, FT_TASK_STARTING);
  ft_task_set_state (job, FT_DONE_CHUNK + 9, FT_TASK_FINISHED);
  g_autofree char *bits = ft_job_chunk_bits (job, 1);
  EXPECT_LT (strlen (bits), 1024u);
  gsize size;
  g_autofree guchar *raw = g_base64_decode (bits, &size);
  EXPECT_EQ (raw[1], 2);
  EXPECT_EQ (raw[0], 0);
  ft_job_free (job);
}

// ---- scheduler: single failures found, each with its own test ----

TEST (Scheduler, NoCommandBeforeTheMachineIsInTheRoster)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 1), 5, 100 * kS, 0);
  g_autoptr (GArray) first = b.exchange (101 * kS, 1);
  EXPECT_EQ (first->len, 0u);
  EXPECT_EQ (ft_scheduler_next_direct (b.s, 101 * kS), nullptr);
  b.write (101 * kS);
  g_autoptr (GArray) second = b.exchange (102 * kS, 2);
  EXPECT_EQ (count (second, FT_COMMAND_START), 1u);
}

// One row names many machines; it is written anew when one of them goes.
// ---- added to the protocol with the grown deployments ----

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
  FtMachine *m = (FtMachine *) g_hash_table_lookup (b.s->machine_table.machines, "n-1");
  EXPECT_TRUE (ft_machine_not_receiving (m));
  EXPECT_FALSE (ft_machine_usable (b.s, m));
  b.s->context.on_time_since = at - 5 * kS; // we were late ourselves
  ft_scheduler_tick (b.s, at, TRUE);
  EXPECT_EQ (m->state, FT_MACHINE_UP);
  b.s->context.on_time_since = 0;
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
  FtMachine *m = (FtMachine *) g_hash_table_lookup (b.s->machine_table.machines, "n-1");
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
  EXPECT_FALSE (ft_machine_usable (b.s, (FtMachine *) g_hash_table_lookup (b.s->machine_table.machines, "n-9")));
  EXPECT_EQ (ft_scheduler_last_heard (b.s), 100 * kS);
}

// Late for its deadline, below others in priority: after 120 s it goes first.
TEST (Placement, NothingWaitsForEverToBegin)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  FtJobSpec *late = spec ("req-1", 1);
  late->cpus = 16;
  late->deadline_s = 5;
  late->estimate_s = 60;
  late->priority = FT_PRIORITY_LOW;
  ft_scheduler_job_added (b.s, late, 5, 101 * kS, 0);
  b.s->context.may_start = FALSE;
  FtJobSpec *urgent = spec ("req-2", 1);
  urgent->cpus = 16;
  urgent->priority = FT_PRIORITY_HIGH;
  ft_scheduler_job_added (b.s, urgent, 6, 222 * kS, 0);
  g_autoptr (GArray) starts = b.exchange (222 * kS, 2);
  ASSERT_EQ (count (starts, FT_COMMAND_START), 1u);
  EXPECT_STREQ (g_array_index (starts, FtCommand, 0).job, "req-1");
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
  FtMachine *m = (FtMachine *) g_hash_table_lookup (b.s->machine_table.machines, "n-000007");
  ASSERT_EQ (ft_machine_room (m, ((FtJob *) g_hash_table_lookup (b.s->job_table.jobs, "req-299"))->spec), 0u);
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

TEST (Scheduler, ALapsedLeaderSendsStopsOnly)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 2), 5, 100 * kS, 0);
  g_autoptr (GArray) starts = b.exchange (101 * kS, 2);
  ASSERT_EQ (count (starts, FT_COMMAND_START), 2u);
  guint64 id = g_array_index (starts, FtCommand, 0).attempt;
  ft_scheduler_tick (b.s, 102 * kS, FALSE);
  ft_scheduler_job_cancelled (b.s, "req-1", 0, 102 * kS);
  g_autoptr (FtWorkerHeartbeat) r = b.heartbeat (1, 3, 3);
  FtTaskStatus t = {
    g_strdup ("req-1"), g_array_index (starts, FtCommand, 0).index, id, FT_TASK_PHASE_RUNNING, FT_EXIT_NONE, FALSE
  };
  g_array_append_val (r->tasks, t);
  ft_scheduler_heartbeat (b.s, r, 102 * kS);
  g_autoptr (GArray) commands = ft_scheduler_answer (b.s, r, 102 * kS);
  EXPECT_EQ (count (commands, FT_COMMAND_STOP), 1u);
  EXPECT_EQ (commands->len, 1u);
}

// A wrong hint must not drop an open job.
TEST (Scheduler, AHintedWithdrawalStopsTasksAndDropsNoRowBeforeItIsRead)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 2), 5, 100 * kS, 0);
  auto ends = [&] (gint64 at) {
    g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (b.s, 11, TRUE, at);
    guint n = 0;
    for (guint i = 0; i < writes->len; i++)
      n += ((FtWrite *) g_ptr_array_index (writes, i))->kind == FT_WRITE_JOB_STOPPED;
    ft_scheduler_writes_committed (b.s, writes, at);
    return n;
  };
  ft_scheduler_cancellation_advised (b.s, "req-1", 101 * kS);
  EXPECT_TRUE (ft_scheduler_view (b.s, "req-1").cancelled);
  EXPECT_EQ (ends (101 * kS), 0u);
  ft_scheduler_job_cancelled (b.s, "req-1", kS, 102 * kS);
  EXPECT_EQ (ends (102 * kS), 1u);
  EXPECT_FALSE (ft_scheduler_view (b.s, "req-1").known);
}

// The watch's answer may be older than the commit of a job's end; it must not place the job anew.
TEST (Scheduler, AnOlderEventOfAFinishedJobDoesNotBringItBack)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 1), 5, 100 * kS, 0);
  g_autoptr (GArray) starts = b.exchange (101 * kS, 2);
  ASSERT_EQ (count (starts, FT_COMMAND_START), 1u);
  FtTaskStatus t = { (char *) "req-1", 0,    g_array_index (starts, FtCommand, 0).attempt, FT_TASK_PHASE_EXITED,
                     FT_EXIT_DONE,     FALSE };
  g_autoptr (GArray) rest = b.exchange (102 * kS, 3, { t });
  b.write (102 * kS);
  ASSERT_FALSE (ft_scheduler_view (b.s, "req-1").known) << "its end is committed";
  ft_scheduler_job_added (b.s, spec ("req-1", 1), 5, 103 * kS, 0);
  EXPECT_FALSE (ft_scheduler_view (b.s, "req-1").known);
  g_autoptr (GArray) again = b.exchange (103 * kS, 4);
  EXPECT_EQ (count (again, FT_COMMAND_START), 0u);
}

TEST (Scheduler, UnknownTasksWaitForTheRosterMachine)
{
  SchedulerHarness b;
  ft_scheduler_load_job (b.s, spec ("req-1", 2), 5, 100 * kS, 0);
  ft_scheduler_load_machine (b.s, "row-1", "n-1", "10.1.0.1:9000", "std", "a", FALSE);
  ft_scheduler_loaded (b.s, 100 * kS);
  // A heartbeat sent before the worker saw the new token accounts for nothing.
  g_autoptr (FtWorkerHeartbeat) old_report = b.heartbeat (1, 1, 2);
  ft_scheduler_heartbeat (b.s, old_report, 101 * kS);
  ft_scheduler_place (b.s, 101 * kS, TRUE);
  g_autoptr (GArray) none = ft_scheduler_answer (b.s, old_report, 101 * kS);
  EXPECT_EQ (none->len, 0u);
  // Under the token it does: one task is found running, the other is queued and starts.
  FtTaskStatus found = { (char *) "req-1", 0, 77, FT_TASK_PHASE_RUNNING, FT_EXIT_NONE, FALSE };
  g_autoptr (GArray) commands = b.exchange (102 * kS, 2, { found });
  EXPECT_EQ (count (commands, FT_COMMAND_START), 1u);
  EXPECT_EQ (g_array_index (commands, FtCommand, 0).index, 1u);
  EXPECT_GT (g_array_index (commands, FtCommand, 0).attempt, 77u);
}

// A former leader may live on for a while: it can start nothing beyond the dispatch watermark, so
// that is placed at once, and the rest when each machine is reconciled.
TEST (Scheduler, TasksBeyondTheMarkDoNotWaitForRecovery)
{
  SchedulerHarness b;
  FtJobSpec *partly = spec ("req-1", 4);
  partly->dispatch_watermark = 3;
  ft_scheduler_load_job (b.s, partly, 5, 100 * kS, 0);
  ft_scheduler_load_machine (b.s, "row-1", "n-9", "10.1.0.9:9000", "std", "a", FALSE);
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  // Placed at once, but not sent before the dispatch watermark that covers it is committed.
  g_autoptr (GArray) none = b.exchange (101 * kS, 2);
  EXPECT_EQ (none->len, 0u);
  EXPECT_EQ (ft_scheduler_next_direct (b.s, 101 * kS), nullptr);
  b.write (101 * kS);
  g_autoptr (GArray) starts = b.exchange (102 * kS, 3);
  ASSERT_EQ (count (starts, FT_COMMAND_START), 1u);
  EXPECT_EQ (g_array_index (starts, FtCommand, 0).index, 3u);
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

// Found by the random runs: stopped before its lost direct start was seen, a
// task was neither started nor released.
TEST (Scheduler, AStopOfALostDirectStartIsTakenBack)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 1), 5, 101 * kS, 0);
  ft_scheduler_place (b.s, 101 * kS, TRUE);
  FtDirect *direct = ft_scheduler_next_direct (b.s, 101 * kS);
  ASSERT_NE (direct, nullptr);
  ft_scheduler_direct_done (b.s, direct, FT_DIRECT_UNANSWERED, nullptr, 103 * kS);
  ft_direct_free (direct);
  FtJob *job = (FtJob *) g_hash_table_lookup (b.s->job_table.jobs, "req-1");
  ft_attempt_want_stop (job->tasks[0].attempt, 0);
  g_autoptr (GArray) first = b.exchange (104 * kS, 2);
  EXPECT_EQ (count (first, FT_COMMAND_START), 1u);
}

TEST (Scheduler, AResultIsClearedOnlyAfterItsCommitAndNotWhileAStartMayComeLate)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  ft_scheduler_job_added (b.s, spec ("req-1", 2), 5, 100 * kS, 0);
  g_autoptr (GArray) starts = b.exchange (101 * kS, 2);
  FtCommand c = g_array_index (starts, FtCommand, 0);
  FtTaskStatus done = { (char *) "req-1", c.index, c.attempt, FT_TASK_PHASE_EXITED, FT_EXIT_DONE, FALSE };
  g_autoptr (GArray) before = b.exchange (102 * kS, 3, { done });
  EXPECT_EQ (count (before, FT_COMMAND_FORGET), 0u);
  b.write (102 * kS);
  g_autoptr (GArray) after = b.exchange (103 * kS, 4, { done });
  EXPECT_EQ (count (after, FT_COMMAND_FORGET), 1u);
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
  FtJob *job = (FtJob *) g_hash_table_lookup (b.s->job_table.jobs, "req-1");
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
  FtMachine *m = (FtMachine *) g_hash_table_lookup (b.s->machine_table.machines, "n-1");
  EXPECT_EQ (m->state, FT_MACHINE_TERMINATING);
}

// Found by the check of real processes: a site without work kept a machine.
TEST (Fleet, ASiteWithoutWorkKeepsNoMachine)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  b.machine_up (100 * kS);
  FtCloudCall *call = nullptr;
  for (gint64 at = 101; at < 200 && call == nullptr; at++) {
    g_autoptr (GArray) none = b.exchange (at * kS, (guint64) at);
    ft_scheduler_tick (b.s, at * kS, TRUE);
    call = ft_scheduler_next_cloud (b.s, at * kS);
  }
  ASSERT_NE (call, nullptr);
  EXPECT_EQ (call->op, FT_CLOUD_SCALE_IN);
  ft_cloud_call_free (call);
}

// Found by the random runs: a small job on a site without machines waited for
// ever, since it needed too small a share of one.
TEST (Fleet, OneSmallJobGetsAMachine)
{
  SchedulerHarness b;
  ft_scheduler_loaded (b.s, 100 * kS);
  FtJobSpec *small = spec ("req-1", 1);
  small->cpus = 0.5;
  ft_scheduler_job_added (b.s, small, 5, 100 * kS, 0);
  ft_scheduler_tick (b.s, 101 * kS, TRUE);
  FtCloudCall *call = ft_scheduler_next_cloud (b.s, 101 * kS);
  ASSERT_NE (call, nullptr);
  EXPECT_EQ (call->op, FT_CLOUD_SCALE_OUT);
  EXPECT_EQ (call->count, 1u);
  EXPECT_TRUE (call->spot);
  ft_cloud_call_free (call);
}

TEST (Quota, UnknownTasksCountUpToWhatUnseenMachinesCanHold)
{
  SchedulerHarness b;
  ft_scheduler_load_job (b.s, spec ("req-1", 20), 5, 100 * kS, 0); // 80 CPUs unknown
  ft_scheduler_load_machine (b.s, "row-1", "n-9", "10.1.0.9:9000", "std", "a", FALSE);
  ft_scheduler_loaded (b.s, 100 * kS);
  g_autoptr (FtJobSpec) wanted = spec ("req-2", 1);
  FtTeam *red = ft_quota_team (&b.s->quota, "red");
  // 48 allowed, the unseen machine may hold 16 of them: 32 are left, 8 tasks.
  EXPECT_EQ (ft_quota_count (b.s, red, wanted), 8u);
}

// ---- admission ----

// Found on the schools deployment, where nothing ran: 0 means that there is no limit.
TEST (Admission, ATeamWithoutALimitIsRefusedNothingThatFits)
{
  sim::World w (1);
  w.unlimit ();
  const char *why;
  g_autoptr (FtJobSpec) s = spec ("req-1", 100);
  s->kind = FT_KIND_GANG;
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT);
  s->gpus = 1; // no machine has one
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT_NEVER);
}

TEST (Admission, TellsNeverFromNotYet)
{
  sim::World w (1);
  const char *why;
  g_autoptr (FtJobSpec) s = spec ("req-1", 100);
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT);
  EXPECT_EQ (ft_admission_check (&w.settings, nullptr, s, &why), FT_ADMIT_NOT_YET);
  s->kind = FT_KIND_GANG; // 400 CPUs together
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT_NEVER);
  s->kind = FT_KIND_ARRAY;
  s->memory_gb = 65;
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT_NEVER);
  s->memory_gb = 1;
  s->zone = g_strdup ("nowhere");
  EXPECT_EQ (ft_admission_check (&w.settings, w.catalog, s, &why), FT_ADMIT_NEVER);
  g_free (s->team);
  s->team = g_strdup ("green");
  EXPECT_EQ (ft_admission_check (&w.settings, nullptr, s, &why), FT_ADMIT_NEVER);
}

// ---- messages ----

const char *const kJob
    = "{\"ref\":\"req-000412\",\"lane\":\"train\",\"crew\":\"vision\",\"shape\":\"array\",\"urgency\":\"high\","
      "\"pieces\":16,\"cores\":8.0,\"cards\":1,\"mem_gb\":64.0,\"bundle\":\"img-07\",\"pull_gb\":6.2,"
      "\"builds\":[\"g8\"],\"yard\":null,\"one_zone\":true,\"apart\":false,\"loaners\":true,\"guess_s\":240.0,"
      "\"bookmark_s\":30.0,\"shelve_s\":4.0,\"due_s\":900.0}";

TEST (Messages, AJobSurvivesItsRow)
{
  json_t *body = parse (kJob);
  g_autoptr (FtJobSpec) s = ft_message_job (body);
  ASSERT_NE (s, nullptr);
  json_t *row = ft_row_open (s);
  g_autoptr (FtJobSpec) back = ft_row_open_parse ("req-000412", row);
  ASSERT_NE (back, nullptr);
  json_t *again = ft_row_open (back);
  EXPECT_TRUE (json_equal (row, again));
  EXPECT_EQ (back->tasks, 16u);
  EXPECT_STREQ (back->types[0], "g8");
  json_decref (body);
  json_decref (row);
  json_decref (again);
}

TEST (Messages, AMissingOrWrongFieldIsRefused)
{
  json_t *body = parse (kJob);
  const std::set<std::string> may_miss = { "builds", "yard", "due_s" };
  const char *name;
  json_t *value;
  json_t *copy = json_copy (body);
  json_object_foreach (copy, name, value)
  {
    json_t *without = json_deep_copy (body);
    json_object_del (without, name);
    FtJobSpec *s = ft_message_job (without);
    EXPECT_EQ (s != nullptr, may_miss.count (name) > 0) << name;
    ft_job_spec_free (s);
    json_object_set_new (without, name, json_object ());
    EXPECT_EQ (ft_message_job (without), nullptr) << name;
    json_decref (without);
  }
  for (const char *ref : { "job-1", "req-", "req-a/b", "req-\"", "" }) {
    json_object_set_new (copy, "ref", json_string (ref));
    EXPECT_EQ (ft_message_job (copy), nullptr) << ref;
  }
  json_decref (copy);
  json_decref (body);
}

// ---- settings ----

std::string
settings ()
{
  return R"({"member":"hearth-0","area":"z","front":"10.0.0.1:8080","mesh_addr":"10.0.0.1:8081","extra":1,
    "others":[{"member":"hearth-1","area":"y","peer_addr":"10.0.0.2:8081"}],
    "services":{"cloud":"10.2.0.2:8443","state":"10.2.0.1:2379"},
    "settings":{"size":3,"zones":["z"],"teams":[{"name":"t","cpus":1.0,"cpus_max":2.0,"gpus":0.0,"gpus_max":0.0}],
    "objectives":[],"workers":{"report_s":3.0,"lease_s":34.0,"cancel_s":54.0},
    "state":{"rps":150.0,"write_rps":60.0,"value_kb":8.0,"txn_ops":16},"cloud":{"rps":3.0,"list_lag_s":12.0},
    "resources":{"cpu_share":0.16,"ram_mb":200.0,"fd_limit":4000},"skew_ms":25.0}})";
}

TEST (Settings, ValidOnesAreReadAndUnknownFieldsIgnored)
{
  std::string text = settings ();
  g_autoptr (GError) error = nullptr;
  g_autoptr (FtConfig) c = ft_config_parse (text.c_str (), text.size (), &error);
  ASSERT_NE (c, nullptr) << error->message;
  EXPECT_EQ (c->core.n_teams, 1u);
  EXPECT_EQ (c->core.txn_ops, 16u);
  EXPECT_EQ (c->core.value_kb, 8.0);
}

TEST (Settings, AnErrorNamesItsField)
{
  const std::vector<std::array<std::string, 3> > cases = {
    { "\"member\":\"hearth-0\"", "\"member\":7", "member" },
    { "10.0.0.1:8080", "10.0.0.1", "front" },
    { "10.2.0.2:8443", "cloud.example:8443", "services.cloud" },
    { "\"lease_s\":34.0", "\"lease_s\":-1", "settings.workers.lease_s" },
    { "\"cpus_max\":2.0", "\"cpus_max\":\"2\"", "settings.teams[0].cpus_max" },
    { "\"txn_ops\":16", "\"txn_ops\":16,\"next\":{\"txn_ops\":2}", "settings.state.next.txn_ops" },
    { "\"txn_ops\":16", "\"txn_ops\":16,\"next\":{\"value_kb\":\"2\"}", "settings.state.next.value_kb" },
    { "\"txn_ops\":16", "\"txn_ops\":16,\"next\":[]", "settings.state.next" },
    { "\"txn_ops\":16", "\"txn_ops\":2", "settings.state.txn_ops" },
  };
  for (const auto &[from, to, field] : cases) {
    std::string text = settings ();
    text.replace (text.find (from), from.size (), to);
    g_autoptr (GError) error = nullptr;
    EXPECT_EQ (ft_config_parse (text.c_str (), text.size (), &error), nullptr);
    ASSERT_NE (error, nullptr);
    EXPECT_NE (std::string (error->message).find (field), std::string::npos) << error->message;
  }
}

// ---- budgets ----

// Refused for the rate: half as much, and all of it again after a while.
TEST (Budget, ARefusalSlowsItDownForAWhile)
{
  FtBudget budget;
  ft_budget_init (&budget, 20, 20, 0);
  ft_budget_refused (&budget, 0);
  EXPECT_FALSE (ft_budget_has (&budget, 1, 0));
  EXPECT_TRUE (ft_budget_has (&budget, 1, kS / 5));
  for (int i = 0; i < 50; i++)
    ft_budget_refused (&budget, kS);
  EXPECT_TRUE (ft_budget_has (&budget, 1, 3 * kS)) << "never to a standstill";
  ft_budget_has (&budget, 1, 60 * kS);
  EXPECT_DOUBLE_EQ (budget.rate, 20);
}

TEST (Budget, KeepsItsRate)
{
  FtBudget b;
  ft_budget_init (&b, 10, 10, 0);
  guint passed = 0;
  for (gint64 now = 0; now < 10 * kS; now += kS / 100)
    if (ft_budget_has (&b, 1, now)) {
      ft_budget_take (&b, 1);
      passed++;
    }
  EXPECT_LE (passed, 110u);
  EXPECT_GE (passed, 105u);
}

// ---- operators' settings ----

TEST (Tuning, NodesThatDisagreeAboutTheLeaseTimeWaitForTheLonger)
{
  Lease l;
  ft_lease_set_times (l.lease, 3 * kS, kS, 0.25, 3);
  l.see (0, 4, "other", 10, 20, false, 12 * kS);
  EXPECT_FALSE (ft_lease_acquire_due (l.lease, 11 * kS));
  EXPECT_TRUE (ft_lease_acquire_due (l.lease, 13 * kS));
}

TEST (Tuning, AHolderCountsWithWhatItsRenewalWrote)
{
  Lease l;
  l.see (0, 0, nullptr, 0, 0);
  ft_lease_claim (l.lease, 0);
  ft_lease_acquired (l.lease, 0, 10);
  ft_lease_cancellations_known (l.lease, 9 * kS);
  ft_lease_set_times (l.lease, 18 * kS, kS, 0.25, 3);
  EXPECT_FALSE (ft_lease_may_start (l.lease, 10 * kS));
  ft_lease_renew_sent (l.lease, 8 * kS);
  ft_lease_set_times (l.lease, 30 * kS, kS, 0.25, 3);
  ft_lease_renewed (l.lease, 8 * kS);
  ft_lease_cancellations_known (l.lease, 24 * kS);
  EXPECT_TRUE (ft_lease_may_start (l.lease, 25 * kS));
  EXPECT_FALSE (ft_lease_may_start (l.lease, 26 * kS));
}

TEST (Tuning, CombinationsThatWeakenARuleAreRefused)
{
  sim::World w (1);
  FtTuning t;
  ft_tuning_defaults (&t);
  EXPECT_EQ (ft_tuning_check (&t, &w.settings), nullptr);
  t.lease_s = 25;
  g_autofree char *cancellations = ft_tuning_check (&t, &w.settings);
  EXPECT_NE (cancellations, nullptr);
  t.lease_s = 2;
  t.sweep_s = 1;
  t.renew_fraction = 2;
  EXPECT_EQ (ft_tuning_check (&t, &w.settings), nullptr);
  t.sweep_s = 3;
  g_autofree char *sweep = ft_tuning_check (&t, &w.settings);
  EXPECT_NE (sweep, nullptr);
}

TEST (Tuning, DefaultsLieWithinTheirRanges)
{
  guint n;
  const FtTuningInfo *all = ft_tuning_table (&n);
  for (guint i = 0; i < n; i++) {
    EXPECT_GE (all[i].standard, all[i].least) << all[i].name;
    EXPECT_LE (all[i].standard, all[i].most) << all[i].name;
    EXPECT_EQ (ft_tuning_find (all[i].name), &all[i]);
  }
}

} // namespace
