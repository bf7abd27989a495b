#include "net/polls.h"

#include "core/constants.h"
#include "core/duration.h"
#include "net/job_cache.h"
#include "net/store_client.h"
#include "wire/store.h"

struct _FtPolls {
  FtNode *node;   /* borrowed */
  GQueue waiting; /* elements: Poll, oldest first; they wait for the next transaction */
  /* Elements: Poll, of the transaction that is composed or in flight, or whose answer is handled. While it is set,
   * further polls only wait. NULL: there is no transaction, and no poll waits. */
  GPtrArray *in_flight;
};

/* A poll of one job, waiting or in flight. */
typedef struct {
  char *ref;
  guint64 revision;  /* revision at which the job's row was read as open */
  gint64 arrived_at; /* monotonic, microseconds */
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

static void
finish_all (const GPtrArray *compared, FtPollResult result)
{
  for (guint i = 0; i < compared->len; i++)
    poll_finish (g_ptr_array_index (compared, i), result);
}

/* Whether the answer to a transaction that failed with a conflict names the poll's row as changed. */
static gboolean
is_changed (const Poll *poll, const json_t *body)
{
  g_autofree char *key = ft_key_job (poll->ref);
  return ft_store_failed (body, key);
}

static gboolean
any_is_changed (const GPtrArray *compared, const json_t *body)
{
  for (guint i = 0; i < compared->len; i++)
    if (is_changed (g_ptr_array_index (compared, i), body))
      return TRUE;
  return FALSE;
}

/* Finishes the polls whose rows have changed. The conflict proves nothing about the other rows, so their polls return
 * to the head of the queue, in the same order, and are compared again at once. */
static void
finish_changed (FtPolls *polls, const GPtrArray *compared, const json_t *body)
{
  for (guint i = compared->len; i > 0; i--) {
    Poll *poll = g_ptr_array_index (compared, i - 1);
    if (!is_changed (poll, body)) {
      g_queue_push_head (&polls->waiting, poll);
      continue;
    }
    ft_job_cache_remove_open (polls->node->job_cache, poll->ref);
    poll_finish (poll, FT_POLL_CHANGED);
  }
}

static void
on_compared (FtStoreResult result, const json_t *body, gpointer data)
{
  FtPolls *polls = data;
  const GPtrArray *compared = polls->in_flight;
  if (result == FT_STORE_OK)
    finish_all (compared, FT_POLL_OPEN);
  else if (result == FT_STORE_CONFLICT && any_is_changed (compared, body))
    finish_changed (polls, compared, body);
  else
    finish_all (compared, FT_POLL_FAILED);
  g_clear_pointer (&polls->in_flight, g_ptr_array_unref);
  send_next (polls);
}

static gboolean
is_past_deadline (const Poll *poll)
{
  return g_get_monotonic_time () - poll->arrived_at > ft_seconds (FT_USER_DEADLINE_S);
}

/* Sends as many waiting polls as fit into one transaction. Only one transaction is in flight at a time; the
 * polls that arrive meanwhile share the next transaction. Polls that have waited too long are finished, which only
 * happens after an answer: when a poll arrives and there is no transaction, no other poll waits. */
static void
send_next (FtPolls *polls)
{
  if (polls->in_flight != NULL || g_queue_is_empty (&polls->waiting))
    return;
  json_auto_t *txn = ft_txn_new_check ();
  guint max_conditions = FT_CONDITIONS_PER_CHANGE * polls->node->config->core.txn_ops;
  polls->in_flight = g_ptr_array_new ();
  Poll *poll;
  while (polls->in_flight->len < max_conditions && (poll = g_queue_pop_head (&polls->waiting)) != NULL) {
    if (is_past_deadline (poll)) {
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

guint
ft_polls_waiting (const FtPolls *polls)
{
  return g_queue_get_length ((GQueue *) &polls->waiting);
}

gboolean
ft_polls_add (FtPolls *polls, const char *ref, FtPollDone done, gpointer data)
{
  const FtCachedJob *job = ft_job_cache_find (polls->node->job_cache, ref);
  if (job == NULL || ft_polls_waiting (polls) >= FT_POLLS_MAX)
    return FALSE;
  Poll *poll = g_new0 (Poll, 1);
  poll->ref = g_strdup (ref);
  poll->revision = job->revision;
  poll->arrived_at = g_get_monotonic_time ();
  poll->done = done;
  poll->data = data;
  g_queue_push_tail (&polls->waiting, poll);
  send_next (polls);
  return TRUE;
}
