// Unit tests of the recovery: its states, and the machines that it waits for.
#include "core_state.hpp"

extern "C" {
#include "core/recovery.h"
}

namespace {

class RecoveryModule : public testing::Test, protected CoreState {
protected:
  FtRecovery recovery{};
  void
  SetUp () override
  {
    ft_recovery_init (&recovery, &context, &machine_table, &job_table);
  }
  void
  reconcile (FtMachine *machine)
  {
    ft_machine_set_reconciled (machine);
    ft_recovery_machine_reconciled (&recovery, machine);
  }
  double
  unreconciled_cpus ()
  {
    double cpus = -1, gpus = -1;
    ft_recovery_unreconciled_capacity (&recovery, &cpus, &gpus);
    return cpus;
  }
};

TEST_F (RecoveryModule, CapacityOfUnreconciledMachinesIsUnknownAndRecoveryDoesNotEndWhileRowsAreRead)
{
  FtJob *job = add_job (new_job_spec ("req-1", 2), FT_TASK_UNKNOWN);
  EXPECT_FALSE (ft_recovery_is_loaded (&recovery));
  EXPECT_EQ (unreconciled_cpus (), FT_CAPACITY_UNKNOWN);
  ft_recovery_tick (&recovery);
  EXPECT_EQ (recovery.state, FT_RECOVERY_LOADING);
  EXPECT_EQ (job->counts[FT_TASK_UNKNOWN], 2u);
}

TEST_F (RecoveryModule, RecoveryWaitsForEachMachineAndThenQueuesTasksThatNoMachineReported)
{
  FtJob *job = add_job (new_job_spec ("req-1", 2), FT_TASK_UNKNOWN);
  FtMachine *first = add_machine ("n-1"), *second = add_machine ("n-2");
  ft_recovery_loaded (&recovery);
  EXPECT_EQ (recovery.state, FT_RECOVERY_RECONCILING);
  EXPECT_EQ (unreconciled_cpus (), 16);
  reconcile (first);
  reconcile (first);
  EXPECT_EQ (unreconciled_cpus (), 8) << "a machine was subtracted twice";
  ft_recovery_tick (&recovery);
  EXPECT_EQ (recovery.state, FT_RECOVERY_RECONCILING);
  EXPECT_EQ (job->counts[FT_TASK_UNKNOWN], 2u);
  ft_task_set_state (job, 0, FT_TASK_RUNNING); // the second machine reports that this task runs
  reconcile (second);
  context.placement_due = FALSE;
  ft_recovery_tick (&recovery);
  EXPECT_TRUE (ft_recovery_is_done (&recovery));
  EXPECT_TRUE (context.placement_due);
  EXPECT_EQ (job->tasks[0].state, FT_TASK_RUNNING);
  EXPECT_EQ (job->tasks[1].state, FT_TASK_QUEUED);
  EXPECT_EQ (unreconciled_cpus (), 0);
}

TEST_F (RecoveryModule, UnknownTasksOfACancelledJobAreCancelledAtTheEndOfTheRecovery)
{
  FtJob *job = add_job (new_job_spec ("req-1", 2), FT_TASK_UNKNOWN);
  ft_job_table_cancel (&job_table, job, context.now);
  ft_recovery_loaded (&recovery);
  EXPECT_EQ (job->counts[FT_TASK_UNKNOWN], 2u);
  ft_recovery_tick (&recovery);
  EXPECT_EQ (job->counts[FT_TASK_CANCELLED], 2u);
}

TEST_F (RecoveryModule, RecoveryThatIsDoneNeverStartsAgain)
{
  ft_recovery_loaded (&recovery);
  ft_recovery_tick (&recovery);
  ASSERT_TRUE (ft_recovery_is_done (&recovery));
  FtMachine *late = add_machine ("n-1");
  ft_recovery_loaded (&recovery);
  ft_recovery_recount (&recovery);
  ft_recovery_tick (&recovery);
  EXPECT_TRUE (ft_recovery_is_done (&recovery));
  EXPECT_EQ (unreconciled_cpus (), 0);
  EXPECT_FALSE (late->counted_unreconciled);
}

TEST_F (RecoveryModule, CapacityOfUnreconciledMachinesIsUnknownUntilTheTypeOfEachMachineIsKnown)
{
  FtMachine *machine = add_machine ("n-1", "large");
  ft_recovery_loaded (&recovery);
  EXPECT_EQ (unreconciled_cpus (), FT_CAPACITY_UNKNOWN);
  add_type ("large", 64);
  ft_machine_table_catalog_changed (&machine_table);
  ft_recovery_recount (&recovery);
  EXPECT_EQ (unreconciled_cpus (), 64);
  reconcile (machine);
  EXPECT_EQ (recovery.unreconciled, 0u);
  EXPECT_EQ (unreconciled_cpus (), 0);
}

} // namespace
