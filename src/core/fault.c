#include "core/fault.h"

#include "core/constants.h"
#include "core/job.h"

/* Remembers on how many different machines the job has failed, as far as it matters. */
static void
note_machine (FtJob *job, const FtMachine *machine)
{
  for (guint i = 0; i < job->n_failed_on; i++)
    if (job->failed_on[i] == machine)
      return;
  if (job->n_failed_on < FT_FAULTY_JOB_MACHINES)
    job->failed_on[job->n_failed_on++] = machine;
}

/* How long the attempt ran before it failed. */
static gint64
ran_for (const FtAttempt *attempt)
{
  return attempt->running ? attempt->machine->context->now - attempt->running_at : 0;
}

/* Tasks of the job do well on other machines: one has completed, or has run for longer than
 * any that failed did. */
static gboolean
does_well_elsewhere (const FtJob *job, const FtMachine *machine)
{
  if (ft_job_finished_tasks (job) > 0)
    return TRUE;
  GHashTableIter it;
  gpointer key;
  guint looked = 0;
  gint64 enough = job->longest_failed_run + ft_seconds (FT_FAULT_MARGIN_S);
  g_hash_table_iter_init (&it, job->attempts);
  while (looked++ < FT_FAULT_ATTEMPTS_MAX && g_hash_table_iter_next (&it, &key, NULL)) {
    const FtAttempt *other = key;
    if (other->bound && other->running && !ft_attempt_has_exited (other) && other->machine != machine
        && ran_for (other) > enough)
      return TRUE;
  }
  return FALSE;
}

/* Whether the job's failure is evidence of a fault of the machine. */
static gboolean
counts_against (const FtJob *job, const FtMachine *machine)
{
  if (does_well_elsewhere (job, machine))
    return TRUE;
  if (job->n_failed_on >= FT_FAULTY_JOB_MACHINES)
    return FALSE; /* the mistake is in the job, for all that is known */
  return machine->fitness.last_failed != job->revision;
}

static gboolean
is_quarantined (const FtMachine *machine)
{
  return machine->fitness.quarantined;
}

/* Bounds the harm of a wrong judgement: most machines always stay in use. */
static gboolean
may_quarantine_one_more (const FtMachineTable *table)
{
  guint quarantined = ft_machine_table_count (table, is_quarantined);
  return quarantined < MAX (FT_QUARANTINE_MIN, FT_QUARANTINE_SHARE * g_hash_table_size (table->machines));
}

void
ft_fault_task_failed (const FtMachineTable *table, const FtAttempt *attempt)
{
  FtJob *job = attempt->job;
  FtMachine *machine = attempt->machine;
  job->longest_failed_run = MAX (job->longest_failed_run, ran_for (attempt));
  note_machine (job, machine);
  if (counts_against (job, machine))
    machine->fitness.faults++;
  machine->fitness.last_failed = job->revision;
  if (machine->fitness.quarantined || !ft_fault_is_faulty (machine) || !may_quarantine_one_more (table))
    return;
  machine->fitness.quarantined = TRUE;
  g_warning ("machine %s: quarantined (faulty: %u tasks in a row failed on it, not by their own mistake)",
             machine->name, machine->fitness.faults);
}

void
ft_fault_task_completed (FtMachine *machine)
{
  machine->fitness.faults = 0;
  machine->fitness.last_failed = 0;
}

gboolean
ft_fault_is_faulty (const FtMachine *machine)
{
  return machine->fitness.faults >= FT_QUARANTINE_FAULTS;
}
