#include "net/leader_recovery.h"

#include <string.h>

#include "core/lease.h"
#include "net/leader_request.h"
#include "net/leader_rows.h"
#include "net/malformed.h"
#include "net/metrics.h"
#include "net/store_answers.h"
#include "net/store_client.h"
#include "wire/store.h"

/* The prefixes that a new leader reads, in this order. The open jobs come first, because the watch
 * continues from the revision of their first page. */
static const char *const recovery_prefixes[]
    = { FT_PREFIX_OPEN, FT_PREFIX_DONE, FT_PREFIX_DRAINED, FT_PREFIX_REGISTRY };

/* The request for one page of the rows under a prefix. */
typedef struct {
  FtLeaderRequest base;
  guint prefix_index;             /* index into recovery_prefixes */
  char *after;                    /* the last key of the previous page, owned; NULL: this is the first page */
  gint64 first_page_requested_at; /* of this prefix; monotonic, microseconds */
  FtLeaderRecovered recovered;    /* called when the recovery is complete */
  gpointer recovered_data;        /* data of `recovered` */
} PageRequest;

static const FtLeaderRequestKind page_kind;

static PageRequest *
page_request_new (FtLeaderRows *rows, guint prefix_index, FtLeaderRecovered recovered, gpointer data)
{
  PageRequest *page = ft_leader_request_new (ft_leader_rows_term (rows), &page_kind, rows);
  page->prefix_index = prefix_index;
  page->first_page_requested_at = page->base.created_at;
  page->recovered = recovered;
  page->recovered_data = data;
  return page;
}

static void
request_first_page (FtLeaderRows *rows, guint prefix_index, FtLeaderRecovered recovered, gpointer data)
{
  PageRequest *page = page_request_new (rows, prefix_index, recovered, data);
  ft_leader_request_send (&page->base);
}

static void
request_page_after (const PageRequest *page, const char *last_key)
{
  PageRequest *next = page_request_new (page->base.owner, page->prefix_index, page->recovered, page->recovered_data);
  next->after = g_strdup (last_key);
  next->first_page_requested_at = page->first_page_requested_at;
  ft_leader_request_send (&next->base);
}

static void
recovery_finished (const PageRequest *last_page)
{
  const FtLeaderTerm *term = last_page->base.term;
  const FtNode *node = term->node;
  ft_scheduler_loaded (term->scheduler, g_get_monotonic_time ());
  /* This call permits the leader to answer worker heartbeats. It must not come before the machine registry
   * has been read: without the registry the scheduler cannot stop a task that it knows to be cancelled, and
   * each answer to the task's worker would keep the task alive. */
  ft_leader_rows_note_read_complete (last_page->base.owner);
  ft_metrics_record_latency (node->metrics, FT_LATENCY_RECOVERY, g_get_monotonic_time () - term->began_at);
  last_page->recovered (last_page->recovered_data);
  g_message ("node %s: leader under fencing token %" G_GUINT64_FORMAT
             ", recovered its state from the key-value store (open jobs as of revision %" G_GUINT64_FORMAT ")",
             node->config->member, ft_lease_token (node->lease), ft_leader_rows_known_revision (last_page->base.owner));
}

static void
prefix_finished (const PageRequest *page)
{
  FtLeaderRows *rows = page->base.owner;
  /* The pages are read at different times, perhaps with an outage between them. All cancellations are
   * therefore known only up to the request for the first page; the watch returns later ones. */
  if (page->prefix_index == 0)
    ft_leader_rows_set_read_started_at (rows, page->first_page_requested_at);
  if (ft_scheduler_is_loaded (page->base.term->scheduler)) {
    ft_leader_rows_note_read_complete (rows);
    page->recovered (page->recovered_data);
  } else if (page->prefix_index + 1 < G_N_ELEMENTS (recovery_prefixes)) {
    request_first_page (rows, page->prefix_index + 1, page->recovered, page->recovered_data);
  } else {
    recovery_finished (page);
  }
}

/* Records the revision at which the first page was read; the watch returns the changes after it. */
static void
record_known_revision (FtLeaderRows *rows, const json_t *body)
{
  guint64 revision;
  if (ft_store_revision (body, &revision))
    ft_leader_rows_set_known_revision (rows, revision);
}

static FtLeaderOutcome
on_page (FtLeaderRequest *request, FtStoreResult result, const json_t *body)
{
  const PageRequest *page = (const PageRequest *) request;
  FtLeaderRows *leader_rows = request->owner;
  gboolean more = FALSE;
  g_autoptr (GArray) rows = NULL;
  FtStoreResult read = ft_store_read_rows (result, body, &rows, &more);
  if (read == FT_STORE_MALFORMED)
    ft_malformed_log_add (request->term->node->malformed, FT_COUNT_MALFORMED_STORE, "list of rows");
  if (read != FT_STORE_OK)
    return FT_LEADER_OUTCOME_RETRY;
  if (page->prefix_index == 0 && page->after == NULL)
    record_known_revision (leader_rows, body);
  for (guint i = 0; i < rows->len; i++)
    ft_leader_rows_apply (leader_rows, &g_array_index (rows, FtRow, i));
  if (more && rows->len > 0)
    request_page_after (page, g_array_index (rows, FtRow, rows->len - 1).key);
  else
    prefix_finished (page);
  return FT_LEADER_OUTCOME_DONE;
}

static void
send_page_request (FtLeaderRequest *request)
{
  const PageRequest *page = (const PageRequest *) request;
  ft_store_client_list (request->term->node->store, recovery_prefixes[page->prefix_index], page->after,
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
ft_leader_recovery_start (FtLeaderRows *rows, FtLeaderRecovered recovered, gpointer data)
{
  request_first_page (rows, 0, recovered, data);
}
