#include "net/leader_request.h"

#include "core/constants.h"
#include "core/duration.h"

gpointer
ft_leader_request_new (FtLeaderTerm *term, const FtLeaderRequestKind *kind, gpointer owner)
{
  FtLeaderRequest *request = g_malloc0 (kind->size);
  request->kind = kind;
  request->term = term;
  request->term_number = term->number;
  request->owner = owner;
  request->created_at = g_get_monotonic_time ();
  return request;
}

static void
request_free (FtLeaderRequest *request)
{
  if (request->kind->clear != NULL)
    request->kind->clear (request);
  g_free (request);
}

static gboolean
term_is_over (const FtLeaderRequest *request)
{
  return request->term_number != request->term->number || request->term->scheduler == NULL;
}

void
ft_leader_request_send (FtLeaderRequest *request)
{
  request->kind->send (request);
}

static gboolean
on_retry_timer (gpointer data)
{
  FtLeaderRequest *request = data;
  request->retry_timer = 0;
  g_queue_unlink (&request->term->retries, &request->retry_link);
  if (term_is_over (request))
    request_free (request);
  else
    ft_leader_request_send (request);
  return G_SOURCE_REMOVE;
}

void
ft_leader_request_drop_retries (FtLeaderTerm *term)
{
  GList *link;
  while ((link = g_queue_pop_head_link (&term->retries)) != NULL) {
    FtLeaderRequest *request = link->data;
    g_source_remove (request->retry_timer);
    request_free (request);
  }
}

static void
retry_later (FtLeaderRequest *request)
{
  double pause_s
      = MIN (FT_BACKOFF_FIRST_S * (1u << MIN (request->retries, FT_BACKOFF_DOUBLINGS_MAX)), FT_BACKOFF_LONGEST_S);
  pause_s *= g_rand_double_range (request->term->node->random, FT_BACKOFF_JITTER_LEAST, FT_BACKOFF_JITTER_MOST);
  request->retries++;
  request->retry_timer = g_timeout_add ((guint) (pause_s * FT_MS_PER_SECOND), on_retry_timer, request);
  request->retry_link = (GList){ .data = request };
  g_queue_push_tail_link (&request->term->retries, &request->retry_link);
}

/* Carries out the outcome of the request's handler. Takes ownership of the request. */
static void
apply_outcome (FtLeaderRequest *request, FtLeaderOutcome outcome)
{
  if (outcome == FT_LEADER_OUTCOME_RETRY) {
    retry_later (request);
    return;
  }
  const FtLeaderTerm *term = request->term;
  const char *superseded_reason = request->superseded_reason;
  request_free (request);
  if (outcome == FT_LEADER_OUTCOME_PROGRESS)
    term->progress (term->progress_data);
  else if (outcome == FT_LEADER_OUTCOME_SUPERSEDED)
    term->superseded (superseded_reason, term->superseded_data);
}

void
ft_leader_request_on_store_answer (FtStoreResult result, const json_t *body, gpointer data)
{
  FtLeaderRequest *request = data;
  if (term_is_over (request))
    request_free (request);
  else
    apply_outcome (request, request->kind->on_store_answer (request, result, body));
}

void
ft_leader_request_on_cloud_answer (guint status, const json_t *body, gpointer data)
{
  FtLeaderRequest *request = data;
  if (term_is_over (request))
    request_free (request);
  else
    apply_outcome (request, request->kind->on_cloud_answer (request, status, body));
}

void
ft_leader_request_on_worker_answer (guint status, const guint8 *body, gsize size, gpointer data)
{
  FtLeaderRequest *request = data;
  if (term_is_over (request))
    request_free (request);
  else
    apply_outcome (request, request->kind->on_worker_answer (request, status, body, size));
}

gint64
ft_leader_first_retry_at (const FtLeaderTerm *term)
{
  double pause_s
      = g_rand_double_range (term->node->random, FT_BACKOFF_JITTER_LEAST, FT_BACKOFF_JITTER_MOST) * FT_BACKOFF_FIRST_S;
  return g_get_monotonic_time () + ft_seconds (pause_s);
}
