#include "core/start_copies.h"

gboolean
ft_start_copies_possible (const FtAttempt *attempt)
{
  return attempt->direct_token != 0 && attempt->direct_token >= attempt->machine->worker_token.shown;
}

guint
ft_start_copies_direct_starts_allowed (const FtMachine *machine)
{
  guint count = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value))
    count += ft_start_copies_possible (value);
  return count < FT_DIRECT_STARTS_MAX ? FT_DIRECT_STARTS_MAX - count : 0;
}

/* Whether the worker has to remember the attempt only because it would execute a copy of the attempt's direct start,
 * and commands to it do not carry a higher token yet. */
static gboolean
needs_higher_token (const FtAttempt *attempt)
{
  return attempt->state == FT_ATTEMPT_FORGETTABLE && attempt->direct_token >= attempt->machine->worker_token.current;
}

/* Whether the start of the attempt is in doubt, and commands to the worker do not carry a token yet that ends the
 * doubt. */
static gboolean
doubt_needs_higher_token (const FtAttempt *attempt)
{
  return ft_attempt_start_in_doubt (attempt) && attempt->direct_token >= attempt->machine->worker_token.current;
}

/* Whether the worker token should be renewed: a cancelled start is in doubt, or the worker remembers many directly
 * started attempts, or one of them for a long time. */
static gboolean
is_token_renewal_due (const FtMachine *machine)
{
  guint remembered = 0;
  gint64 longest_us = 0;
  GHashTableIter it;
  gpointer value;
  g_hash_table_iter_init (&it, machine->attempts);
  while (g_hash_table_iter_next (&it, NULL, &value)) {
    const FtAttempt *attempt = value;
    if (doubt_needs_higher_token (attempt))
      return TRUE;
    if (!needs_higher_token (attempt))
      continue;
    remembered++;
    longest_us = MAX (longest_us, machine->context->now - attempt->exited_at);
  }
  return remembered >= FT_REMEMBERED_STARTS_RENEW || longest_us > ft_seconds (FT_REMEMBERED_START_S);
}

void
ft_start_copies_renew_token_if_due (FtMachine *machine)
{
  if (machine->requests.command_in_flight || !is_token_renewal_due (machine))
    return;
  if (ft_worker_token_renew (&machine->worker_token, machine->context->token))
    g_debug ("machine %s: its worker token is renewed (%" G_GUINT64_FORMAT ")", machine->name,
             machine->worker_token.current);
}
