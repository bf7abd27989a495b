#include "net/leader_commands.h"

#include "core/constants.h"
#include "core/lease.h"
#include "net/http.h"
#include "net/leader_request.h"
#include "net/malformed.h"
#include "net/metrics.h"
#include "wire/messages.h"

struct _FtLeaderCommands {
  FtLeaderTerm *term; /* borrowed */
  guint in_flight;    /* direct requests that await an answer */
};

/* The context of a direct request. */
typedef struct {
  FtLeaderRequest base;
  FtDirectRequest *direct; /* owned */
} CommandRequest;

/* Returns the result of a command. `heartbeat`: the worker's status from its answer; NULL if there was no
 * answer, or it contained no valid status. */
static FtDirectResult
command_result (guint status, const FtWorkerHeartbeat *heartbeat)
{
  if (heartbeat == NULL)
    return FT_DIRECT_UNANSWERED;
  return status == FT_HTTP_OK ? FT_DIRECT_OK : FT_DIRECT_CONFLICT;
}

static FtLeaderOutcome
on_command_answer (FtLeaderRequest *request, guint status, const guint8 *body, gsize size)
{
  const FtDirectRequest *direct = ((CommandRequest *) request)->direct;
  FtLeaderCommands *commands = request->owner;
  const FtNode *node = request->term->node;
  gboolean has_heartbeat = status == FT_HTTP_OK || status == FT_HTTP_CONFLICT;
  g_autoptr (FtWorkerHeartbeat) heartbeat = has_heartbeat ? ft_message_worker_heartbeat_from_cbor (body, size) : NULL;
  FtDirectResult result = command_result (status, heartbeat);
  commands->in_flight--;
  if (has_heartbeat && heartbeat == NULL)
    ft_malformed_log_add (node->malformed, FT_COUNT_MALFORMED_WORKERS, "answer to a command");
  if (result == FT_DIRECT_UNANSWERED)
    ft_metrics_count (node->metrics, FT_COUNT_DIRECT_UNANSWERED);
  else
    ft_metrics_record_latency (node->metrics, FT_LATENCY_DIRECT, g_get_monotonic_time () - request->created_at);
  if (!ft_scheduler_direct_request_done (request->term->scheduler, direct, result, heartbeat,
                                         g_get_monotonic_time ())) {
    request->superseded_reason = "a worker has seen a higher fencing token";
    return FT_LEADER_OUTCOME_SUPERSEDED;
  }
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
send_command_request (FtLeaderRequest *request)
{
  const FtDirectRequest *direct = ((CommandRequest *) request)->direct;
  const FtNode *node = request->term->node;
  json_t *body = ft_message_commands (direct->token, direct->incarnation, direct->commands);
  ft_http_send_raw (node->worker_client, "POST", direct->addr, "/commands", FT_BODY_CBOR, body, FT_COMMAND_TIMEOUT_S,
                    TRUE, ft_leader_request_on_worker_answer, request);
  json_decref (body);
}

static void
command_request_clear (FtLeaderRequest *request)
{
  ft_direct_request_free (((CommandRequest *) request)->direct);
}

static const FtLeaderRequestKind command_kind = {
  .size = sizeof (CommandRequest),
  .send = send_command_request,
  .on_worker_answer = on_command_answer,
  .clear = command_request_clear,
};

FtLeaderCommands *
ft_leader_commands_new (FtLeaderTerm *term)
{
  FtLeaderCommands *commands = g_new0 (FtLeaderCommands, 1);
  commands->term = term;
  return commands;
}

void
ft_leader_commands_free (FtLeaderCommands *commands)
{
  g_free (commands);
}

void
ft_leader_commands_end (FtLeaderCommands *commands)
{
  commands->in_flight = 0;
}

void
ft_leader_commands_send (FtLeaderCommands *commands, gint64 now)
{
  while (commands->in_flight < FT_DIRECT_MAX) {
    FtDirectRequest *direct = ft_scheduler_next_direct_request (commands->term->scheduler, now);
    if (direct == NULL)
      return;
    CommandRequest *request = ft_leader_request_new (commands->term, &command_kind, commands);
    request->direct = direct;
    commands->in_flight++;
    ft_leader_request_send (&request->base);
  }
}
