#include "core/lease_suspicion.h"

static gboolean
transition_allowed (FtLeaseSuspicion from, FtLeaseSuspicion to)
{
  switch (to) {
  case FT_LEASE_SUSPICION_NONE:
    return TRUE;
  case FT_LEASE_SUSPICION_REPORTED:
  case FT_LEASE_SUSPICION_REPORTED_CONFIRMED:
    return from == FT_LEASE_SUSPICION_NONE;
  case FT_LEASE_SUSPICION_ROWS_UNCHANGED:
    return from == FT_LEASE_SUSPICION_REPORTED;
  case FT_LEASE_SUSPICION_ROWS_UNCHANGED_CONFIRMED:
    return from == FT_LEASE_SUSPICION_REPORTED_CONFIRMED;
  }
  return FALSE;
}

/* Changes the suspicion; no other function does. */
static void
set_suspicion (FtLeaseSuspicion *suspicion, FtLeaseSuspicion to)
{
  g_return_if_fail (transition_allowed (*suspicion, to));
  *suspicion = to;
}

void
ft_lease_suspicion_report (FtLeaseSuspicion *suspicion, gboolean confirmed)
{
  set_suspicion (suspicion, confirmed ? FT_LEASE_SUSPICION_REPORTED_CONFIRMED : FT_LEASE_SUSPICION_REPORTED);
}

void
ft_lease_suspicion_rows_unchanged (FtLeaseSuspicion *suspicion)
{
  if (*suspicion == FT_LEASE_SUSPICION_REPORTED)
    set_suspicion (suspicion, FT_LEASE_SUSPICION_ROWS_UNCHANGED);
  else if (*suspicion == FT_LEASE_SUSPICION_REPORTED_CONFIRMED)
    set_suspicion (suspicion, FT_LEASE_SUSPICION_ROWS_UNCHANGED_CONFIRMED);
}

void
ft_lease_suspicion_clear (FtLeaseSuspicion *suspicion)
{
  set_suspicion (suspicion, FT_LEASE_SUSPICION_NONE);
}
