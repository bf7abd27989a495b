#include "core/fault.h"

#include "core/constants.h"

/* Remembers on how many different machines the job has failed, as far as it matters. */
static void
note_machine (FtJob *job, const FtMachine *machine)
{
  for (guint i = 0; i < job->n_failed_on; i++)
    if (job->failed_on[i] == machine)
      return;
  if (job->n_failed_on < FT_MISTAKEN_MACHINES)
    job->failed_on[job->n_failed_on++] = machine;
}

/* How long the attempt ran before it failed. */
static gint64
ran_for (const FtScheduler *scheduler, const FtAttempt *attempt)
{
  return attempt->running ? scheduler->context.now - attempt->running_at : 0;
}

/* Tasks of the job do well on other machines: one has completed, or runs for longer than
 * any that failed did. */
static gboolean
does_well_elsewhere (const FtScheduler *scheduler, const FtJob *job, const FtMachine *machine)
{
  if (ft_job_finished (job) > 0)
    return TRUE;
  GHashTableIter it;
  gpointer key;
  guint looked = 0;
  gint64 enough = job->failed_after + (gint64) (FT_FAULT_MARGIN_S * FT_SECOND);
  g_hash_table_iter_init (&it, job->attempts);
  while (looked++ < FT_FAULT_ATTEMPTS && g_hash_table_iter_next (&it, &key, NULL)) {
    const FtAttempt *other = key;
    if (other->bound && other->running && !other->exited && other->machine != machine
        && ran_for (scheduler, other) > enough)
      return TRUE;
  }
  return FALSE;
}

static gboolean
counts_against (const FtScheduler *scheduler, const FtJob *job, const FtMachine *machine)
{
  if (does_well_elsewhere (scheduler, job, machine))
    return TRUE;
  if (job->n_failed_on >= FT_MISTAKEN_MACHINES)
    return FALSE; /* the mistake is in the job, for all that is known */
  return machine->last_failed != job->revision;
}

/* Whatever goes wrong, most machines stay in use. */
static gboolean
may_shun_one_more (const FtScheduler *scheduler)
{
  guint shunned = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, scheduler->machine_table.machines);
  while (g_hash_table_iter_next (&it, NULL, &value))
    shunned += ((const FtMachine *) value)->quarantined;
  return shunned < MAX (FT_QUARANTINE_MIN, FT_QUARANTINE_SHARE * g_hash_table_size (scheduler->machine_table.machines));
}

void
ft_fault_task_failed (FtScheduler *scheduler, const FtAttempt *attempt)
{
  FtJob *job = attempt->job;
  FtMachine *machine = attempt->machine;
  job->failed_after = MAX (job->failed_after, ran_for (scheduler, attempt));
  note_machine (job, machine);
  if (counts_against (scheduler, job, machine))
    machine->faults++;
  machine->last_failed = job->revision;
  if (machine->quarantined || !ft_fault_proven (machine) || !may_shun_one_more (scheduler))
    return;
  machine->quarantined = TRUE;
  g_warning ("machine %s: faulty, %u tasks failed on it that were not to blame", machine->name, machine->faults);
}

void
ft_fault_task_completed (FtMachine *machine)
{
  machine->faults = 0;
  machine->last_failed = 0;
}

gboolean
ft_fault_proven (const FtMachine *machine)
{
  return machine->faults >= FT_FAULTS;
}
