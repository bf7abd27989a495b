#include "net/polls.h"

#include "core/constants.h"
#include "net/job_cache.h"
#include "net/store_client.h"
#include "wire/store.h"

struct _FtPolls {
  FtNode *node;         /* borrowed */
  GQueue waiting;       /* Poll, oldest first, for a transaction that is still to be sent */
  GPtrArray *in_flight; /* Poll of the transaction under way; NULL: none */
};

typedef struct {
  char *ref;
  guint64 revision; /* of the job's row when it was read as open */
  gint64 began;
  FtPollDone done;
  gpointer data;
} Poll;

static void
poll_free (Poll *poll)
{
  g_free (poll->ref);
  g_free (poll);
}

FtPolls *
ft_polls_new (FtNode *node)
{
  FtPolls *polls = g_new0 (FtPolls, 1);
  polls->node = node;
  g_queue_init (&polls->waiting);
  return polls;
}

void
ft_polls_free (FtPolls *polls)
{
  if (polls == NULL)
    return;
  g_queue_clear_full (&polls->waiting, (GDestroyNotify) poll_free);
  if (polls->in_flight != NULL) {
    g_ptr_array_foreach (polls->in_flight, (GFunc) (void (*) (void)) poll_free, NULL);
    g_ptr_array_unref (polls->in_flight);
  }
  g_free (polls);
}

static void
poll_finish (Poll *poll, FtPollResult result)
{
  poll->done (result, poll->data);
  poll_free (poll);
}

static void send_next (FtPolls *polls);

/* A conflict names the rows that have changed. About the others it says nothing: they go back to
 * the head of the queue, in their order, and are compared again at once. */
static void
finish_changed (FtPolls *polls, GPtrArray *compared, const json_t *body)
{
  gboolean any = FALSE;
  for (guint i = compared->len; i > 0; i--) {
    Poll *poll = g_ptr_array_index (compared, i - 1);
    g_autofree char *key = ft_key_job (poll->ref);
    if (!ft_store_failed (body, key)) {
      g_queue_push_head (&polls->waiting, poll);
      continue;
    }
    any = TRUE;
    ft_job_cache_remove_open (polls->node->job_cache, poll->ref);
    poll_finish (poll, FT_POLL_CHANGED);
  }
  Poll *poll;
  while (!any && (poll = g_queue_pop_head (&polls->waiting)) != NULL)
    poll_finish (poll, FT_POLL_FAILED); /* a conflict that names no row proves nothing */
}

static void
on_compared (FtStoreResult result, const json_t *body, gpointer data)
{
  FtPolls *polls = data;
  g_autoptr (GPtrArray) compared = g_steal_pointer (&polls->in_flight);
  if (result == FT_STORE_CONFLICT) {
    finish_changed (polls, compared, body);
  } else {
    for (guint i = 0; i < compared->len; i++)
      poll_finish (g_ptr_array_index (compared, i), result == FT_STORE_OK ? FT_POLL_OPEN : FT_POLL_FAILED);
  }
  send_next (polls);
}

static gboolean
is_too_late (const Poll *poll)
{
  return g_get_monotonic_time () - poll->began > (gint64) (FT_USER_DEADLINE_S * FT_SECOND);
}

/* Sends what waits, as much as a transaction may hold. One transaction is under way at a time: the
 * polls that arrive meanwhile share the next one. */
static void
send_next (FtPolls *polls)
{
  if (polls->in_flight != NULL || g_queue_is_empty (&polls->waiting))
    return;
  json_auto_t *txn = ft_txn_new_check ();
  guint most = FT_CONDITIONS_PER_CHANGE * polls->node->config->core.txn_ops;
  polls->in_flight = g_ptr_array_new ();
  Poll *poll;
  while (polls->in_flight->len < most && (poll = g_queue_pop_head (&polls->waiting)) != NULL) {
    if (is_too_late (poll)) {
      poll_finish (poll, FT_POLL_FAILED);
      continue;
    }
    g_autofree char *key = ft_key_job (poll->ref);
    ft_txn_if (txn, key, poll->revision);
    g_ptr_array_add (polls->in_flight, poll);
  }
  if (polls->in_flight->len > 0)
    ft_store_client_commit (polls->node->store, txn, FT_STORE_PRIORITY_READ, on_compared, polls);
  else
    g_clear_pointer (&polls->in_flight, g_ptr_array_unref);
}

gboolean
ft_polls_add (FtPolls *polls, const char *ref, FtPollDone done, gpointer data)
{
  const FtCachedJob *job = ft_job_cache_find (polls->node->job_cache, ref);
  if (job == NULL || g_queue_get_length (&polls->waiting) >= FT_POLLS_MAX)
    return FALSE;
  Poll *poll = g_new0 (Poll, 1);
  poll->ref = g_strdup (ref);
  poll->revision = job->revision;
  poll->began = g_get_monotonic_time ();
  poll->done = done;
  poll->data = data;
  g_queue_push_tail (&polls->waiting, poll);
  send_next (polls);
  return TRUE;
}
