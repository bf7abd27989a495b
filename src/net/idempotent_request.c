#include "net/idempotent_request.h"

#include "core/constants.h"
#include "net/job_status.h"
#include "wire/messages.h"

gboolean
ft_idempotent_request_answer_known (FtUserRequest *request)
{
  json_t *ended = ft_job_status_remembered_body (request->node, request->ref);
  if (ended == NULL)
    return FALSE;
  ft_user_request_answer_uncounted (request, FT_HTTP_OK, ended);
  return TRUE;
}

gboolean
ft_idempotent_request_begin (FtUserRequest *request)
{
  if (!ft_ref_valid (request->ref)) {
    ft_user_request_answer_uncounted (request, FT_HTTP_NOT_FOUND, NULL);
    return FALSE;
  }
  if (ft_idempotent_request_answer_known (request))
    return FALSE;
  if (!ft_store_client_contact (request->node->store, g_get_monotonic_time ())) {
    ft_user_request_answer_unavailable (request);
    return FALSE;
  }
  ft_user_request_start_clock (request);
  return TRUE;
}

/* A submission reads once after its commit; only cancellations can go round in circles. */
static gboolean
may_read_again (FtUserRequest *request)
{
  return request->cancel_reason == FT_CANCEL_NONE || ++request->cancel_tries < FT_CANCEL_TRIES;
}

void
ft_idempotent_request_read_after_commit (FtUserRequest *request, FtStoreResult result)
{
  if ((result == FT_STORE_CONFLICT || result == FT_STORE_UNANSWERED) && may_read_again (request))
    ft_job_status_read (request);
  else
    ft_user_request_answer_unavailable (request);
}
