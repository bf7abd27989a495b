// The machine registry, whose rows name every machine that may have been sent a command.
#include "scheduler_harness.hpp"

#include <set>

extern "C" {
#include "wire/store.h"
}

namespace {

TEST (Registry, RowIsRewrittenAndDeletedAsItsMachinesAreRemoved)
{
  SchedulerHarness harness;
  ft_scheduler_load_machine (harness.scheduler, "row-1", "n-1", "10.1.0.1:9000", "std", "a", FALSE);
  ft_scheduler_load_machine (harness.scheduler, "row-1", "n-2", "10.1.0.2:9000", "std", "a", FALSE);
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  auto commit_rows = [&] (gint64 now) {
    std::string text;
    g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (harness.scheduler, 11, TRUE, now);
    for (guint i = 0; i < writes->len; i++) {
      auto write = (FtWrite *) g_ptr_array_index (writes, i);
      text += std::string (write->kind == FT_WRITE_REGISTRY_ROW ? "put " : "drop ") + write->name;
      for (guint k = 0; k < write->machines->len; k++)
        text += std::string (" ") + g_array_index (write->machines, FtListedMachine, k).name;
    }
    ft_scheduler_writes_committed (harness.scheduler, writes, now);
    return text;
  };
  EXPECT_EQ (commit_rows (100 * kS), "");
  auto remove
      = [&] (const char *name) { ft_scheduler_machine_gone (harness.scheduler, harness.machine (name), "returned"); };
  remove ("n-2");
  EXPECT_EQ (commit_rows (102 * kS), "put row-1 n-1");
  EXPECT_EQ (commit_rows (103 * kS), "");
  remove ("n-1");
  EXPECT_EQ (commit_rows (105 * kS), "drop row-1");
  EXPECT_EQ (commit_rows (107 * kS), "");
}

// Guards against one row for each machine: on deployments with many machines, the store's value limit was not read,
// and the leader could not keep up with writing one row for each machine.
TEST (Registry, OneRowNamesAsManyMachinesAsAValueHolds)
{
  SchedulerHarness harness;
  harness.world.settings.value_kb = 8;
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  for (int i = 0; i < 50; i++) {
    g_autoptr (FtWorkerHeartbeat) heartbeat = harness.new_heartbeat (1, 1, 3);
    g_free (heartbeat->machine);
    heartbeat->machine = g_strdup_printf ("n-%06d", i);
    ft_scheduler_heartbeat (harness.scheduler, heartbeat, 100 * kS);
  }
  g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (harness.scheduler, 11, TRUE, 100 * kS);
  ASSERT_EQ (writes->len, 1u);
  EXPECT_EQ (((FtWrite *) g_ptr_array_index (writes, 0))->machines->len, 50u);
  ft_scheduler_writes_committed (harness.scheduler, writes, 100 * kS);
}

// A row "old-0" that was written under a larger value limit than the present 2 KiB.
class OversizedRow : public testing::Test {
protected:
  static constexpr guint kMachines = 60;
  SchedulerHarness harness;
  void
  SetUp () override
  {
    harness.world.settings.value_kb = 2;
    for (guint i = 0; i < kMachines; i++)
      load ("old-0", i);
    ft_scheduler_loaded (harness.scheduler, 100 * kS);
  }
  static std::string
  name (guint i)
  {
    g_autofree char *text = g_strdup_printf ("n-%06u", i);
    return text;
  }
  void
  load (const char *row, guint i)
  {
    ft_scheduler_load_machine (harness.scheduler, row, name (i).c_str (), "10.1.0.1:9000", "std", "a", FALSE);
  }
  void
  remove (guint i)
  {
    ft_scheduler_machine_gone (harness.scheduler, harness.machine (name (i).c_str ()), "test");
  }
  std::map<std::string, std::set<std::string> > stored; // id of each row in the store -> names of its machines
  guint batches = 0;
  // Commits all writes that are due, and checks after each batch that the rows in the store name every machine.
  void
  commit_all (gint64 now)
  {
    for (;;) {
      g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (harness.scheduler, 3, TRUE, now);
      if (writes->len == 0)
        return;
      ASSERT_LT (batches++, 100u) << "the writes do not end";
      for (guint i = 0; i < writes->len; i++)
        apply ((const FtWrite *) g_ptr_array_index (writes, i));
      ft_scheduler_writes_committed (harness.scheduler, writes, now);
      expect_all_named ();
    }
  }
  static size_t
  value_size (const FtWrite *write)
  {
    json_t *txn = ft_txn_new ();
    ft_txn_add_write (txn, write, 0);
    const json_t *change = json_array_get (json_object_get (txn, "apply"), 0);
    size_t size = json_dumpb (json_object_get (change, "data"), nullptr, 0, 0);
    json_decref (txn);
    return size;
  }
  void
  apply (const FtWrite *write)
  {
    if (write->kind == FT_WRITE_REGISTRY_ROW_DELETE)
      stored.erase (write->name);
    if (write->kind != FT_WRITE_REGISTRY_ROW)
      return;
    std::set<std::string> names;
    for (guint i = 0; i < write->machines->len; i++)
      names.insert (g_array_index (write->machines, FtListedMachine, i).name);
    EXPECT_LE (value_size (write), 2048u);
    stored[write->name] = names;
  }
  void
  expect_all_named ()
  {
    std::set<std::string> named;
    for (const auto &[row, names] : stored)
      named.insert (names.begin (), names.end ());
    for (const FtMachine *machine : harness.machines ())
      ASSERT_TRUE (machine->state == FT_MACHINE_GONE || named.count (machine->name))
          << machine->name << " is named by no row";
  }
};

TEST_F (OversizedRow, IsNotRewrittenWhileItDoesNotChange)
{
  g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (harness.scheduler, 3, TRUE, 200 * kS);
  EXPECT_EQ (writes->len, 0u);
}

TEST_F (OversizedRow, IsSplitOnceAMachineIsRemovedAndRowsAlwaysNameEveryMachine)
{
  for (guint i = 0; i < kMachines; i++)
    stored["old-0"].insert (name (i));
  remove (17);
  commit_all (110 * kS);
  EXPECT_EQ (stored.count ("old-0"), 0u);
  EXPECT_GE (stored.size (), 4u);
  remove (3); // its row is within the limit
  commit_all (120 * kS);
  std::set<std::string> named;
  for (const auto &[row, names] : stored)
    named.insert (names.begin (), names.end ());
  EXPECT_EQ (named.size (), kMachines - 2u);
  EXPECT_EQ (named.count (name (3)), 0u);
}

// Machines are removed and a batch fails while the row is being split.
TEST_F (OversizedRow, IsSplitDespiteRemovedMachinesAndFailedBatches)
{
  for (guint i = 0; i < kMachines; i++)
    stored["old-0"].insert (name (i));
  remove (17);
  g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (harness.scheduler, 3, TRUE, 110 * kS);
  ASSERT_GT (writes->len, 0u);
  ft_scheduler_writes_failed (harness.scheduler, writes, nullptr, 110 * kS);
  for (guint i = 20; i < 40; i++)
    remove (i);
  commit_all (120 * kS);
  EXPECT_EQ (stored.count ("old-0"), 0u);
}

// Two rows name the machine, since a former leader did not finish a split. The machine is loaded once, and the second
// row is deleted.
TEST_F (OversizedRow, MachineNamedByTwoRowsIsLoadedOnce)
{
  SchedulerHarness other;
  other.world.settings.value_kb = 2;
  for (const char *row : { "7-0", "old-0" })
    ft_scheduler_load_machine (other.scheduler, row, "n-1", "10.1.0.1:9000", "std", "a", FALSE);
  ft_scheduler_loaded (other.scheduler, 100 * kS);
  g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (other.scheduler, 3, TRUE, 110 * kS);
  ASSERT_EQ (writes->len, 1u);
  auto write = (const FtWrite *) g_ptr_array_index (writes, 0);
  EXPECT_EQ (write->kind, FT_WRITE_REGISTRY_ROW_DELETE);
  EXPECT_STREQ (write->name, "old-0");
}

// The store refuses batches as invalid, since its value limit has fallen without notice. Rows are written smaller, and
// split if they are too large.
TEST_F (OversizedRow, RefusalOfABatchAsInvalidMakesRowsSmaller)
{
  SchedulerHarness other;
  other.world.settings.value_kb = 8;
  ft_scheduler_loaded (other.scheduler, 100 * kS);
  for (guint i = 0; i < 50; i++)
    other.machine_up (100 * kS, 1, name (i).c_str ());
  FtRegistryRow *row = other.machine (name (0).c_str ())->row;
  EXPECT_EQ (row->machines->len, 50u);
  for (int i = 0; i < 4; i++)
    ft_scheduler_lower_value_limit (other.scheduler); // halves the limit, down to 1 KiB at the least
  ft_scheduler_machine_gone (other.scheduler, other.machine (name (1).c_str ()), "test");
  for (gint64 at = 110; at < 130; at++)
    other.commit_writes (at * kS);
  for (guint i = 2; i < 50; i++)
    EXPECT_LE (other.machine (name (i).c_str ())->row->machines->len, 9u);
}

// Even if a transaction holds few changes, the ends of jobs must not wait until the registry rows of all machines of a
// growing fleet are written.
TEST (Registry, RowsAreWrittenOnlyInEveryOtherBatchWhileOtherWritesWait)
{
  SchedulerHarness harness;
  harness.world.settings.value_kb = 1;
  ft_scheduler_loaded (harness.scheduler, 100 * kS);
  harness.machine_up (100 * kS);
  ft_scheduler_job_added (harness.scheduler, new_job_spec ("req-1", 1), 5, 101 * kS, 0);
  ft_scheduler_job_cancelled (harness.scheduler, "req-1", 0, 102 * kS);
  for (guint i = 0; i < 200; i++) {
    g_autofree char *name = g_strdup_printf ("m-%06u", i);
    g_autoptr (FtWorkerHeartbeat) heartbeat = harness.new_heartbeat (1, 1, 3, name);
    ASSERT_TRUE (ft_scheduler_heartbeat (harness.scheduler, heartbeat, 102 * kS));
  }
  for (int batch = 0; batch < 2; batch++) {
    g_autoptr (GPtrArray) writes = ft_scheduler_next_writes (harness.scheduler, 3, TRUE, 103 * kS);
    ft_scheduler_writes_committed (harness.scheduler, writes, 103 * kS);
  }
  EXPECT_EQ (harness.job ("req-1"), nullptr) << "the end of the job waited for the registry";
}

} // namespace
