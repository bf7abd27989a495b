#include "net/job_status.h"

#include "core/constants.h"
#include "net/ancestors.h"
#include "net/cancellation.h"
#include "net/idempotent_request.h"
#include "net/job_answer.h"
#include "net/job_cache.h"
#include "net/leader.h"
#include "net/peers.h"
#include "net/polls.h"
#include "net/store_client.h"
#include "wire/messages.h"
#include "wire/store.h"

/* ---- answers ---- */

/* Returns the body of the answer about an open job. Its task counts are for display only: on the leader they
 * come from the scheduler, on other controllers from the leader's last peer heartbeat. */
static json_t *
open_body (FtNode *node, const char *ref)
{
  FtJobProgress progress = { 0 };
  const FtJobProgress *reported = ft_peers_job_progress (node->peers, ref);
  FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  if (scheduler != NULL)
    progress = ft_scheduler_job_progress (scheduler, ref);
  else if (reported != NULL)
    progress = *reported;
  const char *state = progress.running > 0 ? "running" : "queued";
  return ft_message_job_state (ref, state, progress.done, progress.running, TRUE);
}

void
ft_job_status_answer_ended (FtUserRequest *request, FtJobEnd end, guint tasks)
{
  ft_job_cache_add_ended (request->node->job_cache, request->ref, end, tasks);
  ft_user_request_answer (request, FT_HTTP_OK, ft_job_answer_ended (request->ref, end, tasks));
}

static void
answer_by_ancestors (FtUserRequest *request, FtAncestorsResult result)
{
  json_t *ended = ft_job_answer_cached (request->node, request->ref);
  if (ended != NULL) {
    ft_user_request_answer (request, FT_HTTP_OK, ended); /* another request has read the job's end meanwhile */
  } else if (result == FT_ANCESTORS_OPEN) {
    ft_user_request_answer (request, FT_HTTP_OK, open_body (request->node, request->ref));
  } else if (result == FT_ANCESTORS_CANCELLED) {
    request->cancel_reason = FT_CANCEL_BY_DEPENDENCY;
    ft_job_status_read (request);
  } else {
    ft_user_request_answer_unavailable (request);
  }
}

static void
on_ancestors_checked (FtAncestorsResult result, const char *ref, gpointer data)
{
  (void) ref;
  answer_by_ancestors (data, result);
}

/* Answers a request whose job's row is open. Checks the ancestors first, since one may have been cancelled. */
static void
answer_open (FtUserRequest *request)
{
  FtAncestorsResult result;
  if (!ft_ancestors_check (request->node, request->ref, &result, on_ancestors_checked, request))
    answer_by_ancestors (request, result);
}

/* ---- reading the row ---- */

/* Passes 0 as the number of tasks, since the answer about a cancelled job does not contain it. */
static void
on_cancelled (FtUserRequest *request, FtStoreResult result)
{
  if (result == FT_STORE_OK)
    ft_job_status_answer_ended (request, FT_JOB_END_CANCELLED, 0);
  else
    ft_job_status_read_after_commit (request, result);
}

static void
on_row_read (FtStoreResult result, const json_t *body, gpointer data)
{
  FtUserRequest *request = data;
  FtRow row;
  FtJobRow state;
  if (result == FT_STORE_NOT_FOUND) {
    /* A submission whose commit got no answer is not accepted yet, but the commit may still be applied. */
    ft_user_request_answer (request, request->spec != NULL ? FT_HTTP_UNAVAILABLE : FT_HTTP_NOT_FOUND, NULL);
    return;
  }
  if (result != FT_STORE_OK || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state)) {
    ft_user_request_answer_unavailable (request);
  } else if (!state.open) {
    ft_job_status_answer_ended (request, state.end, state.tasks);
  } else if (request->cancel_reason != FT_CANCEL_NONE) {
    ft_cancellation_commit (request, row.revision, state.tasks, on_cancelled);
  } else {
    ft_job_cache_add_open (request->node->job_cache, request->ref, row.revision, state.has_dependencies);
    answer_open (request);
  }
}

void
ft_job_status_read (FtUserRequest *request)
{
  g_autofree char *key = ft_key_job (request->ref);
  gboolean is_cancellation = request->cancel_reason != FT_CANCEL_NONE;
  if (ft_user_request_is_past_deadline (request))
    ft_user_request_answer_unavailable (request);
  else
    ft_store_client_get (request->node->store, key, is_cancellation ? FT_STORE_PRIORITY_CANCEL : FT_STORE_PRIORITY_READ,
                         on_row_read, request);
}

/* A submission commits only once, so it reads the row only once after that. A cancellation commits again
 * whenever the job is still open, so its attempts are limited. */
static gboolean
may_read_again (FtUserRequest *request)
{
  return request->cancel_reason == FT_CANCEL_NONE || ++request->cancel_tries < FT_CANCEL_TRIES;
}

void
ft_job_status_read_after_commit (FtUserRequest *request, FtStoreResult result)
{
  if ((result == FT_STORE_CONFLICT || result == FT_STORE_UNANSWERED) && may_read_again (request))
    ft_job_status_read (request);
  else
    ft_user_request_answer_unavailable (request);
}

/* ---- polls and cancellations ---- */

static void
on_revision_compared (FtPollResult result, gpointer data)
{
  FtUserRequest *request = data;
  if (result == FT_POLL_CHANGED)
    ft_job_status_read (request);
  else if (result == FT_POLL_OPEN)
    answer_open (request);
  else
    ft_user_request_answer_unavailable (request);
}

void
ft_job_status_handle_poll (FtUserRequest *request)
{
  if (!ft_idempotent_request_begin (request))
    return;
  if (!ft_polls_add (request->node->polls, request->ref, on_revision_compared, request))
    ft_job_status_read (request);
}

void
ft_job_status_handle_cancellation (FtUserRequest *request)
{
  if (!ft_idempotent_request_begin (request))
    return;
  request->cancel_reason = FT_CANCEL_BY_USER;
  ft_job_status_read (request);
}
