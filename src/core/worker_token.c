#include "core/worker_token.h"

#include "core/constants.h"

FtWorkerTokenRange
ft_worker_token_range_after (guint64 previous)
{
  FtWorkerTokenRange range = { .first = previous + 1, .last = previous + FT_WORKER_TOKENS };
  return range;
}

void
ft_worker_token_record (FtWorkerToken *worker_token, guint64 token)
{
  worker_token->shown = MAX (worker_token->shown, token);
  /* The machine table may have dropped a machine that reports again. */
  worker_token->current = MAX (worker_token->current, token);
}

gboolean
ft_worker_token_renew (FtWorkerToken *worker_token, guint64 last)
{
  if (worker_token->current >= last)
    return FALSE;
  worker_token->current++;
  return TRUE;
}
