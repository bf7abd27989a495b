#include "net/idempotent_request.h"

#include "net/job_answer.h"
#include "net/store_client.h"
#include "wire/messages.h"

gboolean
ft_idempotent_request_answer_from_cache (FtUserRequest *request)
{
  json_t *ended = ft_job_answer_cached (request->node, request->ref);
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
  if (ft_idempotent_request_answer_from_cache (request))
    return FALSE;
  if (!ft_store_client_has_contact (request->node->store, g_get_monotonic_time ())) {
    ft_user_request_answer_unavailable (request);
    return FALSE;
  }
  ft_user_request_start_deadline (request);
  return TRUE;
}
