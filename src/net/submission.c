#include "net/submission.h"

#include "core/admission.h"
#include "core/constants.h"
#include "net/ancestors.h"
#include "net/catalog_cache.h"
#include "net/idempotent_request.h"
#include "net/job_answer.h"
#include "net/job_cache.h"
#include "net/job_status.h"
#include "net/leader.h"
#include "net/metrics.h"
#include "net/peers.h"
#include "net/store_client.h"
#include "wire/messages.h"
#include "wire/store.h"

/* The functions below are in the order in which a submission passes through them. Each step passes the
 * request to the next step or answers it. */
static void check_dependencies (FtUserRequest *request);
static void commit_open (FtUserRequest *request);
static void commit_cancelled (FtUserRequest *request);

/* ---- parse ---- */

static gboolean
parse (FtUserRequest *request)
{
  request->spec = ft_message_job (ft_user_request_body (request));
  if (request->spec == NULL)
    return FALSE;
  request->ref = g_strdup (request->spec->ref);
  return TRUE;
}

/* ---- validate: whether the job can ever run, judged by its submission alone ---- */

static FtAdmission
validate (const FtNode *node, const FtJobSpec *spec, const char **reason)
{
  if (ft_row_open_size (spec) > node->config->core.value_kb * 1024) {
    *reason = "it is too large for a row of the state service: fewer or shorter names are needed";
    return FT_ADMIT_NEVER;
  }
  return ft_admission_check (&node->config->core, ft_catalog_cache_get (node->catalog_cache), spec, reason);
}

static void
refuse (FtUserRequest *request, const char *reason)
{
  g_message ("job %s: refused: %s", request->ref, reason);
  ft_user_request_answer (request, FT_HTTP_UNPROCESSABLE, json_pack ("{s:s}", "error", reason));
}

/* ---- admit: whether this controller can accept the job now ---- */

static gboolean
is_overloaded (const FtNode *node)
{
  const FtScheduler *scheduler = ft_leader_scheduler (node->leader);
  return !ft_store_client_has_contact (node->store, g_get_monotonic_time ())
         || ft_store_client_queued (node->store) > FT_STORE_QUEUE_MAX
         || ft_store_client_write_wait_s (node->store) > FT_SUBMIT_WAIT_MAX_S
         || (scheduler != NULL && ft_scheduler_open_tasks (scheduler) > FT_OPEN_TASKS_MAX);
}

/* A job with dependencies must not be accepted while a peer runs an older version that ignores
 * dependencies: if that peer became the leader, it would start the job at once. */
static gboolean
must_wait_for_upgrade (const FtNode *node, const FtJobSpec *spec)
{
  return spec->dependencies != NULL && ft_peers_any_lacks_dependencies (node->peers, g_get_monotonic_time ());
}

void
ft_submission_handle (FtUserRequest *request)
{
  FtNode *node = request->node;
  const char *reason;
  if (!parse (request)) {
    ft_user_request_answer (request, FT_HTTP_BAD_REQUEST, NULL);
    return;
  }
  if (ft_idempotent_request_answer_from_cache (request))
    return;
  FtAdmission admission = validate (node, request->spec, &reason);
  if (admission == FT_ADMIT_NEVER) {
    refuse (request, reason);
    return;
  }
  if (admission == FT_ADMIT_NOT_YET || is_overloaded (node) || must_wait_for_upgrade (node, request->spec)) {
    ft_user_request_answer_unavailable (request);
    return;
  }
  request->spec->submitted_wall_ms = g_get_real_time () / 1000;
  ft_user_request_start_deadline (request);
  check_dependencies (request);
}

/* ---- check dependencies ---- */

static void
on_dependencies_checked (FtAncestorsResult result, const char *ref, gpointer data)
{
  FtUserRequest *request = data;
  if (result == FT_ANCESTORS_OPEN) {
    commit_open (request);
  } else if (result == FT_ANCESTORS_CANCELLED) {
    commit_cancelled (request);
  } else if (result == FT_ANCESTORS_MISSING) {
    g_autofree char *reason = g_strdup_printf ("it needs job %s, which was never accepted", ref);
    refuse (request, reason);
  } else {
    ft_user_request_answer_unavailable (request);
  }
}

static void
check_dependencies (FtUserRequest *request)
{
  const char *const *dependencies = (const char *const *) request->spec->dependencies;
  /* For a job with dependencies the time is 0 (unknown), since the check does not report when the rows of the
   * ancestors were read. */
  request->ancestors_checked_at = dependencies == NULL ? request->started_at : 0;
  FtAncestorsResult result;
  if (!ft_ancestors_check_named (request->node, dependencies, &result, on_dependencies_checked, request))
    on_dependencies_checked (result, NULL, request);
}

/* ---- commit and answer: an open job ---- */

static void
cache_open_job (FtUserRequest *request, guint64 revision)
{
  gboolean has_dependencies = request->spec->dependencies != NULL;
  FtCachedJob *job = ft_job_cache_add_open (request->node->job_cache, request->ref, revision, has_dependencies);
  job->checked_at = request->ancestors_checked_at;
  g_strfreev (job->dependencies);
  job->dependencies = g_strdupv (request->spec->dependencies);
}

static void
on_open_committed (FtStoreResult result, const json_t *body, gpointer data)
{
  FtUserRequest *request = data;
  guint64 revision;
  if (result != FT_STORE_OK) {
    ft_job_status_read_after_commit (request, result);
    return;
  }
  if (ft_store_revision (body, &revision))
    cache_open_job (request, revision);
  ft_user_request_answer (request, FT_HTTP_CREATED, ft_message_job_state (request->ref, "queued", 0, 0, FALSE));
}

static void
commit_open (FtUserRequest *request)
{
  json_auto_t *txn = ft_txn_submit (request->spec);
  ft_store_client_commit (request->node->store, txn, FT_STORE_PRIORITY_COMMIT, on_open_committed, request);
}

/* ---- commit and answer: a job whose ancestor is cancelled ---- */

static void
on_cancelled_committed (FtStoreResult result, const json_t *body, gpointer data)
{
  FtUserRequest *request = data;
  guint tasks = request->spec->tasks;
  (void) body;
  if (result != FT_STORE_OK) {
    ft_job_status_read_after_commit (request, result);
    return;
  }
  g_message ("job %s: accepted as cancelled, because one of its ancestors is cancelled", request->ref);
  ft_metrics_count (request->node->metrics, FT_COUNT_CANCELLED_BY_DEPENDENCY);
  ft_job_cache_add_ended (request->node->job_cache, request->ref, FT_JOB_END_CANCELLED, tasks);
  json_t *state = ft_job_answer_ended (request->ref, FT_JOB_END_CANCELLED, tasks);
  ft_user_request_answer (request, FT_HTTP_CREATED, state);
}

/* Accepts the job and ends it as cancelled in the same transaction. The transaction writes no row among the
 * open jobs, since the leader has nothing to do for the job. */
static void
commit_cancelled (FtUserRequest *request)
{
  json_auto_t *txn = ft_txn_submit_cancelled (request->spec, g_get_real_time () / 1000);
  ft_store_client_commit (request->node->store, txn, FT_STORE_PRIORITY_COMMIT, on_cancelled_committed, request);
}
