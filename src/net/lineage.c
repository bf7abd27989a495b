#include "net/lineage.h"

#include <string.h>

#include "core/constants.h"
#include "wire/store.h"

/* ---- were they accepted? ---- */

typedef struct {
  FtNode *node;
  GPtrArray *unread; /* refs, owned */
  FtNeedsDone done;
  gpointer data;
} NeedsCall;

static void
needs_finish (NeedsCall *call, FtNeedsResult result, const char *missing)
{
  call->done (result, missing, call->data);
  g_ptr_array_unref (call->unread);
  g_free (call);
}

static void ask_needs (NeedsCall *call);

static gboolean
drop_existing (NeedsCall *call, const json_t *body)
{
  guint before = call->unread->len;
  for (guint i = before; i > 0; i--) {
    g_autofree char *key = ft_key_job (g_ptr_array_index (call->unread, i - 1));
    if (ft_store_failed (body, key))
      g_ptr_array_remove_index_fast (call->unread, i - 1);
  }
  return call->unread->len < before;
}

/* What was compared and is not named exists no more than what it was compared with. */
static void
on_needs_compared (guint status, const json_t *body, gpointer data)
{
  NeedsCall *call = data;
  if (status == 200)
    needs_finish (call, FT_NEEDS_MISSING, g_ptr_array_index (call->unread, 0));
  else if (status == 409 && drop_existing (call, body))
    ask_needs (call);
  else
    needs_finish (call, FT_NEEDS_UNREAD, NULL);
}

/* Compares the first of them with rows that do not exist: those that do are named. */
static void
ask_needs (NeedsCall *call)
{
  if (call->unread->len == 0) {
    needs_finish (call, FT_NEEDS_ACCEPTED, NULL);
    return;
  }
  guint most = FT_CONDITIONS_PER_CHANGE * call->node->config->core.txn_ops;
  json_t *txn = json_pack ("{s:[]}", "if");
  for (guint i = 0; i < MIN (most, call->unread->len); i++) {
    g_autofree char *key = ft_key_job (g_ptr_array_index (call->unread, i));
    ft_txn_if (txn, key, 0);
  }
  ft_state_commit (call->node->state, txn, FT_STATE_READ, on_needs_compared, call);
  json_decref (txn);
}

void
ft_needs_check (FtNode *node, const char *const *needs, FtNeedsDone done, gpointer data)
{
  NeedsCall *call = g_new0 (NeedsCall, 1);
  call->node = node;
  call->unread = g_ptr_array_new_with_free_func (g_free);
  call->done = done;
  call->data = data;
  for (guint i = 0; needs != NULL && needs[i] != NULL; i++)
    if (ft_known_jobs_find (node->known, needs[i]) == NULL && !ft_known_jobs_end (node->known, needs[i], NULL, NULL))
      g_ptr_array_add (call->unread, g_strdup (needs[i]));
  ask_needs (call);
}

/* ---- is one of them cancelled? ---- */

typedef struct {
  FtNode *node;
  GQueue todo;      /* refs whose state is to be read, owned */
  GHashTable *seen; /* refs that were ever in `todo`, owned */
  GHashTable *open; /* of them, those that were found open, borrowed */
  char *current;    /* what is being read */
  gint64 began;
  FtLineageDone done;
  gpointer data;
} Walk;

static void
walk_finish (Walk *walk, FtLineageResult result)
{
  walk->done (result, walk->data);
  g_queue_clear_full (&walk->todo, g_free);
  g_hash_table_unref (walk->open);
  g_hash_table_unref (walk->seen);
  g_free (walk->current);
  g_free (walk);
}

static gboolean
needs_met (const FtNode *node, const FtKnownJob *job)
{
  FtJobEnd end;
  for (guint i = 0; job->needs != NULL && job->needs[i] != NULL; i++)
    if (!ft_known_jobs_end (node->known, job->needs[i], &end, NULL) || end != FT_JOB_END_DONE)
      return FALSE;
  return job->needs != NULL;
}

/* All that these jobs need was read since the walk began, and nothing of it is cancelled. */
static void
walk_done (Walk *walk)
{
  GHashTableIter it;
  gpointer ref;
  g_hash_table_iter_init (&it, walk->open);
  while (g_hash_table_iter_next (&it, &ref, NULL)) {
    FtKnownJob *job = ft_known_jobs_find (walk->node->known, ref);
    if (job == NULL)
      continue;
    job->checked_at = walk->began;
    job->needs_met = needs_met (walk->node, job);
  }
  walk_finish (walk, FT_LINEAGE_OPEN);
}

static void
walk_visit (Walk *walk, const char *ref)
{
  if (!g_hash_table_contains (walk->seen, ref)) {
    g_hash_table_add (walk->seen, g_strdup (ref));
    g_queue_push_tail (&walk->todo, g_strdup (ref));
  }
}

static void walk_step (Walk *walk);

static void
on_open_row (guint status, const json_t *body, gpointer data)
{
  Walk *walk = data;
  FtRow row;
  FtKnownJob *job = ft_known_jobs_find (walk->node->known, walk->current);
  if (status == 404 && job != NULL) {
    /* Ended since: its state is read again. */
    ft_known_jobs_forget (walk->node->known, walk->current);
    g_hash_table_remove (walk->open, walk->current);
    g_queue_push_head (&walk->todo, g_steal_pointer (&walk->current));
    walk_step (walk);
    return;
  }
  g_autoptr (FtJobSpec) spec
      = status == 200 && ft_store_row (body, &row) ? ft_row_open_parse (walk->current, row.value) : NULL;
  if (spec == NULL) {
    walk_finish (walk, FT_LINEAGE_UNREAD);
    return;
  }
  if (job != NULL) {
    g_strfreev (job->needs);
    job->needs = spec->awaits != NULL ? g_strdupv (spec->awaits) : g_new0 (char *, 1);
  }
  g_queue_push_head (&walk->todo, g_steal_pointer (&walk->current));
  walk_step (walk);
}

/* Found open: what it needs comes next. */
static void
walk_on (Walk *walk, const FtKnownJob *job)
{
  gpointer ref;
  g_hash_table_lookup_extended (walk->seen, walk->current, &ref, NULL);
  g_hash_table_add (walk->open, ref);
  if (job->has_needs && !job->needs_met && job->needs == NULL) {
    g_autofree char *key = ft_key_open (walk->current);
    ft_state_get (walk->node->state, key, FT_STATE_READ, on_open_row, walk);
    return;
  }
  for (guint i = 0; !job->needs_met && job->needs != NULL && job->needs[i] != NULL; i++)
    walk_visit (walk, job->needs[i]);
  walk_step (walk);
}

static void
on_job_row (guint status, const json_t *body, gpointer data)
{
  Walk *walk = data;
  FtRow row;
  FtJobRow state;
  if (status != 200 || !ft_store_row (body, &row) || !ft_row_job_parse (row.value, &state)) {
    walk_finish (walk, FT_LINEAGE_UNREAD);
    return;
  }
  if (state.open) {
    walk_on (walk, ft_known_jobs_open (walk->node->known, walk->current, row.stamp, state.has_needs));
    return;
  }
  ft_known_jobs_ended (walk->node->known, walk->current, state.end, state.tasks);
  g_queue_push_head (&walk->todo, g_steal_pointer (&walk->current));
  walk_step (walk);
}

static void
read_job_row (Walk *walk)
{
  g_autofree char *key = ft_key_job (walk->current);
  ft_state_get (walk->node->state, key, FT_STATE_READ, on_job_row, walk);
}

static void
on_compared (FtPollResult result, gpointer data)
{
  Walk *walk = data;
  const FtKnownJob *job = ft_known_jobs_find (walk->node->known, walk->current);
  if (result == FT_POLL_FAILED)
    walk_finish (walk, FT_LINEAGE_UNREAD);
  else if (result == FT_POLL_OPEN && job != NULL)
    walk_on (walk, job);
  else
    read_job_row (walk);
}

static gboolean
walk_too_long (const Walk *walk)
{
  return g_get_monotonic_time () - walk->began > (gint64) (FT_USER_DEADLINE_S * FT_SECOND);
}

static void
walk_step (Walk *walk)
{
  FtJobEnd end;
  g_clear_pointer (&walk->current, g_free);
  while ((walk->current = g_queue_pop_head (&walk->todo)) != NULL) {
    if (walk_too_long (walk)) {
      walk_finish (walk, FT_LINEAGE_UNREAD);
      return;
    }
    const FtKnownJob *job = ft_known_jobs_find (walk->node->known, walk->current);
    if (ft_known_jobs_end (walk->node->known, walk->current, &end, NULL)) {
      if (end == FT_JOB_END_CANCELLED) {
        walk_finish (walk, FT_LINEAGE_CANCELLED);
        return;
      }
      g_clear_pointer (&walk->current, g_free);
      continue;
    }
    if (job != NULL && g_hash_table_contains (walk->open, walk->current))
      walk_on (walk, job);
    else if (!ft_polls_ask (walk->node->polls, walk->current, on_compared, walk))
      read_job_row (walk);
    return;
  }
  walk_done (walk);
}

static gboolean
lineage_fresh (const FtNode *node, const FtKnownJob *job, gint64 now)
{
  gint64 fresh_us = (gint64) (node->config->core.cancel_s * FT_LINEAGE_FRESH * FT_SECOND);
  return !job->has_needs || job->needs_met || (job->checked_at > 0 && now - job->checked_at < fresh_us);
}

void
ft_lineage_check (FtNode *node, const char *ref, FtLineageDone done, gpointer data)
{
  gint64 now = g_get_monotonic_time ();
  const FtKnownJob *job = ft_known_jobs_find (node->known, ref);
  if (job != NULL && lineage_fresh (node, job, now)) {
    done (FT_LINEAGE_OPEN, data);
    return;
  }
  Walk *walk = g_new0 (Walk, 1);
  walk->node = node;
  walk->seen = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  walk->open = g_hash_table_new (g_str_hash, g_str_equal);
  walk->began = now;
  walk->done = done;
  walk->data = data;
  walk_visit (walk, ref);
  walk_step (walk);
}
