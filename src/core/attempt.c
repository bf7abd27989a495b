#include "core/attempt.h"

#include "core/constants.h"
#include "core/job.h"

const char *
ft_exit_reason_name (FtExitReason reason)
{
  static const char *const names[] = { "no reason",
                                       "done",
                                       "stopped",
                                       "error",
                                       "no room",
                                       "machine busy",
                                       "unknown reason",
                                       "a task of its gang ended",
                                       "its gang did not come together" };
  return (guint) reason < G_N_ELEMENTS (names) ? names[reason] : "unknown reason";
}

guint
ft_attempt_hash (gconstpointer key)
{
  const FtAttempt *attempt = key;
  return (guint) attempt->id * 31u + attempt->index;
}

gboolean
ft_attempt_equal (gconstpointer first, gconstpointer second)
{
  const FtAttempt *one = first, *other = second;
  return one->id == other->id && one->index == other->index && g_strcmp0 (one->job_ref, other->job_ref) == 0;
}

void
ft_attempt_free (FtAttempt *attempt)
{
  if (attempt->job != NULL)
    g_hash_table_remove (attempt->job->attempts, attempt);
  g_free (attempt->job_ref);
  g_free (attempt);
}

static gboolean
transition_allowed (FtAttemptState from, FtAttemptState to)
{
  switch (from) {
  case FT_ATTEMPT_PLACED:
    return to == FT_ATTEMPT_ON_WORKER || to == FT_ATTEMPT_EXITED;
  case FT_ATTEMPT_ON_WORKER:
    return to == FT_ATTEMPT_PLACED || to == FT_ATTEMPT_EXITED;
  case FT_ATTEMPT_EXITED:
    return to == FT_ATTEMPT_FORGETTABLE;
  case FT_ATTEMPT_FORGETTABLE:
    break;
  }
  return FALSE;
}

gboolean
ft_attempt_set_state (FtAttempt *attempt, FtAttemptState to)
{
  static const char *const names[] = { "placed", "on worker", "exited", "forgettable" };
  if (attempt->state == to)
    return TRUE;
  if (!transition_allowed (attempt->state, to)) {
    g_warning ("task %s/%u: attempt %" G_GUINT64_FORMAT ": refused move %s -> %s", attempt->job_ref, attempt->index,
               attempt->id, names[attempt->state], names[to]);
    return FALSE;
  }
  attempt->state = to;
  return TRUE;
}

void
ft_attempt_set_exited (FtAttempt *attempt, gint64 now)
{
  if (ft_attempt_set_state (attempt, FT_ATTEMPT_EXITED))
    attempt->exited_at = now;
}

void
ft_attempt_clear_stop (FtAttempt *attempt)
{
  attempt->stop = FT_ATTEMPT_STOP_NONE;
}

void
ft_attempt_direct_start_sent (FtAttempt *attempt, guint64 token)
{
  attempt->direct_start = FT_DIRECT_START_IN_FLIGHT;
  attempt->direct_token = MAX (attempt->direct_token, token);
}

void
ft_attempt_direct_start_answered (FtAttempt *attempt)
{
  if (attempt->direct_start != FT_DIRECT_START_UNANSWERED)
    attempt->direct_start = FT_DIRECT_START_ANSWERED;
}

void
ft_attempt_direct_start_unknown (FtAttempt *attempt, guint64 token)
{
  attempt->direct_start = FT_DIRECT_START_ANSWERED;
  attempt->direct_token = token;
}

guint64
ft_attempt_number_token (guint64 id)
{
  return id >> FT_ATTEMPT_BITS;
}
