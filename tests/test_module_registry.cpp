// Unit tests of the machine registry: the states of its rows, and when each row is written.
#include "core_state.hpp"

#include <set>

extern "C" {
#include "core/registry.h"
}

namespace {

class RegistryModule : public testing::Test, protected CoreState {
protected:
  FtRegistry registry{};
  void
  SetUp () override
  {
    ft_registry_init (&registry, &context, &machine_table);
  }
  void
  TearDown () override
  {
    ft_registry_clear (&registry);
  }
  FtMachine *
  add_to_registry (const char *name)
  {
    FtMachine *machine = add_machine (name);
    ft_registry_add (&registry, machine);
    return machine;
  }
  GPtrArray *
  collect_writes (guint max_rows = 10)
  {
    GPtrArray *writes = g_ptr_array_new_with_free_func ((GDestroyNotify) ft_write_free);
    ft_registry_collect_writes (&registry, writes, max_rows);
    return writes;
  }
  void
  finish (const GPtrArray *writes, gboolean applied)
  {
    for (guint i = 0; i < writes->len; i++)
      ft_registry_write_finished (&registry, write_at (writes, i), applied);
  }
};

std::set<std::string>
names (const FtWrite *write)
{
  std::set<std::string> all;
  for (guint i = 0; i < write->machines->len; i++)
    all.insert (g_array_index (write->machines, FtListedMachine, i).name);
  return all;
}

TEST_F (RegistryModule, MachineIsNotRegisteredBeforeItsRowIsCommitted)
{
  FtMachine *machine = add_to_registry ("n-1");
  EXPECT_EQ (machine->row->state, FT_REGISTRY_ROW_QUEUED);
  g_autoptr (GPtrArray) writes = collect_writes ();
  ASSERT_EQ (writes->len, 1u);
  EXPECT_EQ (write_at (writes, 0)->kind, FT_WRITE_REGISTRY_ROW);
  EXPECT_EQ (machine->row->state, FT_REGISTRY_ROW_WRITING);
  EXPECT_FALSE (machine->registered);
  context.placement_due = FALSE;
  finish (writes, TRUE);
  EXPECT_EQ (machine->row->state, FT_REGISTRY_ROW_IDLE);
  EXPECT_TRUE (machine->registered);
  EXPECT_TRUE (context.placement_due);
  g_autoptr (GPtrArray) none = collect_writes ();
  EXPECT_EQ (none->len, 0u);
}

TEST_F (RegistryModule, RowThatChangesWhileItIsWrittenIsWrittenAgain)
{
  FtMachine *first = add_to_registry ("n-1");
  g_autoptr (GPtrArray) writes = collect_writes ();
  FtMachine *second = add_to_registry ("n-2");
  ASSERT_EQ (second->row, first->row);
  EXPECT_EQ (first->row->state, FT_REGISTRY_ROW_WRITING_QUEUED);
  g_autoptr (GPtrArray) none = collect_writes ();
  EXPECT_EQ (none->len, 0u) << "a row is in one batch at a time";
  finish (writes, TRUE);
  EXPECT_EQ (first->row->state, FT_REGISTRY_ROW_QUEUED);
  EXPECT_TRUE (first->registered);
  EXPECT_FALSE (second->registered);
  g_autoptr (GPtrArray) again = collect_writes ();
  ASSERT_EQ (again->len, 1u);
  EXPECT_EQ (names (write_at (again, 0)), (std::set<std::string>{ "n-1", "n-2" }));
  finish (again, TRUE);
  EXPECT_TRUE (second->registered);
}

TEST_F (RegistryModule, RowOfAFailedWriteIsQueuedAgainOnlyOnce)
{
  FtMachine *machine = add_to_registry ("n-1");
  for (bool changed_meanwhile : { false, true }) {
    g_autoptr (GPtrArray) writes = collect_writes ();
    ASSERT_EQ (writes->len, 1u);
    if (changed_meanwhile)
      add_to_registry ("n-2");
    finish (writes, FALSE);
    EXPECT_EQ (machine->row->state, FT_REGISTRY_ROW_QUEUED);
    EXPECT_EQ (g_queue_get_length (&registry.pending_rows), 1u);
    EXPECT_FALSE (machine->registered);
  }
  g_autoptr (GPtrArray) again = collect_writes ();
  ASSERT_EQ (again->len, 1u);
  EXPECT_EQ (names (write_at (again, 0)), (std::set<std::string>{ "n-1", "n-2" }));
}

TEST_F (RegistryModule, MachineRemovedWhileItsRowIsWrittenIsNotRegistered)
{
  FtMachine *machine = add_to_registry ("n-1");
  g_autoptr (GPtrArray) writes = collect_writes ();
  ft_registry_remove (&registry, machine);
  finish (writes, TRUE);
  EXPECT_FALSE (machine->registered);
  EXPECT_EQ (machine->row, nullptr);
}

TEST_F (RegistryModule, EmptyRowIsDeletedAfterADelayAndFreedOnceTheDeletionIsCommitted)
{
  FtMachine *machine = add_machine ("n-1");
  ft_registry_load_entry (&registry, "old-0", machine);
  EXPECT_TRUE (machine->registered);
  ft_machine_table_set_drained (&machine_table, "n-1", TRUE);
  ft_registry_remove (&registry, machine);
  EXPECT_STREQ ((const char *) g_queue_peek_head (&registry.drain_deletions), "n-1");
  g_autoptr (GPtrArray) none = collect_writes ();
  EXPECT_EQ (none->len, 0u) << "removals are delayed, so that many are written together";
  context.now += ft_seconds (FT_REGISTRY_DELETE_AFTER_S);
  for (bool applied : { false, true }) {
    g_autoptr (GPtrArray) writes = collect_writes ();
    ASSERT_EQ (writes->len, 1u);
    EXPECT_EQ (write_at (writes, 0)->kind, FT_WRITE_REGISTRY_ROW_DELETE);
    EXPECT_STREQ (write_at (writes, 0)->name, "old-0");
    EXPECT_TRUE (g_hash_table_contains (registry.rows, "old-0"));
    finish (writes, applied);
  }
  EXPECT_FALSE (g_hash_table_contains (registry.rows, "old-0"));
}

TEST_F (RegistryModule, OversizedRowIsDeletedOnlyAfterNewRowsNameAllItsMachines)
{
  std::set<std::string> expected, named;
  for (int i = 0; i < 20; i++) {
    std::string name = "n-" + std::to_string (i);
    ft_registry_load_entry (&registry, "old-0", add_machine (name.c_str ()));
    expected.insert (name);
  }
  FtMachine *gone = ft_machine_table_find (&machine_table, "n-7");
  ft_registry_remove (&registry, gone);
  expected.erase ("n-7");
  context.now += ft_seconds (FT_REGISTRY_DELETE_AFTER_S);
  for (guint batch = 0; named != expected; batch++) {
    ASSERT_LT (batch, 10u);
    g_autoptr (GPtrArray) writes = collect_writes (1);
    ASSERT_EQ (writes->len, 1u);
    EXPECT_EQ (write_at (writes, 0)->kind, FT_WRITE_REGISTRY_ROW)
        << "the old row was deleted before new rows name all its machines";
    EXPECT_STRNE (write_at (writes, 0)->name, "old-0");
    std::set<std::string> more = names (write_at (writes, 0));
    EXPECT_LE (more.size (), 10u) << "the row names more machines than fit into a value of 1 KiB";
    bool applied = batch > 0; // the first write fails, so only the old row names its machines
    if (applied)
      named.insert (more.begin (), more.end ());
    finish (writes, applied);
  }
  g_autoptr (GPtrArray) rest = collect_writes ();
  ASSERT_EQ (rest->len, 1u);
  EXPECT_EQ (write_at (rest, 0)->kind, FT_WRITE_REGISTRY_ROW_DELETE);
  EXPECT_STREQ (write_at (rest, 0)->name, "old-0");
}

} // namespace
