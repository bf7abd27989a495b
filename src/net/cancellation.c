#include "net/cancellation.h"

#include "net/metrics.h"
#include "net/node_peers.h"
#include "net/store_client.h"
#include "wire/store.h"

/* The callback data of a cancellation whose commit is in flight. */
typedef struct {
  FtUserRequest *request;
  FtCancellationDone done;
} Cancellation;

/* Logs and counts a committed cancellation, and notifies the scheduler and the peers. */
static void
publish_cancellation (const FtUserRequest *request)
{
  FtNode *node = request->node;
  gboolean by_dependency = request->cancel_reason == FT_CANCEL_BY_DEPENDENCY;
  g_message ("job %s: cancelled%s", request->ref, by_dependency ? ", because one of its ancestors is cancelled" : "");
  ft_metrics_count (node->metrics, by_dependency ? FT_COUNT_CANCELLED_BY_DEPENDENCY : FT_COUNT_CANCELLED);
  ft_node_announce_cancellation (node, request->ref);
}

static void
on_cancellation_committed (FtStoreResult result, const json_t *body, gpointer data)
{
  g_autofree Cancellation *cancellation = data;
  (void) body;
  if (result == FT_STORE_OK)
    publish_cancellation (cancellation->request);
  cancellation->done (cancellation->request, result);
}

void
ft_cancellation_commit (FtUserRequest *request, guint64 revision, guint tasks, FtCancellationDone done)
{
  Cancellation *cancellation = g_new0 (Cancellation, 1);
  cancellation->request = request;
  cancellation->done = done;
  json_auto_t *txn = ft_txn_cancel (request->ref, revision, tasks, g_get_real_time () / 1000);
  ft_store_client_commit (request->node->store, txn, FT_STORE_PRIORITY_CANCEL, on_cancellation_committed, cancellation);
}
