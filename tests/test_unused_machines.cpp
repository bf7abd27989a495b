// What operators see of machines that get no new work: the reason of each, and their number.
#include <functional>

#include "start_in_doubt.hpp"

namespace {

// The reason that flintctl shows for the machine n-1.
std::string
unused_because (SchedulerHarness &harness)
{
  std::string reason = "no machine n-1";
  ft_scheduler_each_machine (
      harness.scheduler,
      [] (const char *name, const char *, const char *, const char *, gboolean, guint64, guint, const char *why,
          gpointer data) {
        if (std::string (name) == "n-1")
          *(std::string *) data = why;
      },
      &reason);
  return reason;
}

// Guards against reasons that operators cannot tell apart: a machine with a start in doubt was shown as one on which
// tasks failed, and all reasons in messages were shown as "not up".
TEST (UnusedMachines, EachReasonHasATextOfItsOwn)
{
  const std::vector<std::pair<std::function<void (FtMachine *)>, const char *> > cases = {
    { [] (FtMachine *) {}, "" },
    { [] (FtMachine *machine) { machine->fitness.drained = TRUE; }, "drained by an operator" },
    { [] (FtMachine *machine) { ft_machine_set_quarantined (machine, FT_QUARANTINED_FAULTY, TRUE); },
      "tasks failed on it that were not to blame" },
    { [] (FtMachine *machine) { ft_machine_set_quarantined (machine, FT_QUARANTINED_START_IN_DOUBT, TRUE); },
      "a cancelled start may still be executed on it" },
    { [] (FtMachine *machine) { machine->notice_until = 200 * kS; }, "the cloud takes it back" },
    { [] (FtMachine *machine) { machine->reconciled = FALSE; }, "not heard from since the takeover" },
    { [] (FtMachine *machine) { ft_machine_set_state (machine, FT_MACHINE_SILENT, "test"); }, "not up" },
    { [] (FtMachine *machine) { machine->registered = FALSE; }, "not yet in the roster" },
    { [] (FtMachine *machine) { machine->type = nullptr; }, "its type is not in the cloud's catalog" },
    { [] (FtMachine *machine) { machine->expired_incarnation = machine->incarnation; },
      "its worker lease has run out" },
    { [] (FtMachine *machine) { machine->reachability.acknowledged_token = FALSE; },
      "it has not acknowledged the leader's token" },
    { [] (FtMachine *machine) { machine->reachability.not_receiving_since = 100 * kS; },
      "it does not receive our answers" },
    { [] (FtMachine *machine) { machine->reachability.last_heartbeat_at = 1; }, "its heartbeats reach no controller" },
    { [] (FtMachine *machine) { machine->reachability.last_status_at = 1; }, "its heartbeat is overdue" },
  };
  for (const auto &[make_unused, text] : cases) {
    OneMachine harness;
    make_unused (harness.machine ("n-1"));
    EXPECT_EQ (unused_because (harness), text);
    EXPECT_EQ (ft_machine_usable (harness.machine ("n-1")), *text == '\0') << text;
  }
}

// Guards against a machine that is neither used nor returned: no job can use a type that the catalog does not offer.
TEST (UnusedMachines, IdleMachineOfAnUnknownTypeIsTerminated)
{
  OneMachine harness;
  g_autoptr (FtCatalog) other = ft_catalog_new ();
  auto type = g_new0 (FtMachineType, 1);
  type->name = g_strdup ("other");
  type->cpus = type->memory_gb = 8;
  g_ptr_array_add (other->types, type);
  ft_scheduler_set_catalog (harness.scheduler, other);
  guint64 sequence = 1;
  gint64 now = 100 * kS;
  for (; now <= 100 * kS + (gint64) (FT_UNKNOWN_TYPE_SCALE_IN_S * kS); now += kS) {
    g_autoptr (GArray) none = harness.exchange (now, ++sequence);
    ft_scheduler_tick (harness.scheduler, now, TRUE);
  }
  EXPECT_EQ (harness.machine ("n-1")->state, FT_MACHINE_UP);
  ft_scheduler_tick (harness.scheduler, now, TRUE);
  EXPECT_EQ (harness.machine ("n-1")->state, FT_MACHINE_TERMINATING);
}

TEST (UnusedMachines, AreCountedAmongTheMachinesThatAreUp)
{
  StartInDoubt harness;
  harness.machine_up (harness.now, 1, "n-2");
  FtMachineCounts before = ft_scheduler_count_machines (harness.scheduler);
  EXPECT_EQ (before.up, 2u);
  EXPECT_EQ (before.unused, 0u);
  EXPECT_EQ (before.quarantined, 0u);
  harness.run_until_quarantined ();
  harness.machine_up (harness.now, 2, "n-2");
  FtMachineCounts after = ft_scheduler_count_machines (harness.scheduler);
  EXPECT_EQ (after.up, 2u);
  EXPECT_EQ (after.unused, 1u);
  EXPECT_EQ (after.quarantined, 1u);
  EXPECT_EQ (unused_because (harness), "a cancelled start may still be executed on it");
}

} // namespace
