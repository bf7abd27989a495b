#include "net/lineage.h"

#include "core/constants.h"
#include "wire/store.h"

typedef struct {
  FtNode *node;
  GQueue todo;      /* refs to be looked at, owned */
  GHashTable *seen; /* refs that were ever in `todo`, owned */
  GPtrArray *open;  /* of them, those that were found open; borrowed from `seen` */
  guint reads;      /* under way */
  gint64 began;
  gint64 as_of; /* the oldest reading that the result rests on */
  FtLineageResult result;
  char *found; /* the job that decided it */
  FtLineageDone done;
  gpointer data;
} Walk;

/* One job that is being looked at. */
typedef struct {
  Walk *walk;
  char *ref;
} Step;

static FtKnownJob *
known_job (const Walk *walk, const char *ref)
{
  return ft_known_jobs_find (walk->node->known, ref);
}

static gboolean
is_fresh (const FtNode *node, const FtKnownJob *job, gint64 now)
{
  gint64 fresh_us = (gint64) (node->config->core.cancel_s * FT_LINEAGE_FRESH * FT_SECOND);
  return job->checked_at > 0 && now - job->checked_at < fresh_us;
}

static gboolean
all_done (const FtNode *node, GStrv needs)
{
  FtJobEnd end;
  for (guint i = 0; needs[i] != NULL; i++)
    if (!ft_known_jobs_end (node->known, needs[i], &end, NULL) || end != FT_JOB_END_DONE)
      return FALSE;
  return TRUE;
}

/* Nothing that was found open was cancelled, nor anything that it needs. */
static void
remember_open (const Walk *walk)
{
  for (guint i = 0; i < walk->open->len; i++) {
    FtKnownJob *job = known_job (walk, g_ptr_array_index (walk->open, i));
    if (job == NULL)
      continue;
    job->checked_at = MAX (job->checked_at, walk->as_of);
    job->needs_met = job->needs != NULL && all_done (walk->node, job->needs);
  }
}

static void
walk_finish (Walk *walk)
{
  if (walk->result == FT_LINEAGE_OPEN)
    remember_open (walk);
  walk->done (walk->result, walk->found, walk->data);
  g_queue_clear_full (&walk->todo, g_free);
  g_ptr_array_unref (walk->open);
  g_hash_table_unref (walk->seen);
  g_free (walk->found);
  g_free (walk);
}

static void
decide (Walk *walk, FtLineageResult result, const char *ref)
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
  decide (step->walk, FT_LINEAGE_UNREAD, NULL);
  step_over (step);
}

static void
visit_needs (Walk *walk, const char *ref, const FtKnownJob *job)
{
  gpointer owned;
  g_hash_table_lookup_extended (walk->seen, ref, &owned, NULL);
  g_ptr_array_add (walk->open, owned);
  for (guint i = 0; job->needs != NULL && job->needs[i] != NULL; i++)
    visit (walk, job->needs[i]);
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
  FtKnownJob *job = known_job (step->walk, step->ref);
  g_autoptr (FtJobSpec) spec
      = status == 200 && ft_store_row (body, &row) ? ft_row_open_parse (step->ref, row.value) : NULL;
  if (spec == NULL || job == NULL) {
    step_failed (step);
    return;
  }
  g_strfreev (job->needs);
  job->needs = spec->awaits != NULL ? g_strdupv (spec->awaits) : g_new0 (char *, 1);
  visit_needs (step->walk, step->ref, job);
  step_over (step);
}

/* Its own row is open. */
static void
step_open (Step *step, const FtKnownJob *job)
{
  if (job->has_needs && job->needs == NULL) {
    g_autofree char *key = ft_key_open (step->ref);
    ft_state_get (step->walk->node->state, key, FT_STATE_READ, on_open_row, step);
    return;
  }
  visit_needs (step->walk, step->ref, job);
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
    decide (step->walk, FT_LINEAGE_MISSING, step->ref);
    step_over (step);
  } else if (status != 200 || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state)) {
    step_failed (step);
  } else if (state.open) {
    step_open (step, ft_known_jobs_open (node->known, step->ref, row.revision, state.has_needs));
  } else {
    ft_known_jobs_ended (node->known, step->ref, state.end, state.tasks);
    if (state.end == FT_JOB_END_CANCELLED)
      decide (step->walk, FT_LINEAGE_CANCELLED, step->ref);
    step_over (step);
  }
}

static void
read_own_row (Step *step)
{
  g_autofree char *key = ft_key_job (step->ref);
  ft_state_get (step->walk->node->state, key, FT_STATE_READ, on_own_row, step);
}

static void
on_compared (FtPollResult result, gpointer data)
{
  Step *step = data;
  const FtKnownJob *job = known_job (step->walk, step->ref);
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
  if (ft_known_jobs_end (walk->node->known, ref, &end, NULL)) {
    if (end == FT_JOB_END_CANCELLED)
      decide (walk, FT_LINEAGE_CANCELLED, ref);
    return TRUE;
  }
  const FtKnownJob *job = known_job (walk, ref);
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
    decide (walk, FT_LINEAGE_UNREAD, NULL);
  while (walk->result < FT_LINEAGE_UNREAD && walk->reads < FT_LINEAGE_READS_MAX && !g_queue_is_empty (&walk->todo)) {
    g_autofree char *ref = g_queue_pop_head (&walk->todo);
    if (!known_enough (walk, ref))
      look_at (walk, ref);
  }
  if (walk->reads == 0)
    walk_finish (walk);
}

static Walk *
walk_new (FtNode *node, FtLineageDone done, gpointer data)
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
ft_lineage_check_needs (FtNode *node, const char *const *needs, FtLineageDone done, gpointer data)
{
  Walk *walk = walk_new (node, done, data);
  for (guint i = 0; needs != NULL && needs[i] != NULL; i++)
    visit (walk, needs[i]);
  walk_on (walk);
}

void
ft_lineage_check (FtNode *node, const char *ref, FtLineageDone done, gpointer data)
{
  FtKnownJob *job = ft_known_jobs_find (node->known, ref);
  gint64 now = g_get_monotonic_time ();
  if (job != NULL && (!job->has_needs || job->needs_met || is_fresh (node, job, now))) {
    if (!job->has_needs || job->needs_met)
      job->checked_at = now;
    done (FT_LINEAGE_OPEN, NULL, data);
    return;
  }
  Walk *walk = walk_new (node, done, data);
  visit (walk, ref);
  walk_on (walk);
}
