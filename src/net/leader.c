/* What a leader does with the store, the workers and the cloud: it carries the
 * scheduler's actions out and the answers back. */
#include <string.h>

#include "core/constants.h"
#include "net/node.h"
#include "wire/cloud.h"
#include "wire/messages.h"
#include "wire/store.h"

/* Context of a request; answers of an earlier term are dropped. */
typedef struct Call {
  FtNode *node;
  guint term;
  gint64 sent_at;
  GPtrArray *writes;
  guint64 batch;
  FtDirect *direct;
  FtCloudCall *cloud;
  GArray *list;
  char *text;
  const char *prefix; /* static */
  gint64 began_at;    /* when the first page of a reading was asked for */
  guint tries;
  void (*again) (struct Call *call);
} Call;

static Call *
call_new (FtNode *node)
{
  Call *call = g_new0 (Call, 1);
  call->node = node;
  call->term = node->leader.term;
  call->sent_at = g_get_monotonic_time ();
  return call;
}

static void
call_free (Call *call)
{
  if (call->writes != NULL)
    g_ptr_array_unref (call->writes);
  if (call->list != NULL)
    g_array_unref (call->list);
  ft_direct_free (call->direct);
  ft_cloud_call_free (call->cloud);
  g_free (call->text);
  g_free (call);
}
G_DEFINE_AUTOPTR_CLEANUP_FUNC (Call, call_free)

static gboolean
term_is_over (const Call *call)
{
  return call->term != call->node->leader.term || call->node->leader.scheduler == NULL;
}

static gboolean
on_retry (gpointer data)
{
  Call *call = data;
  if (term_is_over (call))
    call_free (call);
  else
    call->again (call);
  return G_SOURCE_REMOVE;
}

/* Sends the request again after a pause, unless the leadership is over by then. */
static void
retry_later (Call *call, void (*again) (Call *call))
{
  double pause = MIN (FT_BACKOFF_FIRST_S * (1u << MIN (call->tries, 8)), FT_BACKOFF_LONGEST_S);
  pause *= g_rand_double_range (call->node->random, 0.5, 1.5);
  call->tries++;
  call->again = again;
  g_timeout_add ((guint) (pause * 1000), on_retry, call);
}

static gint64
wall_ms (void)
{
  return g_get_real_time () / 1000;
}

static gint64
soon (FtNode *node)
{
  return g_get_monotonic_time ()
         + (gint64) (g_rand_double_range (node->random, 0.5, 1.5) * FT_BACKOFF_FIRST_S * FT_SECOND);
}

/* ---- recovery: jobs, done-sets, registry ---- */

static void load_next (FtNode *node, const char *prefix, const char *after, gint64 began_at);

static void
load_open_row (FtNode *node, const FtRow *row, gboolean fresh)
{
  gboolean cancelled;
  g_autofree char *ref = ft_key_open_ref (row->key, &cancelled);
  gint64 now = g_get_monotonic_time ();
  if (ref == NULL || row->value == NULL)
    return;
  if (cancelled) {
    gint64 age_us = MAX (0, wall_ms () - ft_row_cancellation_time (row->value)) * 1000;
    ft_scheduler_job_cancelled (node->leader.scheduler, ref, age_us, now);
    return;
  }
  g_autoptr (GError) error = NULL;
  FtJobSpec *spec = ft_row_open_parse_full (ref, row->value, &error);
  if (spec == NULL)
    g_warning ("job %s: its row cannot be read: %s", ref, error->message);
  else if (fresh)
    ft_scheduler_job_added (node->leader.scheduler, spec, ft_row_open_revision (row), now, wall_ms ());
  else
    ft_scheduler_load_job (node->leader.scheduler, spec, ft_row_open_revision (row), now, wall_ms ());
}

static void
load_row (FtNode *node, const FtRow *row)
{
  g_autofree char *ref = NULL;
  guint chunk;
  if (g_str_has_prefix (row->key, FT_PREFIX_OPEN)) {
    /* After a watch that fell behind, only jobs accepted meanwhile are new. */
    load_open_row (node, row, ft_scheduler_is_loaded (node->leader.scheduler));
  } else if (ft_key_drained_name (row->key) != NULL) {
    ft_scheduler_drain (node->leader.scheduler, ft_key_drained_name (row->key), TRUE);
  } else if (g_str_has_prefix (row->key, FT_PREFIX_REGISTRY)) {
    if (!ft_row_machine_parse (node->leader.scheduler, row))
      g_warning ("machine %s: its row cannot be read", row->key);
  } else if (ft_key_chunk_parse (row->key, &ref, &chunk) && ft_row_chunk_bits (row->value) != NULL) {
    ft_scheduler_load_done (node->leader.scheduler, ref, chunk, ft_row_chunk_bits (row->value));
  }
}

/* Whatever was cancelled before `at` has been taken in. */
static void
cancellations_known (FtNode *node, gint64 at)
{
  ft_lease_cancellations_known (node->lease, at);
  ft_scheduler_cancellations_known (node->leader.scheduler, at);
}

static void
load_finished (FtNode *node, const char *prefix, gint64 began_at)
{
  /* The pages differ in age, and an outage may lie between them: what is known is
   * known as of the first. What came later comes by the watch. */
  if (strcmp (prefix, FT_PREFIX_OPEN) == 0)
    node->leader.cancellations_read_at = began_at;
  if (ft_scheduler_is_loaded (node->leader.scheduler)) {
    cancellations_known (node, node->leader.cancellations_read_at);
    node->leader.next_watch = 0;
  } else if (strcmp (prefix, FT_PREFIX_OPEN) == 0) {
    load_next (node, FT_PREFIX_DONE, NULL, 0);
  } else if (strcmp (prefix, FT_PREFIX_DONE) == 0) {
    load_next (node, FT_PREFIX_DRAINED, NULL, 0);
  } else if (strcmp (prefix, FT_PREFIX_DRAINED) == 0) {
    load_next (node, FT_PREFIX_REGISTRY, NULL, 0);
  } else {
    ft_scheduler_loaded (node->leader.scheduler, g_get_monotonic_time ());
    /* Only now: without the registry a cancelled task that is known of cannot be stopped, and
     * each answer to its worker would keep it alive. */
    cancellations_known (node, node->leader.cancellations_read_at);
    ft_metrics_time (node->metrics, FT_TIME_RECOVERY, g_get_monotonic_time () - node->leader.led_since);
    node->leader.next_watch = 0;
    g_message ("node %s: leader under token %" G_GUINT64_FORMAT ", recovered the store", node->config->member,
               ft_lease_token (node->lease));
  }
}

static void load_page (Call *call);

static void
on_load (guint status, const json_t *body, gpointer data)
{
  Call *call = data;
  FtNode *node = call->node;
  gboolean more = FALSE;
  if (term_is_over (call)) {
    call_free (call);
    return;
  }
  g_autoptr (GArray) rows = status == 200 ? ft_store_rows (body, &more) : NULL;
  if (rows == NULL) {
    if (status == 200)
      ft_node_malformed (node, FT_COUNT_MALFORMED_STORE, "list of rows");
    retry_later (call, load_page);
    return;
  }
  G_GNUC_UNUSED g_autoptr (Call) owned = call;
  if (strcmp (call->prefix, FT_PREFIX_OPEN) == 0 && call->text == NULL)
    ft_store_revision (body, &node->leader.watch_since); /* changes since the first page come by the watch */
  for (guint i = 0; i < rows->len; i++)
    load_row (node, &g_array_index (rows, FtRow, i));
  if (more && rows->len > 0)
    load_next (node, call->prefix, g_array_index (rows, FtRow, rows->len - 1).key, call->began_at);
  else
    load_finished (node, call->prefix, call->began_at);
}

static void
load_page (Call *call)
{
  ft_store_client_list (call->node->store, call->prefix, call->text, FT_STORE_PRIORITY_LEASE, on_load, call);
}

/* `began_at`: when the first page was asked for; 0: this is the first. */
static void
load_next (FtNode *node, const char *prefix, const char *after, gint64 began_at)
{
  Call *call = call_new (node);
  call->text = g_strdup (after);
  call->prefix = prefix;
  call->began_at = began_at > 0 ? began_at : call->sent_at;
  load_page (call);
}

/* ---- the watch ---- */

static void
on_watch (guint status, const json_t *body, gpointer data)
{
  g_autoptr (Call) call = data;
  FtNode *node = call->node;
  if (term_is_over (call))
    return;
  node->leader.watch_in_flight = FALSE;
  if (status == 410) {
    load_next (node, FT_PREFIX_OPEN, NULL, 0);
    return;
  }
  g_autoptr (GArray) rows = status == 200 ? ft_store_events (body) : NULL;
  if (rows == NULL || !ft_store_revision (body, &node->leader.watch_since)) {
    if (status == 200)
      ft_node_malformed (node, FT_COUNT_MALFORMED_STORE, "list of events");
    node->leader.next_watch = soon (node);
    return;
  }
  for (guint i = 0; i < rows->len; i++)
    load_open_row (node, &g_array_index (rows, FtRow, i), TRUE);
  cancellations_known (node, call->sent_at);
  ft_node_pump (node);
}

static void
watch (FtNode *node, gint64 now)
{
  if (node->leader.watch_in_flight || now < node->leader.next_watch || !ft_scheduler_is_loaded (node->leader.scheduler))
    return;
  node->leader.watch_in_flight = TRUE;
  ft_store_client_follow (node->store, FT_PREFIX_OPEN, node->leader.watch_since, on_watch, call_new (node));
}

/* ---- batches ---- */

static void
batch_over (FtNode *node, Call *call, gboolean applied, const char *conflicted)
{
  gint64 now = g_get_monotonic_time ();
  node->leader.batch_in_flight = FALSE;
  if (applied)
    ft_scheduler_writes_committed (node->leader.scheduler, call->writes, now);
  else
    ft_scheduler_writes_failed (node->leader.scheduler, call->writes, conflicted, now);
  ft_node_pump (node);
}

static void read_journal (Call *call);

/* Was the unanswered batch applied? If not, the next one moves the journal row
 * and so keeps a late copy of this one from being applied. */
static void
on_journal (guint status, const json_t *body, gpointer data)
{
  Call *call = data;
  FtNode *node = call->node;
  FtRow row;
  if (term_is_over (call)) {
    call_free (call);
    return;
  }
  if (status != 200 || !ft_store_row (body, &row)) {
    retry_later (call, read_journal);
    return;
  }
  G_GNUC_UNUSED g_autoptr (Call) owned = call;
  guint64 token, batch;
  ft_row_journal_parse (row.value, &token, &batch);
  if (token != ft_lease_token (node->lease)) {
    ft_node_step_down (node, "the journal is another leader's");
    return;
  }
  gboolean applied = batch == call->batch;
  node->leader.journal_revision = row.revision;
  batch_over (node, call, applied, NULL);
}

static void
read_journal (Call *call)
{
  ft_store_client_get (call->node->store, FT_KEY_JOURNAL, FT_STORE_PRIORITY_COMMIT, on_journal, call);
}

static void ask_job (Call *call);

static void
on_conflicted_job (guint status, const json_t *body, gpointer data)
{
  Call *call = data;
  FtNode *node = call->node;
  FtRow row;
  FtJobRow state;
  if (term_is_over (call)) {
    call_free (call);
    return;
  }
  if (status != 200 || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state)) {
    retry_later (call, ask_job); /* the job stays as it is until the answer is known */
    return;
  }
  gint64 now = g_get_monotonic_time ();
  if (state.open)
    ft_scheduler_job_still_open (node->leader.scheduler, call->text, row.revision, now);
  else
    ft_scheduler_job_conflict_resolved (node->leader.scheduler, call->text, state.end == FT_JOB_END_DONE, now);
  call_free (call);
  ft_node_pump (node);
}

static void
ask_job (Call *call)
{
  g_autofree char *key = ft_key_job (call->text);
  ft_store_client_get (call->node->store, key, FT_STORE_PRIORITY_COMMIT, on_conflicted_job, call);
}

static void
batch_refused (FtNode *node, Call *call, const json_t *body)
{
  if (ft_store_failed (body, FT_KEY_FENCE)) {
    ft_node_step_down (node, "the fence has moved on");
    return;
  }
  if (ft_store_failed (body, FT_KEY_JOURNAL)) {
    g_autoptr (Call) again = call_new (node);
    again->writes = g_ptr_array_ref (call->writes);
    again->batch = call->batch;
    read_journal (g_steal_pointer (&again));
    return;
  }
  const char *ref = ft_store_conflicted_job (body, call->writes);
  if (ref != NULL) {
    Call *ask = call_new (node);
    ask->text = g_strdup (ref);
    ask_job (ask);
  }
  batch_over (node, call, FALSE, ref);
}

static void
shrink_batches (FtNode *node)
{
  node->leader.batch_ops_most = MAX (FT_TXN_OPS_MIN, node->leader.batch_ops_most / 2);
}

/* The state service will not take it, however often it is sent: its limits may have changed.
 * What comes next is smaller. */
static void
batch_invalid (FtNode *node, Call *call)
{
  ft_metrics_count (node->metrics, FT_COUNT_BATCHES_INVALID);
  g_warning ("node %s: the state service refused a batch of %u writes as invalid", node->config->member,
             call->writes->len);
  shrink_batches (node);
  ft_scheduler_lower_value_limit (node->leader.scheduler);
  node->leader.next_batch = g_get_monotonic_time () + (gint64) (FT_BATCH_INVALID_PAUSE_S * FT_SECOND);
  batch_over (node, call, FALSE, NULL);
}

static void
on_batch (guint status, const json_t *body, gpointer data)
{
  g_autoptr (Call) call = data;
  FtNode *node = call->node;
  guint64 revision;
  if (term_is_over (call))
    return;
  if (status == 200 && ft_store_revision (body, &revision)) {
    node->leader.journal_revision = revision;
    ft_metrics_count (node->metrics, FT_COUNT_BATCHES);
    ft_metrics_time (node->metrics, FT_TIME_BATCH, g_get_monotonic_time () - call->sent_at);
    batch_over (node, call, TRUE, NULL);
  } else if (status == 409) {
    batch_refused (node, call, body);
  } else if (status == 503 || status == 429) {
    if (status == 429)
      shrink_batches (node); /* more changes at once than the service takes in a second never pass */
    node->leader.next_batch = soon (node);
    batch_over (node, call, FALSE, NULL);
  } else if (status == 400) {
    batch_invalid (node, call);
  } else {
    ft_metrics_count (node->metrics, FT_COUNT_BATCHES_UNCERTAIN);
    read_journal (g_steal_pointer (&call));
  }
}

static void
commit_batch (FtNode *node, gint64 now)
{
  if (node->leader.batch_in_flight || now < node->leader.next_batch)
    return;
  GPtrArray *writes = ft_scheduler_next_writes (node->leader.scheduler, node->leader.batch_ops_most - 1,
                                                ft_store_client_spare_writes (node->store), now);
  if (writes->len == 0) {
    g_ptr_array_unref (writes);
    return;
  }
  Call *call = call_new (node);
  call->writes = writes;
  call->batch = ++node->leader.journal_batch;
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, FT_KEY_FENCE, ft_lease_fence_revision (node->lease));
  ft_txn_if (txn, FT_KEY_JOURNAL, node->leader.journal_revision);
  ft_txn_put (txn, FT_KEY_JOURNAL, ft_row_journal (ft_lease_token (node->lease), call->batch));
  for (guint i = 0; i < writes->len; i++)
    ft_txn_add_write (txn, g_ptr_array_index (writes, i), wall_ms ());
  node->leader.batch_in_flight = TRUE;
  ft_store_client_commit (node->store, txn, FT_STORE_PRIORITY_COMMIT, on_batch, call);
  json_decref (txn);
}

/* ---- jobs that others wait for ---- */

static void
on_dependency_read (guint status, const json_t *body, gpointer data)
{
  g_autoptr (Call) call = data;
  FtNode *node = call->node;
  FtRow row;
  FtJobRow state;
  if (term_is_over (call))
    return;
  node->leader.dependency_reads--;
  /* Open, or not answered: the scheduler names it again. */
  if (status != 200 || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state) || state.open)
    return;
  gint64 age_us = state.ended_wall_ms > 0 ? MAX (0, wall_ms () - state.ended_wall_ms) * 1000 : -1;
  ft_scheduler_job_end_read (node->leader.scheduler, call->text, state.end, age_us, g_get_monotonic_time ());
  ft_node_pump (node);
}

/* Jobs that others need and that are not among the open ones: only their rows tell how they
 * have ended. */
static void
read_dependencies (FtNode *node, gint64 now)
{
  while (node->leader.dependency_reads < FT_DEPENDENCY_READS_MAX) {
    const char *ref = ft_scheduler_next_unread_job (node->leader.scheduler, now);
    if (ref == NULL)
      return;
    Call *call = call_new (node);
    call->text = g_strdup (ref);
    node->leader.dependency_reads++;
    g_autofree char *key = ft_key_job (ref);
    ft_store_client_get (node->store, key, FT_STORE_PRIORITY_COMMIT, on_dependency_read, call);
  }
}

/* ---- direct commands ---- */

static void
on_direct (guint status, const guint8 *body, gsize size, gpointer data)
{
  g_autoptr (Call) call = data;
  FtNode *node = call->node;
  if (term_is_over (call))
    return;
  node->leader.directs--;
  g_autoptr (FtWorkerHeartbeat) heartbeat
      = status == 200 || status == 409 ? ft_message_worker_heartbeat_read (body, size) : NULL;
  FtDirectResult result = status == 200 && heartbeat != NULL   ? FT_DIRECT_OK
                          : status == 409 && heartbeat != NULL ? FT_DIRECT_CONFLICT
                                                               : FT_DIRECT_UNANSWERED;
  if (heartbeat == NULL && (status == 200 || status == 409))
    ft_node_malformed (node, FT_COUNT_MALFORMED_WORKERS, "answer to a command");
  if (result == FT_DIRECT_UNANSWERED)
    ft_metrics_count (node->metrics, FT_COUNT_DIRECT_UNANSWERED);
  else
    ft_metrics_time (node->metrics, FT_TIME_DIRECT, g_get_monotonic_time () - call->sent_at);
  if (!ft_scheduler_direct_done (node->leader.scheduler, call->direct, result, heartbeat, g_get_monotonic_time ())) {
    ft_node_step_down (node, "a worker has seen a higher token");
    return;
  }
  ft_node_pump (node);
}

static void
send_directs (FtNode *node, gint64 now)
{
  while (node->leader.directs < FT_DIRECT_MAX) {
    FtDirect *direct = ft_scheduler_next_direct (node->leader.scheduler, now);
    if (direct == NULL)
      return;
    Call *call = call_new (node);
    call->direct = direct;
    json_t *body = ft_message_commands (ft_lease_token (node->lease), direct->incarnation, direct->commands);
    node->leader.directs++;
    ft_http_send_raw (node->worker_client, "POST", direct->addr, "/commands", FT_BODY_CBOR, body, FT_COMMAND_TIMEOUT_S,
                      TRUE, on_direct, call);
    json_decref (body);
  }
}

/* ---- the cloud ---- */

static void
on_cloud (guint status, const json_t *body, gpointer data)
{
  g_autoptr (Call) call = data;
  FtNode *node = call->node;
  if (term_is_over (call))
    return;
  node->leader.cloud_calls--;
  FtCloudResult result = FT_CLOUD_FAILED;
  if (status == 200 && (call->cloud->op == FT_CLOUD_SCALE_IN || ft_cloud_launched (body, call->cloud)))
    result = FT_CLOUD_OK;
  else if (status == 400
           || (status == 503 && g_strcmp0 (json_string_value (json_object_get (body, "error")), "no capacity") == 0))
    result = FT_CLOUD_REFUSED;
  if (status == 200 && result == FT_CLOUD_FAILED)
    ft_node_malformed (node, FT_COUNT_MALFORMED_CLOUD, "answer to a rental");
  ft_scheduler_cloud_done (node->leader.scheduler, call->cloud, result, g_get_monotonic_time ());
  ft_node_pump (node);
}

static void
call_cloud (FtNode *node, gint64 now)
{
  while (node->leader.cloud_calls < FT_CLOUD_CALLS_MAX && ft_budget_has (&node->leader.cloud_budget, 1, now)) {
    FtCloudCall *cloud = ft_scheduler_next_cloud (node->leader.scheduler, now);
    if (cloud == NULL)
      return;
    Call *call = call_new (node);
    call->cloud = cloud;
    gboolean scale_out = cloud->op == FT_CLOUD_SCALE_OUT;
    json_t *body = scale_out ? ft_cloud_scale_out_body (cloud) : ft_cloud_scale_in_body (cloud);
    node->leader.cloud_calls++;
    ft_budget_take (&node->leader.cloud_budget, 1);
    ft_http_send (node->cloud_client, "POST", node->config->cloud_addr, scale_out ? "/rentals" : "/rentals/return",
                  FT_BODY_CBOR, body, FT_CLOUD_TIMEOUT_S, FALSE, on_cloud, call);
    json_decref (body);
  }
}

static void list_machines (FtNode *node, GArray *list);

static void
on_list (guint status, const json_t *body, gpointer data)
{
  g_autoptr (Call) call = data;
  FtNode *node = call->node;
  gboolean more = FALSE;
  if (term_is_over (call))
    return;
  node->leader.list_in_flight = FALSE;
  if (status != 200)
    return;
  if (!ft_cloud_list (body, call->list, &more)) {
    ft_node_malformed (node, FT_COUNT_MALFORMED_CLOUD, "list of machines");
    return;
  }
  if (more && call->list->len > 0) {
    list_machines (node, g_array_ref (call->list));
    return;
  }
  ft_scheduler_listed (node->leader.scheduler, call->list, g_get_monotonic_time ());
  ft_node_pump (node);
}

/* Takes the list read so far. */
static void
list_machines (FtNode *node, GArray *list)
{
  const char *last = list->len > 0 ? g_array_index (list, FtListedMachine, list->len - 1).name : NULL;
  g_autofree char *path = last != NULL ? g_strdup_printf ("/rentals?since=%s&limit=%d", last, FT_CLOUD_LIST_LIMIT)
                                       : g_strdup_printf ("/rentals?limit=%d", FT_CLOUD_LIST_LIMIT);
  Call *call = call_new (node);
  call->list = list;
  node->leader.list_in_flight = TRUE;
  ft_budget_take (&node->leader.cloud_budget, 1);
  ft_http_send (node->cloud_client, "GET", node->config->cloud_addr, path, FT_BODY_CBOR, NULL, FT_CLOUD_TIMEOUT_S,
                FALSE, on_list, call);
}

/* ---- leadership ---- */

void
ft_leader_begin (FtNode *node, guint64 revision)
{
  gint64 now = g_get_monotonic_time ();
  ft_leader_end (node);
  g_autoptr (FtCatalog) catalog
      = node->catalog_cache.catalog != NULL ? ft_catalog_ref (node->catalog_cache.catalog) : ft_catalog_new ();
  node->leader.scheduler = ft_scheduler_new (&node->config->core, catalog, ft_lease_token (node->lease),
                                             node->answer_grace_us, now, g_rand_int (node->random));
  ft_scheduler_set_tuning (node->leader.scheduler, &node->settings.tuning);
  ft_metrics_count (node->metrics, FT_COUNT_TAKEOVERS);
  node->leader.journal_revision = revision;
  node->leader.journal_batch = 0;
  node->leader.batch_ops_most = node->config->core.txn_ops;
  node->leader.led_since = now;
  node->leader.next_list = node->leader.next_scheduler_tick = now;
  ft_store_client_set_leading (node->store, TRUE);
  load_next (node, FT_PREFIX_OPEN, NULL, 0);
}

void
ft_leader_end (FtNode *node)
{
  node->leader.term++;
  node->leader.batch_in_flight = node->leadership.renew_in_flight = node->leader.watch_in_flight
      = node->leader.list_in_flight = FALSE;
  node->leader.directs = node->leader.cloud_calls = node->leader.dependency_reads = 0;
  node->heartbeat_queue.overrun_since = 0;
  node->leader.next_batch = node->leader.next_watch = 0;
  g_clear_pointer (&node->leader.scheduler, ft_scheduler_free);
  ft_store_client_set_leading (node->store, FALSE);
}

void
ft_leader_pump (FtNode *node, gint64 now)
{
  if (!ft_scheduler_is_loaded (node->leader.scheduler))
    return;
  ft_scheduler_place (node->leader.scheduler, now, ft_lease_may_start (node->lease, now));
  commit_batch (node, now);
  read_dependencies (node, now);
  send_directs (node, now);
  call_cloud (node, now);
}

void
ft_leader_tick (FtNode *node, gint64 now)
{
  watch (node, now);
  if (now >= node->leader.next_list && !node->leader.list_in_flight
      && ft_budget_has (&node->leader.cloud_budget, 1, now) && ft_scheduler_is_loaded (node->leader.scheduler)) {
    node->leader.next_list = now + (gint64) (FT_LIST_EVERY_S * FT_SECOND);
    list_machines (node, ft_listed_new ());
  }
  if (now >= node->leader.next_scheduler_tick) {
    node->leader.next_scheduler_tick = now + (gint64) (FT_SCHEDULER_TICK_S * FT_SECOND);
    ft_scheduler_tick (node->leader.scheduler, now, ft_lease_may_start (node->lease, now));
    ft_leader_pump (node, now);
  }
}
