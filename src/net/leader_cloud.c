#include "net/leader_cloud.h"

#include "core/constants.h"
#include "net/leader_request.h"
#include "net/node.h"
#include "wire/cloud.h"

/* Scaling out or in. */
typedef struct {
  FtLeaderRequest base;
  FtCloudCall *cloud; /* owned */
} ScaleRequest;

/* A page of the list of rented machines. */
typedef struct {
  FtLeaderRequest base;
  GArray *machines; /* FtListedMachine of the pages so far; a reference */
} ListRequest;

/* ---- scaling ---- */

static FtCloudResult
scale_result (guint status, const json_t *body, FtCloudCall *cloud)
{
  if (status == FT_HTTP_OK && (cloud->op == FT_CLOUD_SCALE_IN || ft_cloud_launched (body, cloud)))
    return FT_CLOUD_OK;
  if (status == FT_HTTP_BAD_REQUEST)
    return FT_CLOUD_REFUSED;
  const char *error = json_string_value (json_object_get (body, "error"));
  if (status == FT_HTTP_UNAVAILABLE && g_strcmp0 (error, "no capacity") == 0)
    return FT_CLOUD_REFUSED;
  return FT_CLOUD_FAILED;
}

static FtLeaderOutcome
on_scaled (FtLeaderRequest *request, guint status, const json_t *body)
{
  FtCloudCall *cloud = ((ScaleRequest *) request)->cloud;
  FtNode *node = request->node;
  FtCloudResult result = scale_result (status, body, cloud);
  node->leader.cloud.calls_in_flight--;
  if (status == FT_HTTP_OK && result == FT_CLOUD_FAILED)
    ft_node_malformed (node, FT_COUNT_MALFORMED_CLOUD, "answer to a rental");
  ft_scheduler_cloud_done (node->leader.scheduler, cloud, result, g_get_monotonic_time ());
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
send_scale_request (FtLeaderRequest *request)
{
  const FtCloudCall *cloud = ((ScaleRequest *) request)->cloud;
  FtNode *node = request->node;
  gboolean scale_out = cloud->op == FT_CLOUD_SCALE_OUT;
  const char *path = scale_out ? "/rentals" : "/rentals/return";
  json_t *body = scale_out ? ft_cloud_scale_out_body (cloud) : ft_cloud_scale_in_body (cloud);
  ft_http_send (node->cloud_client, "POST", node->config->cloud_addr, path, FT_BODY_CBOR, body, FT_CLOUD_TIMEOUT_S,
                FALSE, ft_leader_request_on_cloud_answer, request);
  json_decref (body);
}

static void
scale_request_clear (FtLeaderRequest *request)
{
  ft_cloud_call_free (((ScaleRequest *) request)->cloud);
}

static const FtLeaderRequestKind scale_kind = {
  .size = sizeof (ScaleRequest),
  .send = send_scale_request,
  .on_cloud_answer = on_scaled,
  .clear = scale_request_clear,
};

void
ft_leader_cloud_scale (FtNode *node, gint64 now)
{
  FtLeaderCloud *state = &node->leader.cloud;
  while (state->calls_in_flight < FT_CLOUD_CALLS_MAX && ft_budget_has (&state->budget, 1, now)) {
    FtCloudCall *cloud = ft_scheduler_next_cloud (node->leader.scheduler, now);
    if (cloud == NULL)
      return;
    ScaleRequest *request = ft_leader_request_new (node, &scale_kind);
    request->cloud = cloud;
    state->calls_in_flight++;
    ft_budget_take (&state->budget, 1);
    ft_leader_request_send (&request->base);
  }
}

/* ---- the list ---- */

static void read_list (FtNode *node, GArray *machines);

static FtLeaderOutcome
on_list (FtLeaderRequest *request, guint status, const json_t *body)
{
  GArray *machines = ((ListRequest *) request)->machines;
  FtNode *node = request->node;
  gboolean more = FALSE;
  node->leader.cloud.list_in_flight = FALSE;
  if (status != FT_HTTP_OK)
    return FT_LEADER_OUTCOME_DONE;
  if (!ft_cloud_list (body, machines, &more)) {
    ft_node_malformed (node, FT_COUNT_MALFORMED_CLOUD, "list of machines");
    return FT_LEADER_OUTCOME_DONE;
  }
  if (more && machines->len > 0) {
    read_list (node, g_array_ref (machines));
    return FT_LEADER_OUTCOME_DONE;
  }
  ft_scheduler_listed (node->leader.scheduler, machines, g_get_monotonic_time ());
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
  FtNode *node = request->node;
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

/* Reads the next page. Takes `machines`, the pages read so far. */
static void
read_list (FtNode *node, GArray *machines)
{
  ListRequest *request = ft_leader_request_new (node, &list_kind);
  request->machines = machines;
  node->leader.cloud.list_in_flight = TRUE;
  ft_budget_take (&node->leader.cloud.budget, 1);
  ft_leader_request_send (&request->base);
}

void
ft_leader_cloud_tick (FtNode *node, gint64 now)
{
  FtLeaderCloud *state = &node->leader.cloud;
  if (now < state->next_list_at || state->list_in_flight)
    return;
  if (!ft_budget_has (&state->budget, 1, now) || !ft_scheduler_is_loaded (node->leader.scheduler))
    return;
  state->next_list_at = now + (gint64) (FT_LIST_EVERY_S * FT_SECOND);
  read_list (node, ft_listed_new ());
}

/* ---- life ---- */

void
ft_leader_cloud_init (FtNode *node, gint64 now)
{
  double rate = node->config->core.cloud_rps;
  ft_budget_init (&node->leader.cloud.budget, rate * FT_CLOUD_SHARE, rate, now);
}

void
ft_leader_cloud_begin (FtNode *node, gint64 now)
{
  node->leader.cloud.next_list_at = now;
}

void
ft_leader_cloud_end (FtNode *node)
{
  node->leader.cloud.list_in_flight = FALSE;
  node->leader.cloud.calls_in_flight = 0;
}
