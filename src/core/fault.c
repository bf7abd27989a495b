#include "core/fault.h"

#include "core/constants.h"
#include "core/job.h"

/* Adds the machine to those on which the job has failed, of which FT_FAULTY_JOB_MACHINES are recorded at most. */
static void
record_failed_machine (FtJob *job, const FtMachine *machine)
{
  for (guint i = 0; i < job->n_failed_on; i++)
    if (job->failed_on[i] == machine)
      return;
  if (job->n_failed_on < FT_FAULTY_JOB_MACHINES)
    job->failed_on[job->n_failed_on++] = machine;
}

/* Returns how long the task has run in this attempt, in microseconds. */
static gint64
run_time (const FtAttempt *attempt)
{
  return attempt->running ? attempt->machine->context->now - attempt->running_at : 0;
}

/* Returns whether tasks of the job succeed on other machines: a task has completed, or a task on another machine has
 * run longer than every failed task of the job, by FT_FAULT_MARGIN_S. */
static gboolean
succeeds_elsewhere (const FtJob *job, const FtMachine *machine)
{
  if (ft_job_finished_tasks (job) > 0)
    return TRUE;
  GHashTableIter it;
  gpointer key;
  guint examined = 0;
  gint64 required_run = job->longest_failed_run + ft_seconds (FT_FAULT_MARGIN_S);
  g_hash_table_iter_init (&it, job->attempts);
  while (examined++ < FT_FAULT_ATTEMPTS_MAX && g_hash_table_iter_next (&it, &key, NULL)) {
    const FtAttempt *other = key;
    if (other->bound && other->running && !ft_attempt_has_exited (other) && other->machine != machine
        && run_time (other) > required_run)
      return TRUE;
  }
  return FALSE;
}

/* Returns whether a failure of the job on the machine counts against the machine. */
static gboolean
counts_against_machine (const FtJob *job, const FtMachine *machine)
{
  if (succeeds_elsewhere (job, machine))
    return TRUE;
  if (job->n_failed_on >= FT_FAULTY_JOB_MACHINES)
    return FALSE; /* the job fails on every machine: the mistake is probably in the job */
  return machine->fitness.last_failed != job->revision;
}

/* Returns whether enough failures count against the machine to quarantine it. */
static gboolean
is_faulty (const FtMachine *machine)
{
  return machine->fitness.faults >= FT_QUARANTINE_FAULTS;
}

/* Returns whether another machine may be quarantined. Most machines must stay in use even if the detection is wrong. */
static gboolean
may_quarantine_one_more (const FtMachineTable *table)
{
  guint quarantined = ft_machine_table_count (table, ft_machine_is_quarantined);
  return quarantined < MAX (FT_QUARANTINE_MIN, FT_QUARANTINE_SHARE * g_hash_table_size (table->machines));
}

void
ft_fault_task_failed (const FtMachineTable *table, const FtAttempt *attempt)
{
  FtJob *job = attempt->job;
  FtMachine *machine = attempt->machine;
  job->longest_failed_run = MAX (job->longest_failed_run, run_time (attempt));
  record_failed_machine (job, machine);
  if (counts_against_machine (job, machine))
    machine->fitness.faults++;
  machine->fitness.last_failed = job->revision;
  if (!is_faulty (machine) || !(ft_machine_is_quarantined (machine) || may_quarantine_one_more (table)))
    return;
  if (ft_machine_set_quarantined (machine, FT_QUARANTINED_FAULTY, TRUE))
    g_warning ("machine %s: quarantined (faulty: %u task failures in a row count against the machine)", machine->name,
               machine->fitness.faults);
}

void
ft_fault_task_completed (FtMachine *machine)
{
  machine->fitness.faults = 0;
  machine->fitness.last_failed = 0;
}
