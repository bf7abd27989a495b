#include "net/leader_watch.h"

#include "net/leader_recovery.h"
#include "net/leader_request.h"
#include "net/leader_rows.h"
#include "net/node.h"

void
ft_leader_watch_resume (FtNode *node)
{
  node->leader.watch.not_before = 0;
}

static FtLeaderOutcome
on_events (FtLeaderRequest *request, FtStoreResult result, const json_t *body)
{
  FtNode *node = request->node;
  node->leader.watch.in_flight = FALSE;
  if (result == FT_STORE_COMPACTED) {
    /* The store no longer has all changes since the known revision. */
    ft_leader_recovery_start (node, ft_leader_watch_resume);
    return FT_LEADER_OUTCOME_DONE;
  }
  g_autoptr (GArray) rows = NULL;
  FtStoreResult read = ft_store_read_events (result, body, &rows, &node->leader.rows.known_revision);
  if (read == FT_STORE_MALFORMED)
    ft_node_malformed (node, FT_COUNT_MALFORMED_STORE, "list of events");
  if (read != FT_STORE_OK) {
    node->leader.watch.not_before = ft_leader_first_retry_at (node);
    return FT_LEADER_OUTCOME_DONE;
  }
  for (guint i = 0; i < rows->len; i++)
    ft_leader_take_open_row (node, &g_array_index (rows, FtRow, i), TRUE);
  ft_leader_cancellations_known (node, request->created_at);
  return FT_LEADER_OUTCOME_PROGRESS;
}

static void
send_watch_request (FtLeaderRequest *request)
{
  FtNode *node = request->node;
  ft_store_client_follow (node->store, FT_PREFIX_OPEN, node->leader.rows.known_revision,
                          ft_leader_request_on_store_answer, request);
}

static const FtLeaderRequestKind watch_kind = {
  .size = sizeof (FtLeaderRequest),
  .send = send_watch_request,
  .on_store_answer = on_events,
};

void
ft_leader_watch_tick (FtNode *node, gint64 now)
{
  FtLeaderWatch *watch = &node->leader.watch;
  if (watch->in_flight || now < watch->not_before || !ft_scheduler_is_loaded (node->leader.scheduler))
    return;
  watch->in_flight = TRUE;
  ft_leader_request_send (ft_leader_request_new (node, &watch_kind));
}
