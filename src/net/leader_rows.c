#include "net/leader_rows.h"

#include "core/constants.h"
#include "core/lease.h"

struct _FtLeaderRows {
  FtLeaderTerm *term;     /* borrowed */
  guint64 known_revision; /* revision of the store up to which the open jobs' rows are known */
  gint64 read_started_at; /* when the last complete read of the open jobs' rows started; monotonic, microseconds */
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
ft_leader_rows_set_read_started_at (FtLeaderRows *rows, gint64 at)
{
  rows->read_started_at = at;
}

/* ---- passing rows to the scheduler ---- */

static gint64
wall_ms (void)
{
  return g_get_real_time () / FT_MILLISECOND;
}

static void
warn_unreadable (const FtLeaderRows *rows, const GError *error)
{
  g_warning ("node %s: row skipped: %s", rows->term->node->config->member, error->message);
}

void
ft_leader_rows_apply_open (FtLeaderRows *rows, const FtRow *row, gboolean accepted_since)
{
  g_autoptr (GError) error = NULL;
  gint64 now = g_get_monotonic_time ();
  if (!ft_row_apply_open (rows->term->scheduler, row, accepted_since, now, wall_ms (), &error))
    warn_unreadable (rows, error);
}

void
ft_leader_rows_apply (FtLeaderRows *rows, const FtRow *row)
{
  g_autoptr (GError) error = NULL;
  gint64 now = g_get_monotonic_time ();
  /* The open jobs' rows are also read again after the watch has fallen behind. ft_row_apply() then takes
   * every job that the scheduler does not know yet to be accepted since the first recovery of the term. */
  if (!ft_row_apply (rows->term->scheduler, row, now, wall_ms (), &error))
    warn_unreadable (rows, error);
}

void
ft_leader_rows_cancellations_known (FtLeaderRows *rows, gint64 at)
{
  ft_lease_cancellations_known (rows->term->node->lease, at);
  ft_scheduler_set_cancellations_known_until (rows->term->scheduler, at);
}

void
ft_leader_rows_note_read_complete (FtLeaderRows *rows)
{
  ft_leader_rows_cancellations_known (rows, rows->read_started_at);
}
