#include "net/leader_rows.h"

#include "core/constants.h"
#include "core/lease.h"

struct _FtLeaderRows {
  FtLeaderTerm *term;     /* borrowed */
  guint64 known_revision; /* of the store, up to which the open jobs' rows are known */
  gint64 read_at;         /* when the last reading of all of them was begun; monotonic, microseconds */
};

FtLeaderRows *
ft_leader_rows_new (FtLeaderTerm *term)
{
  FtLeaderRows *rows = g_new0 (FtLeaderRows, 1);
  rows->term = term;
  return rows;
}

void
ft_leader_rows_free (FtLeaderRows *rows)
{
  g_free (rows);
}

FtLeaderTerm *
ft_leader_rows_term (const FtLeaderRows *rows)
{
  return rows->term;
}

guint64
ft_leader_rows_known_revision (const FtLeaderRows *rows)
{
  return rows->known_revision;
}

void
ft_leader_rows_set_known_revision (FtLeaderRows *rows, guint64 revision)
{
  rows->known_revision = revision;
}

void
ft_leader_rows_set_read_at (FtLeaderRows *rows, gint64 at)
{
  rows->read_at = at;
}

/* ---- taking rows ---- */

static gint64
wall_ms (void)
{
  return g_get_real_time () / FT_MILLISECOND;
}

static void
take_cancellation (FtScheduler *scheduler, const char *ref, const json_t *value, gint64 now)
{
  gint64 age_us = MAX (0, wall_ms () - ft_row_cancellation_time (value)) * FT_MILLISECOND;
  ft_scheduler_job_cancelled (scheduler, ref, age_us, now);
}

void
ft_leader_rows_take_open (FtLeaderRows *rows, const FtRow *row, gboolean accepted_since)
{
  FtScheduler *scheduler = rows->term->scheduler;
  gboolean cancelled;
  g_autofree char *ref = ft_key_open_ref (row->key, &cancelled);
  gint64 now = g_get_monotonic_time ();
  if (ref == NULL || row->value == NULL)
    return;
  if (cancelled) {
    take_cancellation (scheduler, ref, row->value, now);
    return;
  }
  g_autoptr (GError) error = NULL;
  FtJobSpec *spec = ft_row_open_parse_full (ref, row->value, &error);
  if (spec == NULL)
    g_warning ("node %s: job %s: its row cannot be read, so it is not scheduled: %s", rows->term->node->config->member,
               ref, error->message);
  else if (accepted_since)
    ft_scheduler_job_added (scheduler, spec, ft_row_open_revision (row), now, wall_ms ());
  else
    ft_scheduler_load_job (scheduler, spec, ft_row_open_revision (row), now, wall_ms ());
}

static void
take_registry_row (const FtLeaderTerm *term, const FtRow *row)
{
  if (!ft_row_machine_parse (term->scheduler, row))
    g_warning ("node %s: machine %s: its row cannot be read", term->node->config->member, row->key);
}

void
ft_leader_rows_take (FtLeaderRows *rows, const FtRow *row)
{
  FtScheduler *scheduler = rows->term->scheduler;
  g_autofree char *ref = NULL;
  guint chunk;
  if (g_str_has_prefix (row->key, FT_PREFIX_OPEN)) {
    /* When a watch fell behind, the rows are read again: only jobs accepted meanwhile are new. */
    ft_leader_rows_take_open (rows, row, ft_scheduler_is_loaded (scheduler));
  } else if (ft_key_drained_name (row->key) != NULL) {
    ft_scheduler_drain (scheduler, ft_key_drained_name (row->key), TRUE);
  } else if (g_str_has_prefix (row->key, FT_PREFIX_REGISTRY)) {
    take_registry_row (rows->term, row);
  } else if (ft_key_chunk_parse (row->key, &ref, &chunk) && ft_row_chunk_bits (row->value) != NULL) {
    ft_scheduler_load_done (scheduler, ref, chunk, ft_row_chunk_bits (row->value));
  }
}

void
ft_leader_rows_cancellations_known (FtLeaderRows *rows, gint64 at)
{
  ft_lease_cancellations_known (rows->term->node->lease, at);
  ft_scheduler_cancellations_known (rows->term->scheduler, at);
}

void
ft_leader_rows_reading_complete (FtLeaderRows *rows)
{
  ft_leader_rows_cancellations_known (rows, rows->read_at);
}
