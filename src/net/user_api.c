/* Submissions, polls and cancellations. Any node serves them, by conditional
 * commits and fresh reads; memory serves only what is final. */
#include <string.h>

#include "core/admission.h"
#include "core/constants.h"
#include "net/ancestors.h"
#include "net/polls.h"
#include "net/user_api.h"
#include "wire/messages.h"
#include "wire/store.h"

typedef struct {
  FtNode *node;
  FtHttpRequest *request;
  char *ref;
  FtJobSpec *spec; /* submissions */
  gboolean cancel;
  gboolean by_dependency; /* cancelled since a job that it needs is */
  guint tries;
  gint64 as_of; /* until then nothing that a submitted job needs was cancelled; 0: not known */
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
    ft_metrics_count (metrics, status == 503   ? FT_COUNT_UNAVAILABLE
                               : status == 422 ? FT_COUNT_REFUSED
                                               : FT_COUNT_POLLS);
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

static json_t *
ended_body (const char *ref, FtJobEnd end, guint tasks)
{
  gboolean done = end == FT_JOB_END_DONE;
  return ft_message_job_state (ref, done ? "done" : "cancelled", done ? tasks : 0, 0, TRUE);
}

/* The answer from memory if the job is known to have ended; NULL otherwise. */
static json_t *
remembered (FtNode *node, const char *ref)
{
  FtJobEnd end;
  guint tasks;
  return ft_job_cache_end (node->job_cache, ref, &end, &tasks) ? ended_body (ref, end, tasks) : NULL;
}

/* An open job's counts are for display: the leader's own, or its last summary. */
static json_t *
open_body (FtNode *node, const char *ref)
{
  FtJobProgress view = { 0 };
  const FtJobProgress *seen = g_hash_table_lookup (node->peer_group.peer_job_progress, ref);
  if (node->leader.scheduler != NULL)
    view = ft_scheduler_view (node->leader.scheduler, ref);
  else if (seen != NULL)
    view = *seen;
  return ft_message_job_state (ref, view.running > 0 ? "running" : "queued", view.done, view.running, TRUE);
}

static void
answer_ended (UserCall *call, FtJobEnd end, guint tasks)
{
  ft_job_cache_ended (call->node->job_cache, call->ref, end, tasks);
  finish (call, 200, ended_body (call->ref, end, tasks));
}

static void read_job (UserCall *call);

static void
on_ancestors_checked (FtAncestorsResult result, const char *ref, gpointer data)
{
  UserCall *call = data;
  (void) ref;
  json_t *ended = remembered (call->node, call->ref);
  if (ended != NULL) {
    finish (call, 200, ended); /* found out meanwhile */
  } else if (result == FT_ANCESTORS_OPEN) {
    finish (call, 200, open_body (call->node, call->ref));
  } else if (result == FT_ANCESTORS_CANCELLED) {
    call->by_dependency = call->cancel = TRUE;
    read_job (call);
  } else {
    finish (call, 503, NULL);
  }
}

/* Its row is open; but what it needs may have been cancelled. */
static void
answer_open (UserCall *call)
{
  ft_ancestors_check (call->node, call->ref, on_ancestors_checked, call);
}

/* ---- reading a job ---- */

static void cancel_open_job (UserCall *call, const FtRow *row, guint tasks);

static void
on_read (guint status, const json_t *body, gpointer data)
{
  UserCall *call = data;
  FtRow row;
  FtJobRow state;
  if (status == 404) {
    /* A submission whose commit got no answer may still be applied: not yet accepted. */
    finish (call, call->spec != NULL ? 503 : 404, NULL);
    return;
  }
  if (status != 200 || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state)) {
    finish (call, 503, NULL);
  } else if (!state.open) {
    answer_ended (call, state.end, state.tasks);
  } else if (call->cancel) {
    cancel_open_job (call, &row, state.tasks);
  } else {
    ft_job_cache_open (call->node->job_cache, call->ref, row.revision, state.has_dependencies);
    answer_open (call);
  }
}

static void
read_job (UserCall *call)
{
  g_autofree char *key = ft_key_job (call->ref);
  if (too_late (call))
    finish (call, 503, NULL);
  else
    ft_store_client_get (call->node->store, key, call->cancel ? FT_STORE_PRIORITY_CANCEL : FT_STORE_PRIORITY_READ,
                         on_read, call);
}

/* ---- submission ---- */

static void
remember_created (UserCall *call, guint64 revision)
{
  FtCachedJob *job = ft_job_cache_open (call->node->job_cache, call->ref, revision, call->spec->dependencies != NULL);
  job->checked_at = call->as_of;
  g_strfreev (job->dependencies);
  job->dependencies = g_strdupv (call->spec->dependencies);
}

/* The job was not created now: it is known already, or the commit's fate is unknown, or it
 * was not carried out. */
static void
not_created (UserCall *call, guint status)
{
  if (status == 409 || status == 0)
    read_job (call);
  else
    finish (call, 503, NULL);
}

static void
on_created (guint status, const json_t *body, gpointer data)
{
  UserCall *call = data;
  guint64 revision;
  if (status == 200 && ft_store_revision (body, &revision))
    remember_created (call, revision);
  if (status == 200)
    finish (call, 201, ft_message_job_state (call->ref, "queued", 0, 0, FALSE));
  else
    not_created (call, status);
}

static void
create_job (UserCall *call)
{
  g_autofree char *job = ft_key_job (call->ref), *open = ft_key_open (call->ref);
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, job, 0);
  ft_txn_put (txn, job, ft_row_job_open (call->spec));
  ft_txn_put (txn, open, ft_row_open (call->spec));
  ft_store_client_commit (call->node->store, txn, FT_STORE_PRIORITY_COMMIT, on_created, call);
  json_decref (txn);
}

static void
on_created_cancelled (guint status, const json_t *body, gpointer data)
{
  UserCall *call = data;
  (void) body;
  if (status != 200) {
    not_created (call, status);
    return;
  }
  g_message ("job %s: accepted as cancelled, since a job that it needs is", call->ref);
  ft_metrics_count (call->node->metrics, FT_COUNT_CANCELLED_BY_DEPENDENCY);
  ft_job_cache_ended (call->node->job_cache, call->ref, FT_JOB_END_CANCELLED, call->spec->tasks);
  finish (call, 201, ended_body (call->ref, FT_JOB_END_CANCELLED, call->spec->tasks));
}

/* Accepted, and over at once: no leader need ever hear of it. */
static void
create_cancelled (UserCall *call)
{
  g_autofree char *job = ft_key_job (call->ref);
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, job, 0);
  ft_txn_put (txn, job, ft_row_job_ended (FT_JOB_END_CANCELLED, call->spec->tasks, g_get_real_time () / 1000));
  ft_store_client_commit (call->node->store, txn, FT_STORE_PRIORITY_COMMIT, on_created_cancelled, call);
  json_decref (txn);
}

static void
on_dependencies_checked (FtAncestorsResult result, const char *ref, gpointer data)
{
  UserCall *call = data;
  if (result == FT_ANCESTORS_OPEN) {
    create_job (call);
  } else if (result == FT_ANCESTORS_CANCELLED) {
    create_cancelled (call);
  } else if (result == FT_ANCESTORS_MISSING) {
    g_autofree char *why = g_strdup_printf ("it needs job %s, which was never accepted", ref);
    g_message ("job %s: refused: %s", call->ref, why);
    finish (call, 422, json_pack ("{s:s}", "error", why));
  } else {
    finish (call, 503, NULL);
  }
}

static gboolean
overloaded (const FtNode *node)
{
  return !ft_store_client_contact (node->store, g_get_monotonic_time ())
         || ft_store_client_queued (node->store) > FT_STORE_QUEUE_MAX
         || ft_store_client_write_wait_s (node->store) > FT_SUBMIT_WAIT_MAX_S
         || (node->leader.scheduler != NULL && ft_scheduler_open_tasks (node->leader.scheduler) > FT_OPEN_TASKS_MAX);
}

/* A job that waits for others is safe only with controllers that know of it: an older leader
 * would start it at once. */
static gboolean
must_wait_for_upgrade (const FtNode *node, const FtJobSpec *spec)
{
  return spec->dependencies != NULL && ft_node_has_older_peer (node, g_get_monotonic_time ());
}

/* Whether the job can ever run, as far as its submission alone tells. */
static FtAdmission
admit (const FtNode *node, const FtJobSpec *spec, const char **why)
{
  if (ft_row_open_size (spec) > node->config->core.value_kb * 1024) {
    *why = "it is too large for a row of the state service: fewer or shorter names are needed";
    return FT_ADMIT_NEVER;
  }
  return ft_admission_check (&node->config->core, node->catalog_cache.catalog, spec, why);
}

static void
refuse (FtNode *node, FtHttpRequest *request, guint status, json_t *body)
{
  ft_metrics_count (node->metrics, FT_COUNT_REFUSED);
  ft_http_respond (request, status, body);
}

static void
put_off (FtNode *node, FtHttpRequest *request)
{
  ft_metrics_count (node->metrics, FT_COUNT_UNAVAILABLE);
  ft_http_unavailable (request);
}

static void
submit (FtNode *node, FtHttpRequest *request)
{
  g_autoptr (FtJobSpec) spec = ft_message_job (ft_http_body (request));
  const char *why;
  if (spec == NULL) {
    refuse (node, request, 400, NULL);
    return;
  }
  json_t *known = remembered (node, spec->ref);
  if (known != NULL) {
    ft_http_respond (request, 200, known);
    return;
  }
  FtAdmission admission = admit (node, spec, &why);
  if (admission == FT_ADMIT_NEVER) {
    g_message ("job %s: refused: %s", spec->ref, why);
    refuse (node, request, 422, json_pack ("{s:s}", "error", why));
    return;
  }
  if (admission == FT_ADMIT_NOT_YET || overloaded (node) || must_wait_for_upgrade (node, spec)) {
    put_off (node, request);
    return;
  }
  spec->submitted_wall_ms = g_get_real_time () / 1000;
  UserCall *call = user_call_new (node, request, spec->ref);
  call->spec = g_steal_pointer (&spec);
  /* What it needs is found uncancelled no earlier than that. */
  call->as_of = call->spec->dependencies == NULL ? call->began : 0;
  ft_ancestors_check_named (node, (const char *const *) call->spec->dependencies, on_dependencies_checked, call);
}

/* ---- cancellation ---- */

static void
on_cancelled (guint status, const json_t *body, gpointer data)
{
  UserCall *call = data;
  (void) body;
  if (status == 200) {
    g_message ("job %s: withdrawn%s", call->ref, call->by_dependency ? ", since a job that it needs is" : "");
    ft_metrics_count (call->node->metrics, call->by_dependency ? FT_COUNT_CANCELLED_BY_DEPENDENCY : FT_COUNT_CANCELLED);
    ft_node_job_cancelled (call->node, call->ref);
    answer_ended (call, FT_JOB_END_CANCELLED, 0);
  } else if ((status == 409 || status == 0) && ++call->tries < FT_CANCEL_TRIES) {
    read_job (call); /* it has changed, perhaps by this very commit */
  } else {
    finish (call, 503, NULL);
  }
}

static void
cancel_open_job (UserCall *call, const FtRow *row, guint tasks)
{
  g_autofree char *job = ft_key_job (call->ref), *mark = ft_key_cancellation (call->ref);
  gint64 wall_ms = g_get_real_time () / 1000;
  json_t *txn = ft_txn_new ();
  ft_txn_if (txn, job, row->revision);
  ft_txn_put (txn, job, ft_row_job_ended (FT_JOB_END_CANCELLED, tasks, wall_ms));
  ft_txn_put (txn, mark, ft_row_cancellation (wall_ms));
  ft_store_client_commit (call->node->store, txn, FT_STORE_PRIORITY_CANCEL, on_cancelled, call);
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
    answer_open (call);
  else
    finish (call, 503, NULL);
}

static void
ask (FtNode *node, FtHttpRequest *request, const char *ref, gboolean cancel)
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
  if (!ft_store_client_contact (node->store, g_get_monotonic_time ())) {
    put_off (node, request);
    return;
  }
  UserCall *call = user_call_new (node, request, ref);
  call->cancel = cancel;
  if (cancel || !ft_polls_ask (node->polls, ref, on_polled, call))
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
