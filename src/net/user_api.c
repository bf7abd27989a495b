/* Submissions, polls and withdrawals. Any node serves them, by conditional
 * commits and fresh reads; memory serves only what is final. */
#include <string.h>

#include "core/admission.h"
#include "core/constants.h"
#include "net/node.h"
#include "wire/messages.h"
#include "wire/store.h"

typedef struct {
  FtNode *node;
  FtHttpRequest *request;
  char *ref;
  FtJobSpec *spec; /* submissions */
  gboolean created, withdraw;
  guint tries;
  gint64 began;
} UserCall;

static UserCall *
user_call_new (FtNode *node, FtHttpRequest *request, const char *ref)
{
  UserCall *call = g_new0 (UserCall, 1);
  call->node = node;
  call->request = request;
  call->ref = g_strdup (ref);
  call->began = g_get_monotonic_time ();
  return call;
}

/* Ends the call with an answer; takes the body. */
static void
finish (UserCall *call, guint status, json_t *body)
{
  FtMetrics *metrics = call->node->metrics;
  if (call->spec != NULL && (status == 200 || status == 201)) {
    ft_metrics_count (metrics, FT_COUNT_ACCEPTED);
    ft_metrics_time (metrics, FT_TIME_SUBMIT, g_get_monotonic_time () - call->began);
  } else {
    ft_metrics_count (metrics, status == 503 ? FT_COUNT_UNAVAILABLE : FT_COUNT_POLLS);
  }
  ft_http_respond (call->request, status, body);
  ft_job_spec_free (call->spec);
  g_free (call->ref);
  g_free (call);
}

static gboolean
too_late (const UserCall *call)
{
  return g_get_monotonic_time () - call->began > (gint64) (FT_USER_DEADLINE_S * FT_SECOND);
}

/* ---- states ---- */

static void
remember_final (FtNode *node, const char *ref, const char *state, guint tasks)
{
  /* One number holds the count of tasks and, in its last bit, the state. */
  ft_recent_map_add (node->finals, ref, tasks * 2 + (strcmp (state, "done") == 0));
}

static json_t *
final_body (const char *ref, const char *state, guint tasks)
{
  gboolean done = strcmp (state, "done") == 0;
  return ft_message_job_state (ref, state, done ? tasks : 0, 0, TRUE);
}

/* The answer from memory if the job's state is final; NULL otherwise. */
static json_t *
remembered (FtNode *node, const char *ref)
{
  guint packed;
  if (!ft_recent_map_find (node->finals, ref, &packed))
    return NULL;
  return final_body (ref, packed % 2 ? "done" : "cancelled", packed / 2);
}

/* An open job's counts are for display: the leader's own, or its last summary. */
static json_t *
open_body (FtNode *node, const char *ref)
{
  FtJobView view = { 0 };
  const FtJobView *seen = g_hash_table_lookup (node->mesh_jobs, ref);
  if (node->scheduler != NULL)
    view = ft_scheduler_view (node->scheduler, ref);
  else if (seen != NULL)
    view = *seen;
  return ft_message_job_state (ref, view.running > 0 ? "running" : "queued", view.done, view.running, TRUE);
}

static json_t *
state_body (FtNode *node, const char *ref, const char *state, guint tasks)
{
  if (strcmp (state, "open") == 0)
    return open_body (node, ref);
  remember_final (node, ref, state, tasks);
  return final_body (ref, state, tasks);
}

/* ---- reading a job ---- */

static void withdraw_open (UserCall *call, const FtRow *row, guint tasks);
static void read_job (UserCall *call);

static void
on_read (guint status, const json_t *body, gpointer data)
{
  UserCall *call = data;
  FtRow row;
  guint tasks = 0;
  if (status == 404) {
    /* A submission whose commit got no answer may still be applied: not yet accepted. */
    finish (call, call->spec != NULL ? 503 : 404, NULL);
    return;
  }
  const char *state = status == 200 && ft_store_row (body, &row) ? ft_row_job_state (row.value, &tasks) : NULL;
  if (state == NULL)
    finish (call, 503, NULL);
  else if (call->withdraw && strcmp (state, "open") == 0)
    withdraw_open (call, &row, tasks);
  else {
    if (strcmp (state, "open") == 0)
      ft_polls_remember (call->node->polls, call->ref, row.stamp);
    finish (call, 200, state_body (call->node, call->ref, state, tasks));
  }
}

static void
read_job (UserCall *call)
{
  g_autofree char *key = ft_key_job (call->ref);
  if (too_late (call))
    finish (call, 503, NULL);
  else
    ft_state_get (call->node->state, key, FT_STATE_READ, on_read, call);
}

/* ---- submission ---- */

static void
on_created (guint status, const json_t *body, gpointer data)
{
  UserCall *call = data;
  guint64 stamp;
  if (status == 200 && ft_store_revision (body, &stamp))
    ft_polls_remember (call->node->polls, call->ref, stamp);
  if (status == 200)
    finish (call, 201, ft_message_job_state (call->ref, "queued", 0, 0, FALSE));
  else if (status == 409 || status == 0)
    read_job (call); /* known already, or the commit's fate is unknown */
  else
    finish (call, 503, NULL);
}

static void
create_job (UserCall *call)
{
  g_autofree char *job = ft_key_job (call->ref), *open = ft_key_open (call->ref);
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, job, 0);
  ft_txn_put (txn, job, ft_row_job ("open", call->spec->tasks));
  ft_txn_put (txn, open, ft_row_open (call->spec));
  ft_state_commit (call->node->state, txn, FT_STATE_COMMIT, on_created, call);
  json_decref (txn);
}

static gboolean
overloaded (const FtNode *node)
{
  return !ft_state_contact (node->state, g_get_monotonic_time ()) || ft_state_queued (node->state) > FT_STATE_QUEUE_MOST
         || (node->scheduler != NULL && ft_scheduler_open_tasks (node->scheduler) > FT_OPEN_TASKS_MOST);
}

static void
submit (FtNode *node, FtHttpRequest *request)
{
  g_autoptr (FtJobSpec) spec = ft_message_job (ft_http_body (request));
  const char *why;
  if (spec == NULL) {
    ft_metrics_count (node->metrics, FT_COUNT_REFUSED);
    ft_http_respond (request, 400, NULL);
    return;
  }
  json_t *known = remembered (node, spec->ref);
  if (known != NULL) {
    ft_http_respond (request, 200, known);
    return;
  }
  switch (ft_admission_check (&node->config->core, node->catalog, spec, &why)) {
  case FT_ADMIT_NEVER:
    g_message ("job %s: refused: %s", spec->ref, why);
    ft_metrics_count (node->metrics, FT_COUNT_REFUSED);
    ft_http_respond (request, 422, json_pack ("{s:s}", "error", why));
    return;
  case FT_ADMIT_NOT_YET:
    ft_http_unavailable (request);
    return;
  case FT_ADMIT:
    break;
  }
  if (overloaded (node)) {
    ft_metrics_count (node->metrics, FT_COUNT_UNAVAILABLE);
    ft_http_unavailable (request);
    return;
  }
  spec->submitted_wall_ms = g_get_real_time () / 1000;
  UserCall *call = user_call_new (node, request, spec->ref);
  call->spec = g_steal_pointer (&spec);
  create_job (call);
}

/* ---- withdrawal ---- */

static void
on_withdrawn (guint status, const json_t *body, gpointer data)
{
  UserCall *call = data;
  (void) body;
  if (status == 200) {
    g_message ("job %s: withdrawn", call->ref);
    ft_metrics_count (call->node->metrics, FT_COUNT_WITHDRAWN);
    ft_node_withdrawn (call->node, call->ref);
    finish (call, 200, state_body (call->node, call->ref, "cancelled", 0));
  } else if ((status == 409 || status == 0) && ++call->tries < FT_WITHDRAW_TRIES) {
    read_job (call); /* it has changed, perhaps by this very commit */
  } else {
    finish (call, 503, NULL);
  }
}

static void
withdraw_open (UserCall *call, const FtRow *row, guint tasks)
{
  g_autofree char *job = ft_key_job (call->ref), *mark = ft_key_withdrawn (call->ref);
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, job, row->stamp);
  ft_txn_put (txn, job, ft_row_job ("cancelled", tasks));
  ft_txn_put (txn, mark, ft_row_withdrawn (g_get_real_time () / 1000));
  ft_state_commit (call->node->state, txn, FT_STATE_COMMIT, on_withdrawn, call);
  json_decref (txn);
}

/* ---- routes ---- */

static void
on_polled (FtPollResult result, gpointer data)
{
  UserCall *call = data;
  if (result == FT_POLL_CHANGED)
    read_job (call);
  else if (result == FT_POLL_OPEN)
    finish (call, 200, open_body (call->node, call->ref));
  else
    finish (call, 503, NULL);
}

static void
ask (FtNode *node, FtHttpRequest *request, const char *ref, gboolean withdraw)
{
  if (!ft_ref_valid (ref)) {
    ft_http_respond (request, 404, NULL);
    return;
  }
  json_t *known = remembered (node, ref);
  if (known != NULL) {
    ft_http_respond (request, 200, known);
    return;
  }
  if (!ft_state_contact (node->state, g_get_monotonic_time ())) {
    ft_metrics_count (node->metrics, FT_COUNT_UNAVAILABLE);
    ft_http_unavailable (request);
    return;
  }
  UserCall *call = user_call_new (node, request, ref);
  call->withdraw = withdraw;
  if (withdraw || !ft_polls_ask (node->polls, ref, on_polled, call))
    read_job (call);
}

void
ft_user_handle (FtNode *node, FtHttpRequest *request)
{
  const char *path = ft_http_path (request), *method = ft_http_method (request);
  g_auto (GStrv) parts = g_strsplit (path + 1, "/", 4);
  guint n = g_strv_length (parts);
  gboolean get = strcmp (method, "GET") == 0, post = strcmp (method, "POST") == 0;
  if (n == 1)
    post ? submit (node, request) : ft_http_respond (request, 405, NULL);
  else if (n == 2)
    get ? ask (node, request, parts[1], FALSE) : ft_http_respond (request, 405, NULL);
  else if (n == 3 && strcmp (parts[2], "withdraw") == 0)
    post ? ask (node, request, parts[1], TRUE) : ft_http_respond (request, 405, NULL);
  else
    ft_http_respond (request, 404, NULL);
}
