#include "core/start_in_doubt.h"

#include "core/constants.h"
#include "core/job.h"

/* The attempts on a machine, as far as starts in doubt are concerned. */
typedef struct {
  guint in_doubt;          /* attempts whose start is in doubt */
  double age_s;            /* time since the oldest of them was placed; 0: there is none */
  gboolean has_other_work; /* another attempt has not exited, or has a result that is not committed */
} StartsInDoubt;

static StartsInDoubt
examine_attempts (const FtMachine *machine)
{
  StartsInDoubt starts = { 0 };
  GHashTableIter it;
  gpointer value;
  if (!machine->fitness.start_unanswered)
    return starts; /* this holds for nearly all machines, so that their attempts are not examined */
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    if (ft_attempt_start_in_doubt (attempt)) {
      starts.in_doubt++;
      starts.age_s = MAX (starts.age_s, (double) (machine->context->now - attempt->placed_at) / FT_SECOND);
    } else {
      starts.has_other_work |= !ft_attempt_has_exited (attempt) || attempt->bound;
    }
  }
  return starts;
}

/* Quarantines the machine while a start has been in doubt for too long, and no longer: the doubt ends when a status
 * shows the attempt, or when the incarnation is over. */
static void
update_quarantine (FtMachine *machine, const StartsInDoubt *starts)
{
  gboolean overdue = starts->age_s > FT_START_IN_DOUBT_QUARANTINE_S;
  if (!ft_machine_set_quarantined (machine, FT_QUARANTINED_START_IN_DOUBT, overdue))
    return;
  if (overdue)
    g_warning ("machine %s: quarantined (%u cancelled starts got no answer and may still be executed)", machine->name,
               starts->in_doubt);
  else
    g_message ("machine %s: quarantine ended (no cancelled start is in doubt)", machine->name);
}

gboolean
ft_start_in_doubt_check (FtMachine *machine)
{
  StartsInDoubt starts = examine_attempts (machine);
  update_quarantine (machine, &starts);
  if (starts.age_s <= FT_START_IN_DOUBT_QUARANTINE_S)
    return FALSE;
  return !starts.has_other_work
         || starts.age_s > FT_START_IN_DOUBT_SCALE_IN_SHARE * machine->context->settings->cancel_s;
}

gboolean
ft_start_in_doubt_forbids_answer (const FtMachine *machine)
{
  const FtCoreContext *context = machine->context;
  GHashTableIter it;
  gpointer value;
  if (!machine->fitness.start_unanswered)
    return FALSE;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    if (ft_attempt_start_in_doubt (attempt) && attempt->job != NULL && attempt->job->state == FT_JOB_CANCELLING
        && context->now > attempt->job->cancelled_at + context->answer_grace_us)
      return TRUE;
  }
  return FALSE;
}
