#include "net/ancestors.h"

#include "core/constants.h"
#include "core/duration.h"
#include "net/job_cache.h"
#include "net/polls.h"
#include "net/store_client.h"
#include "wire/store.h"

/* A breadth-first traversal of the dependency graph, from jobs to their dependencies. Each job is visited
 * once. The traversal is freed when its result is reported. */
typedef struct {
  FtNode *node;
  GQueue frontier;        /* refs that were discovered but not visited yet; owned */
  GHashTable *discovered; /* set of all refs that were ever in `frontier`; owned */
  GPtrArray *open;        /* refs of the visited jobs that are open; borrowed from `discovered` */
  guint visits_in_flight;
  gint64 started_at;        /* monotonic, microseconds */
  gint64 oldest_read_at;    /* time of the oldest read on which the result rests; monotonic, microseconds */
  FtAncestorsResult result; /* the result of highest precedence so far */
  char *decisive_ref;       /* ref of the job that led to `result`; NULL: none */
  FtAncestorsDone done;
  gpointer data;
} Traversal;

/* The visit of one job. It compares the revision of the job's row, and reads rows if that is not enough. */
typedef struct {
  Traversal *traversal;
  char *ref;
} Visit;

static FtCachedJob *
cached_job (const Traversal *traversal, const char *ref)
{
  return ft_job_cache_find (traversal->node->job_cache, ref);
}

/* Whether the job's last check is recent enough to be used. */
static gboolean
is_fresh (const FtNode *node, const FtCachedJob *job, gint64 now)
{
  gint64 fresh_us = ft_seconds (node->config->core.cancel_s * FT_ANCESTORS_FRESH_SHARE);
  return job->checked_at > 0 && now - job->checked_at < fresh_us;
}

/* Returns the state of a job's dependencies. `dependencies` is NULL if they have not been read yet. */
static FtDependencyState
compute_dependency_state (const FtNode *node, const GStrv dependencies)
{
  FtJobEnd end;
  if (dependencies == NULL)
    return FT_DEPENDENCIES_PENDING;
  for (guint i = 0; dependencies[i] != NULL; i++)
    if (!ft_job_cache_find_end (node->job_cache, dependencies[i], &end, NULL) || end != FT_JOB_END_DONE)
      return FT_DEPENDENCIES_PENDING;
  return FT_DEPENDENCIES_MET;
}

/* Records in the job cache that neither the open jobs of the traversal nor any of their ancestors are
 * cancelled. */
static void
cache_checked_jobs (const Traversal *traversal)
{
  for (guint i = 0; i < traversal->open->len; i++) {
    FtCachedJob *job = cached_job (traversal, g_ptr_array_index (traversal->open, i));
    if (job == NULL)
      continue;
    job->checked_at = MAX (job->checked_at, traversal->oldest_read_at);
    if (job->dependency_state != FT_DEPENDENCIES_NONE)
      job->dependency_state = compute_dependency_state (traversal->node, job->dependencies);
  }
}

static void
traversal_free (Traversal *traversal)
{
  g_queue_clear_full (&traversal->frontier, g_free);
  g_ptr_array_unref (traversal->open);
  g_hash_table_unref (traversal->discovered);
  g_free (traversal->decisive_ref);
  g_free (traversal);
}

/* Replaces the traversal's result if the new one has a higher precedence; see FtAncestorsResult. */
static void
raise_result (Traversal *traversal, FtAncestorsResult result, const char *ref)
{
  if (result <= traversal->result)
    return;
  traversal->result = result;
  g_free (traversal->decisive_ref);
  traversal->decisive_ref = g_strdup (ref);
}

static void
discover (Traversal *traversal, const char *ref)
{
  if (g_hash_table_contains (traversal->discovered, ref))
    return;
  g_hash_table_add (traversal->discovered, g_strdup (ref));
  g_queue_push_tail (&traversal->frontier, g_strdup (ref));
}

static void begin_visits (Traversal *traversal);

/* Ends a visit, and with the last one the traversal. */
static void
visit_complete (Visit *visit)
{
  Traversal *traversal = visit->traversal;
  g_free (visit->ref);
  g_free (visit);
  traversal->visits_in_flight--;
  begin_visits (traversal);
  if (traversal->visits_in_flight > 0)
    return;
  if (traversal->result == FT_ANCESTORS_OPEN)
    cache_checked_jobs (traversal);
  traversal->done (traversal->result, traversal->decisive_ref, traversal->data);
  traversal_free (traversal);
}

static void
visit_failed (Visit *visit)
{
  raise_result (visit->traversal, FT_ANCESTORS_UNKNOWN, NULL);
  visit_complete (visit);
}

static void
discover_dependencies (Traversal *traversal, const char *ref, const FtCachedJob *job)
{
  gpointer owned;
  g_hash_table_lookup_extended (traversal->discovered, ref, &owned, NULL);
  g_ptr_array_add (traversal->open, owned);
  for (guint i = 0; job->dependencies != NULL && job->dependencies[i] != NULL; i++)
    discover (traversal, job->dependencies[i]);
}

static void read_state_row (Visit *visit);

static void
on_open_row (FtStoreResult result, const json_t *body, gpointer data)
{
  Visit *visit = data;
  FtRow row;
  if (result == FT_STORE_NOT_FOUND) {
    read_state_row (visit); /* the job has ended meanwhile, and its open row was deleted */
    return;
  }
  FtCachedJob *job = cached_job (visit->traversal, visit->ref);
  g_autoptr (FtJobSpec) spec
      = result == FT_STORE_OK && ft_store_row (body, &row) ? ft_row_open_parse (visit->ref, row.value) : NULL;
  if (spec == NULL || job == NULL) {
    visit_failed (visit);
    return;
  }
  g_strfreev (job->dependencies);
  job->dependencies = spec->dependencies != NULL ? g_strdupv (spec->dependencies) : g_new0 (char *, 1);
  discover_dependencies (visit->traversal, visit->ref, job);
  visit_complete (visit);
}

/* Continues the visit of a job whose state row is open. Its dependencies are in its open row, which is read
 * unless the job cache has them. */
static void
visit_found_open (Visit *visit, const FtCachedJob *job)
{
  if (job->dependency_state != FT_DEPENDENCIES_NONE && job->dependencies == NULL) {
    g_autofree char *key = ft_key_open (visit->ref);
    ft_store_client_get (visit->traversal->node->store, key, FT_STORE_PRIORITY_READ, on_open_row, visit);
    return;
  }
  discover_dependencies (visit->traversal, visit->ref, job);
  visit_complete (visit);
}

static void
on_state_row (FtStoreResult result, const json_t *body, gpointer data)
{
  Visit *visit = data;
  FtNode *node = visit->traversal->node;
  FtRow row;
  FtJobRow state;
  if (result == FT_STORE_NOT_FOUND) {
    raise_result (visit->traversal, FT_ANCESTORS_MISSING, visit->ref);
    visit_complete (visit);
  } else if (result != FT_STORE_OK || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state)) {
    visit_failed (visit);
  } else if (state.open) {
    visit_found_open (visit, ft_job_cache_add_open (node->job_cache, visit->ref, row.revision, state.has_dependencies));
  } else {
    ft_job_cache_add_ended (node->job_cache, visit->ref, state.end, state.tasks);
    if (state.end == FT_JOB_END_CANCELLED)
      raise_result (visit->traversal, FT_ANCESTORS_CANCELLED, visit->ref);
    visit_complete (visit);
  }
}

static void
read_state_row (Visit *visit)
{
  g_autofree char *key = ft_key_job (visit->ref);
  ft_store_client_get (visit->traversal->node->store, key, FT_STORE_PRIORITY_READ, on_state_row, visit);
}

static void
on_revision_compared (FtPollResult result, gpointer data)
{
  Visit *visit = data;
  const FtCachedJob *job = cached_job (visit->traversal, visit->ref);
  if (result == FT_POLL_FAILED)
    visit_failed (visit);
  else if (result == FT_POLL_OPEN && job != NULL)
    visit_found_open (visit, job);
  else
    read_state_row (visit);
}

/* Whether the job needs no visit, because the job cache has its end or a recent check. */
static gboolean
is_decided_by_cache (Traversal *traversal, const char *ref)
{
  FtJobEnd end;
  if (ft_job_cache_find_end (traversal->node->job_cache, ref, &end, NULL)) {
    if (end == FT_JOB_END_CANCELLED)
      raise_result (traversal, FT_ANCESTORS_CANCELLED, ref);
    return TRUE;
  }
  const FtCachedJob *job = cached_job (traversal, ref);
  if (job == NULL || !is_fresh (traversal->node, job, traversal->started_at))
    return FALSE;
  traversal->oldest_read_at = MIN (traversal->oldest_read_at, job->checked_at);
  return TRUE;
}

static void
visit_begin (Traversal *traversal, const char *ref)
{
  Visit *visit = g_new0 (Visit, 1);
  visit->traversal = traversal;
  visit->ref = g_strdup (ref);
  traversal->visits_in_flight++;
  if (!ft_polls_add (traversal->node->polls, ref, on_revision_compared, visit))
    read_state_row (visit);
}

static gboolean
is_past_deadline (const Traversal *traversal)
{
  return g_get_monotonic_time () - traversal->started_at > ft_seconds (FT_USER_DEADLINE_S);
}

/* Begins to visit the jobs of the frontier, up to FT_ANCESTORS_READS_MAX at a time, so that one transaction compares
 * the revisions of several jobs. No visit completes before the function returns. */
static void
begin_visits (Traversal *traversal)
{
  if (is_past_deadline (traversal))
    raise_result (traversal, FT_ANCESTORS_UNKNOWN, NULL);
  while (traversal->result < FT_ANCESTORS_UNKNOWN && traversal->visits_in_flight < FT_ANCESTORS_READS_MAX
         && !g_queue_is_empty (&traversal->frontier)) {
    g_autofree char *ref = g_queue_pop_head (&traversal->frontier);
    if (!is_decided_by_cache (traversal, ref))
      visit_begin (traversal, ref);
  }
}

/* Begins a traversal whose first jobs have been discovered. Returns FALSE, with `result` set and the traversal freed,
 * if the job cache decides all of them. */
static gboolean
traversal_begin (Traversal *traversal, FtAncestorsResult *result)
{
  begin_visits (traversal);
  if (traversal->visits_in_flight > 0)
    return TRUE;
  *result = traversal->result;
  traversal_free (traversal);
  return FALSE;
}

static Traversal *
traversal_new (FtNode *node, FtAncestorsDone done, gpointer data)
{
  Traversal *traversal = g_new0 (Traversal, 1);
  traversal->node = node;
  traversal->discovered = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  traversal->open = g_ptr_array_new ();
  traversal->started_at = traversal->oldest_read_at = g_get_monotonic_time ();
  traversal->done = done;
  traversal->data = data;
  return traversal;
}

gboolean
ft_ancestors_check_named (FtNode *node, const char *const *dependencies, FtAncestorsResult *result,
                          FtAncestorsDone done, gpointer data)
{
  Traversal *traversal = traversal_new (node, done, data);
  for (guint i = 0; dependencies != NULL && dependencies[i] != NULL; i++)
    discover (traversal, dependencies[i]);
  return traversal_begin (traversal, result);
}

/* Whether the job cache shows that the job needs no traversal. A job without dependencies, or whose
 * dependencies are all done, has no ancestor that can still be cancelled: it counts as checked now. */
static gboolean
is_open_by_cache (const FtNode *node, FtCachedJob *job, gint64 now)
{
  if (job->dependency_state == FT_DEPENDENCIES_PENDING)
    return is_fresh (node, job, now);
  job->checked_at = now;
  return TRUE;
}

gboolean
ft_ancestors_check (FtNode *node, const char *ref, FtAncestorsResult *result, FtAncestorsDone done, gpointer data)
{
  FtCachedJob *job = ft_job_cache_find (node->job_cache, ref);
  if (job != NULL && is_open_by_cache (node, job, g_get_monotonic_time ())) {
    *result = FT_ANCESTORS_OPEN;
    return FALSE;
  }
  Traversal *traversal = traversal_new (node, done, data);
  discover (traversal, ref);
  return traversal_begin (traversal, result);
}
