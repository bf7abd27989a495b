#include "net/ancestors.h"

#include "core/constants.h"
#include "net/polls.h"
#include "wire/store.h"

typedef struct {
  FtNode *node;
  GQueue todo;      /* refs to be looked at, owned */
  GHashTable *seen; /* refs that were ever in `todo`, owned */
  GPtrArray *open;  /* of them, those that were found open; borrowed from `seen` */
  guint reads;      /* under way */
  gint64 began;
  gint64 as_of; /* the oldest reading that the result rests on */
  FtAncestorsResult result;
  char *found; /* the job that decided it */
  FtAncestorsDone done;
  gpointer data;
} Walk;

/* One job that is being looked at. */
typedef struct {
  Walk *walk;
  char *ref;
} Step;

static FtCachedJob *
cached_job (const Walk *walk, const char *ref)
{
  return ft_job_cache_find (walk->node->job_cache, ref);
}

static gboolean
is_fresh (const FtNode *node, const FtCachedJob *job, gint64 now)
{
  gint64 fresh_us = (gint64) (node->config->core.cancel_s * FT_ANCESTORS_FRESH * FT_SECOND);
  return job->checked_at > 0 && now - job->checked_at < fresh_us;
}

static gboolean
all_done (const FtNode *node, GStrv dependencies)
{
  FtJobEnd end;
  for (guint i = 0; dependencies[i] != NULL; i++)
    if (!ft_job_cache_end (node->job_cache, dependencies[i], &end, NULL) || end != FT_JOB_END_DONE)
      return FALSE;
  return TRUE;
}

/* Nothing that was found open was cancelled, nor anything that it needs. */
static void
remember_open (const Walk *walk)
{
  for (guint i = 0; i < walk->open->len; i++) {
    FtCachedJob *job = cached_job (walk, g_ptr_array_index (walk->open, i));
    if (job == NULL)
      continue;
    job->checked_at = MAX (job->checked_at, walk->as_of);
    job->dependencies_met = job->dependencies != NULL && all_done (walk->node, job->dependencies);
  }
}

static void
walk_finish (Walk *walk)
{
  if (walk->result == FT_ANCESTORS_OPEN)
    remember_open (walk);
  walk->done (walk->result, walk->found, walk->data);
  g_queue_clear_full (&walk->todo, g_free);
  g_ptr_array_unref (walk->open);
  g_hash_table_unref (walk->seen);
  g_free (walk->found);
  g_free (walk);
}

static void
decide (Walk *walk, FtAncestorsResult result, const char *ref)
{
  if (result <= walk->result)
    return;
  walk->result = result;
  g_free (walk->found);
  walk->found = g_strdup (ref);
}

static void
visit (Walk *walk, const char *ref)
{
  if (g_hash_table_contains (walk->seen, ref))
    return;
  g_hash_table_add (walk->seen, g_strdup (ref));
  g_queue_push_tail (&walk->todo, g_strdup (ref));
}

static void walk_on (Walk *walk);

static void
step_over (Step *step)
{
  Walk *walk = step->walk;
  g_free (step->ref);
  g_free (step);
  walk->reads--;
  walk_on (walk);
}

static void
step_failed (Step *step)
{
  decide (step->walk, FT_ANCESTORS_UNREAD, NULL);
  step_over (step);
}

static void
visit_dependencies (Walk *walk, const char *ref, const FtCachedJob *job)
{
  gpointer owned;
  g_hash_table_lookup_extended (walk->seen, ref, &owned, NULL);
  g_ptr_array_add (walk->open, owned);
  for (guint i = 0; job->dependencies != NULL && job->dependencies[i] != NULL; i++)
    visit (walk, job->dependencies[i]);
}

static void read_own_row (Step *step);

static void
on_open_row (guint status, const json_t *body, gpointer data)
{
  Step *step = data;
  FtRow row;
  if (status == 404) {
    read_own_row (step); /* ended since */
    return;
  }
  FtCachedJob *job = cached_job (step->walk, step->ref);
  g_autoptr (FtJobSpec) spec
      = status == 200 && ft_store_row (body, &row) ? ft_row_open_parse (step->ref, row.value) : NULL;
  if (spec == NULL || job == NULL) {
    step_failed (step);
    return;
  }
  g_strfreev (job->dependencies);
  job->dependencies = spec->dependencies != NULL ? g_strdupv (spec->dependencies) : g_new0 (char *, 1);
  visit_dependencies (step->walk, step->ref, job);
  step_over (step);
}

/* Its own row is open. */
static void
step_open (Step *step, const FtCachedJob *job)
{
  if (job->has_dependencies && job->dependencies == NULL) {
    g_autofree char *key = ft_key_open (step->ref);
    ft_store_client_get (step->walk->node->store, key, FT_STORE_PRIORITY_READ, on_open_row, step);
    return;
  }
  visit_dependencies (step->walk, step->ref, job);
  step_over (step);
}

static void
on_own_row (guint status, const json_t *body, gpointer data)
{
  Step *step = data;
  FtNode *node = step->walk->node;
  FtRow row;
  FtJobRow state;
  if (status == 404) {
    decide (step->walk, FT_ANCESTORS_MISSING, step->ref);
    step_over (step);
  } else if (status != 200 || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state)) {
    step_failed (step);
  } else if (state.open) {
    step_open (step, ft_job_cache_open (node->job_cache, step->ref, row.revision, state.has_dependencies));
  } else {
    ft_job_cache_ended (node->job_cache, step->ref, state.end, state.tasks);
    if (state.end == FT_JOB_END_CANCELLED)
      decide (step->walk, FT_ANCESTORS_CANCELLED, step->ref);
    step_over (step);
  }
}

static void
read_own_row (Step *step)
{
  g_autofree char *key = ft_key_job (step->ref);
  ft_store_client_get (step->walk->node->store, key, FT_STORE_PRIORITY_READ, on_own_row, step);
}

static void
on_compared (FtPollResult result, gpointer data)
{
  Step *step = data;
  const FtCachedJob *job = cached_job (step->walk, step->ref);
  if (result == FT_POLL_FAILED)
    step_failed (step);
  else if (result == FT_POLL_OPEN && job != NULL)
    step_open (step, job);
  else
    read_own_row (step);
}

/* TRUE if nothing of the job need be read. */
static gboolean
known_enough (Walk *walk, const char *ref)
{
  FtJobEnd end;
  if (ft_job_cache_end (walk->node->job_cache, ref, &end, NULL)) {
    if (end == FT_JOB_END_CANCELLED)
      decide (walk, FT_ANCESTORS_CANCELLED, ref);
    return TRUE;
  }
  const FtCachedJob *job = cached_job (walk, ref);
  if (job == NULL || !is_fresh (walk->node, job, walk->began))
    return FALSE;
  walk->as_of = MIN (walk->as_of, job->checked_at);
  return TRUE;
}

static void
look_at (Walk *walk, const char *ref)
{
  Step *step = g_new0 (Step, 1);
  step->walk = walk;
  step->ref = g_strdup (ref);
  walk->reads++;
  if (!ft_polls_ask (walk->node->polls, ref, on_compared, step))
    read_own_row (step);
}

static gboolean
walk_too_long (const Walk *walk)
{
  return g_get_monotonic_time () - walk->began > (gint64) (FT_USER_DEADLINE_S * FT_SECOND);
}

/* Looks at what is to be looked at, a few at a time: they share comparisons. */
static void
walk_on (Walk *walk)
{
  if (walk_too_long (walk))
    decide (walk, FT_ANCESTORS_UNREAD, NULL);
  while (walk->result < FT_ANCESTORS_UNREAD && walk->reads < FT_ANCESTORS_READS_MAX
         && !g_queue_is_empty (&walk->todo)) {
    g_autofree char *ref = g_queue_pop_head (&walk->todo);
    if (!known_enough (walk, ref))
      look_at (walk, ref);
  }
  if (walk->reads == 0)
    walk_finish (walk);
}

static Walk *
walk_new (FtNode *node, FtAncestorsDone done, gpointer data)
{
  Walk *walk = g_new0 (Walk, 1);
  walk->node = node;
  walk->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  walk->open = g_ptr_array_new ();
  walk->began = walk->as_of = g_get_monotonic_time ();
  walk->done = done;
  walk->data = data;
  return walk;
}

void
ft_ancestors_check_named (FtNode *node, const char *const *dependencies, FtAncestorsDone done, gpointer data)
{
  Walk *walk = walk_new (node, done, data);
  for (guint i = 0; dependencies != NULL && dependencies[i] != NULL; i++)
    visit (walk, dependencies[i]);
  walk_on (walk);
}

void
ft_ancestors_check (FtNode *node, const char *ref, FtAncestorsDone done, gpointer data)
{
  FtCachedJob *job = ft_job_cache_find (node->job_cache, ref);
  gint64 now = g_get_monotonic_time ();
  if (job != NULL && (!job->has_dependencies || job->dependencies_met || is_fresh (node, job, now))) {
    if (!job->has_dependencies || job->dependencies_met)
      job->checked_at = now;
    done (FT_ANCESTORS_OPEN, NULL, data);
    return;
  }
  Walk *walk = walk_new (node, done, data);
  visit (walk, ref);
  walk_on (walk);
}
