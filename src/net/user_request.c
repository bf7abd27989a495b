#include "net/user_request.h"

#include "core/constants.h"
#include "core/duration.h"
#include "net/metrics.h"

FtUserRequest *
ft_user_request_new (FtNode *node, FtHttpRequest *http, const char *ref)
{
  FtUserRequest *request = g_new0 (FtUserRequest, 1);
  request->node = node;
  request->http = http;
  request->ref = g_strdup (ref);
  return request;
}

const json_t *
ft_user_request_body (FtUserRequest *request)
{
  return ft_http_body (request->http);
}

void
ft_user_request_start_deadline (FtUserRequest *request)
{
  request->started_at = g_get_monotonic_time ();
}

gboolean
ft_user_request_is_past_deadline (const FtUserRequest *request)
{
  return g_get_monotonic_time () - request->started_at > ft_seconds (FT_USER_DEADLINE_S);
}

static FtCounter
counter_of (FtHttpStatus status)
{
  switch (status) {
  case FT_HTTP_UNAVAILABLE:
    return FT_COUNT_UNAVAILABLE;
  case FT_HTTP_BAD_REQUEST:
  case FT_HTTP_UNPROCESSABLE:
    return FT_COUNT_REFUSED;
  default:
    return FT_COUNT_POLLS;
  }
}

static void
count (const FtUserRequest *request, FtHttpStatus status)
{
  FtMetrics *metrics = request->node->metrics;
  if (request->spec != NULL && (status == FT_HTTP_OK || status == FT_HTTP_CREATED)) {
    ft_metrics_count (metrics, FT_COUNT_ACCEPTED);
    ft_metrics_record_latency (metrics, FT_LATENCY_SUBMIT, g_get_monotonic_time () - request->started_at);
  } else {
    ft_metrics_count (metrics, counter_of (status));
  }
}

void
ft_user_request_answer (FtUserRequest *request, FtHttpStatus status, json_t *body)
{
  count (request, status);
  ft_user_request_answer_uncounted (request, status, body);
}

void
ft_user_request_answer_unavailable (FtUserRequest *request)
{
  ft_user_request_answer (request, FT_HTTP_UNAVAILABLE, NULL);
}

void
ft_user_request_answer_uncounted (FtUserRequest *request, FtHttpStatus status, json_t *body)
{
  ft_http_respond (request->http, status, body);
  ft_job_spec_free (request->spec);
  g_free (request->ref);
  g_free (request);
}
