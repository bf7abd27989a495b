#include "net/leader_recovery.h"

#include <string.h>

#include "net/leader_request.h"
#include "net/leader_rows.h"
#include "net/node.h"

/* What a new leader reads, in this order. The open jobs come first: the watch goes on from
 * the revision of their first page. */
static const char *const recovery_prefixes[]
    = { FT_PREFIX_OPEN, FT_PREFIX_DONE, FT_PREFIX_DRAINED, FT_PREFIX_REGISTRY };

/* One page of the rows under a prefix. */
typedef struct {
  FtLeaderRequest base;
  guint prefix_index;         /* into recovery_prefixes */
  char *after;                /* the last key of the page before, owned; NULL: this is the first page */
  gint64 first_page_asked_at; /* monotonic, microseconds */
  FtLeaderRecovered recovered;
} PageRequest;

static const FtLeaderRequestKind page_kind;

static PageRequest *
page_request_new (FtNode *node, guint prefix_index, FtLeaderRecovered recovered)
{
  PageRequest *page = ft_leader_request_new (node, &page_kind);
  page->prefix_index = prefix_index;
  page->first_page_asked_at = page->base.created_at;
  page->recovered = recovered;
  return page;
}

static void
ask_first_page (FtNode *node, guint prefix_index, FtLeaderRecovered recovered)
{
  PageRequest *page = page_request_new (node, prefix_index, recovered);
  ft_leader_request_send (&page->base);
}

static void
ask_page_after (const PageRequest *page, const char *last_key)
{
  PageRequest *next = page_request_new (page->base.node, page->prefix_index, page->recovered);
  next->after = g_strdup (last_key);
  next->first_page_asked_at = page->first_page_asked_at;
  ft_leader_request_send (&next->base);
}

static void
recovery_finished (FtNode *node, FtLeaderRecovered recovered)
{
  ft_scheduler_loaded (node->leader.scheduler, g_get_monotonic_time ());
  /* Only now: without the registry a cancelled task that is known of cannot be stopped, and
   * each answer to its worker would keep it alive. */
  ft_leader_cancellations_known (node, node->leader.rows.cancellations_read_at);
  ft_metrics_time (node->metrics, FT_TIME_RECOVERY, g_get_monotonic_time () - node->leader.led_since);
  recovered (node);
  g_message ("node %s: leader under fencing token %" G_GUINT64_FORMAT ", recovered its state from the key-value store",
             node->config->member, ft_lease_token (node->lease));
}

static void
prefix_finished (const PageRequest *page)
{
  FtNode *node = page->base.node;
  /* The pages differ in age, and an outage may lie between them: what is known is
   * known as of the first. Later changes come by the watch. */
  if (page->prefix_index == 0)
    node->leader.rows.cancellations_read_at = page->first_page_asked_at;
  if (ft_scheduler_is_loaded (node->leader.scheduler)) {
    ft_leader_cancellations_known (node, node->leader.rows.cancellations_read_at);
    page->recovered (node);
  } else if (page->prefix_index + 1 < G_N_ELEMENTS (recovery_prefixes)) {
    ask_first_page (node, page->prefix_index + 1, page->recovered);
  } else {
    recovery_finished (node, page->recovered);
  }
}

static FtLeaderOutcome
on_page (FtLeaderRequest *request, FtStoreResult result, const json_t *body)
{
  const PageRequest *page = (const PageRequest *) request;
  FtNode *node = request->node;
  gboolean more = FALSE;
  g_autoptr (GArray) rows = NULL;
  FtStoreResult read = ft_store_read_rows (result, body, &rows, &more);
  if (read == FT_STORE_MALFORMED)
    ft_node_malformed (node, FT_COUNT_MALFORMED_STORE, "list of rows");
  if (read != FT_STORE_OK)
    return FT_LEADER_OUTCOME_RETRY;
  if (page->prefix_index == 0 && page->after == NULL)
    ft_store_revision (body, &node->leader.rows.known_revision); /* changes since the first page come by the watch */
  for (guint i = 0; i < rows->len; i++)
    ft_leader_take_row (node, &g_array_index (rows, FtRow, i));
  if (more && rows->len > 0)
    ask_page_after (page, g_array_index (rows, FtRow, rows->len - 1).key);
  else
    prefix_finished (page);
  return FT_LEADER_OUTCOME_DONE;
}

static void
send_page_request (FtLeaderRequest *request)
{
  const PageRequest *page = (const PageRequest *) request;
  ft_store_client_list (request->node->store, recovery_prefixes[page->prefix_index], page->after,
                        FT_STORE_PRIORITY_LEASE, ft_leader_request_on_store_answer, request);
}

static void
page_request_clear (FtLeaderRequest *request)
{
  g_free (((PageRequest *) request)->after);
}

static const FtLeaderRequestKind page_kind = {
  .size = sizeof (PageRequest),
  .send = send_page_request,
  .on_store_answer = on_page,
  .clear = page_request_clear,
};

void
ft_leader_recovery_start (FtNode *node, FtLeaderRecovered recovered)
{
  ask_first_page (node, 0, recovered);
}
