#include "net/leader_cloud.h"

#include "core/constants.h"
#include "core/duration.h"
#include "net/budget.h"
#include "net/http.h"
#include "net/leader_request.h"
#include "net/malformed.h"
#include "wire/cloud.h"

struct _FtLeaderCloud {
  FtLeaderTerm *term;      /* borrowed */
  FtBudget budget;         /* for requests to the cloud; kept from one term to the next */
  guint calls_in_flight;   /* scale-out and scale-in calls that await an answer */
  gboolean list_in_flight; /* whether a page of the list awaits its answer */
  gint64 next_list_at;     /* when the list is read next; monotonic, microseconds */
};

/* The request for a scale-out or scale-in. */
typedef struct {
  FtLeaderRequest base;
  FtCloudCall *call; /* owned */
} ScaleRequest;

/* The request for a page of the list of rented machines. */
typedef struct {
  FtLeaderRequest base;
  GArray *machines; /* elements: FtListedMachine, of all pages read so far; a reference */
} ListRequest;

/* ---- scale-out and scale-in ---- */

static FtCloudResult
scale_result (guint status, const json_t *body, FtCloudCall *call)
{
  if (status == FT_HTTP_OK && (call->op == FT_CLOUD_SCALE_IN || ft_cloud_launched (body, call)))
    return FT_CLOUD_OK;
  if (status == FT_HTTP_BAD_REQUEST)
    return FT_CLOUD_REFUSED;
  const char *error = json_string_value (json_object_get (body, "error"));
  if (status == FT_HTTP_UNAVAILABLE && g_strcmp0 (error, "no capacity") == 0)
    return FT_CLOUD_REFUSED;
  return FT_CLOUD_UNANSWERED;
}

static FtLeaderOutcome
on_scaled (FtLeaderRequest *request, guint status, const json_t *body)
{
  FtCloudCall *call = ((ScaleRequest *) request)->call;
  FtLeaderCloud *cloud = request->owner;
  FtCloudResult result = scale_result (status, body, call);
  cloud->calls_in_flight--;
  if (status == FT_HTTP_OK && result == FT_CLOUD_UNANSWERED)
    ft_malformed_log_add (cloud->term->node->malformed, FT_COUNT_MALFORMED_CLOUD, "answer to a scale-out request");
  ft_scheduler_cloud_done (cloud->term->scheduler, call, result, g_get_monotonic_time ());
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
send_scale_request (FtLeaderRequest *request)
{
  const FtCloudCall *call = ((ScaleRequest *) request)->call;
  const FtNode *node = request->term->node;
  gboolean scale_out = call->op == FT_CLOUD_SCALE_OUT;
  const char *path = scale_out ? "/rentals" : "/rentals/return";
  json_t *body = scale_out ? ft_cloud_scale_out_body (call) : ft_cloud_scale_in_body (call);
  ft_http_send (node->cloud_client, "POST", node->config->cloud_addr, path, FT_BODY_CBOR, body, FT_CLOUD_TIMEOUT_S,
                FALSE, ft_leader_request_on_cloud_answer, request);
  json_decref (body);
}

static void
scale_request_clear (FtLeaderRequest *request)
{
  ft_cloud_call_free (((ScaleRequest *) request)->call);
}

static const FtLeaderRequestKind scale_kind = {
  .size = sizeof (ScaleRequest),
  .send = send_scale_request,
  .on_cloud_answer = on_scaled,
  .clear = scale_request_clear,
};

void
ft_leader_cloud_scale (FtLeaderCloud *cloud, gint64 now)
{
  while (cloud->calls_in_flight < FT_CLOUD_CALLS_MAX && ft_budget_has (&cloud->budget, 1, now)) {
    FtCloudCall *call = ft_scheduler_next_cloud (cloud->term->scheduler, now);
    if (call == NULL)
      return;
    ScaleRequest *request = ft_leader_request_new (cloud->term, &scale_kind, cloud);
    request->call = call;
    cloud->calls_in_flight++;
    ft_budget_take (&cloud->budget, 1);
    ft_leader_request_send (&request->base);
  }
}

/* ---- the list of rented machines ---- */

static void read_list (FtLeaderCloud *cloud, GArray *machines);

static FtLeaderOutcome
on_list (FtLeaderRequest *request, guint status, const json_t *body)
{
  GArray *machines = ((ListRequest *) request)->machines;
  FtLeaderCloud *cloud = request->owner;
  guint already_read = machines->len;
  gboolean more = FALSE;
  cloud->list_in_flight = FALSE;
  if (status != FT_HTTP_OK)
    return FT_LEADER_OUTCOME_DONE;
  gboolean readable = ft_cloud_list (body, machines, &more);
  /* The page after an empty page would be the same page again. */
  if (!readable || (more && machines->len == already_read)) {
    ft_malformed_log_add (cloud->term->node->malformed, FT_COUNT_MALFORMED_CLOUD, "list of machines");
    return FT_LEADER_OUTCOME_DONE;
  }
  if (more) {
    read_list (cloud, g_array_ref (machines));
    return FT_LEADER_OUTCOME_DONE;
  }
  ft_scheduler_machines_listed (cloud->term->scheduler, machines, g_get_monotonic_time ());
  return FT_LEADER_OUTCOME_PROGRESS;
}

static char *
list_path (const GArray *machines)
{
  if (machines->len == 0)
    return g_strdup_printf ("/rentals?limit=%d", FT_CLOUD_LIST_LIMIT);
  const char *last = g_array_index (machines, FtListedMachine, machines->len - 1).name;
  return g_strdup_printf ("/rentals?since=%s&limit=%d", last, FT_CLOUD_LIST_LIMIT);
}

static void
send_list_request (FtLeaderRequest *request)
{
  const FtNode *node = request->term->node;
  g_autofree char *path = list_path (((ListRequest *) request)->machines);
  ft_http_send (node->cloud_client, "GET", node->config->cloud_addr, path, FT_BODY_CBOR, NULL, FT_CLOUD_TIMEOUT_S,
                FALSE, ft_leader_request_on_cloud_answer, request);
}

static void
list_request_clear (FtLeaderRequest *request)
{
  g_array_unref (((ListRequest *) request)->machines);
}

static const FtLeaderRequestKind list_kind = {
  .size = sizeof (ListRequest),
  .send = send_list_request,
  .on_cloud_answer = on_list,
  .clear = list_request_clear,
};

/* Reads the next page of the list. `machines`: the machines of the pages read so far. Takes ownership of
 * `machines`. */
static void
read_list (FtLeaderCloud *cloud, GArray *machines)
{
  ListRequest *request = ft_leader_request_new (cloud->term, &list_kind, cloud);
  request->machines = machines;
  cloud->list_in_flight = TRUE;
  ft_budget_take (&cloud->budget, 1);
  ft_leader_request_send (&request->base);
}

void
ft_leader_cloud_tick (FtLeaderCloud *cloud, gint64 now)
{
  if (now < cloud->next_list_at || cloud->list_in_flight)
    return;
  if (!ft_budget_has (&cloud->budget, 1, now) || !ft_scheduler_is_loaded (cloud->term->scheduler))
    return;
  cloud->next_list_at = now + ft_seconds (FT_LIST_EVERY_S);
  read_list (cloud, ft_listed_new ());
}

/* ---- construction and terms ---- */

FtLeaderCloud *
ft_leader_cloud_new (FtLeaderTerm *term, gint64 now)
{
  FtLeaderCloud *cloud = g_new0 (FtLeaderCloud, 1);
  double rate = term->node->config->core.cloud_rps;
  cloud->term = term;
  ft_budget_init (&cloud->budget, rate * FT_CLOUD_SHARE, rate, now);
  return cloud;
}

void
ft_leader_cloud_free (FtLeaderCloud *cloud)
{
  g_free (cloud);
}

void
ft_leader_cloud_begin (FtLeaderCloud *cloud, gint64 now)
{
  cloud->next_list_at = now;
}

void
ft_leader_cloud_end (FtLeaderCloud *cloud)
{
  cloud->list_in_flight = FALSE;
  cloud->calls_in_flight = 0;
}
