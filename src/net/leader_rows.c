#include "net/leader_rows.h"

#include "core/constants.h"
#include "net/node.h"

static gint64
wall_ms (void)
{
  return g_get_real_time () / FT_MILLISECOND;
}

static void
warn_unreadable (const FtNode *node, const GError *error)
{
  g_warning ("node %s: row skipped: %s", node->config->member, error->message);
}

void
ft_leader_take_open_row (FtNode *node, const FtRow *row, gboolean accepted_since)
{
  g_autoptr (GError) error = NULL;
  gint64 now = g_get_monotonic_time ();
  if (!ft_row_take_open (node->leader.scheduler, row, accepted_since, now, wall_ms (), &error))
    warn_unreadable (node, error);
}

void
ft_leader_take_row (FtNode *node, const FtRow *row)
{
  g_autoptr (GError) error = NULL;
  gint64 now = g_get_monotonic_time ();
  /* When a watch fell behind, the rows are read again: only jobs accepted meanwhile are new. */
  if (!ft_row_take (node->leader.scheduler, row, now, wall_ms (), &error))
    warn_unreadable (node, error);
}

void
ft_leader_cancellations_known (FtNode *node, gint64 at)
{
  ft_lease_cancellations_known (node->lease, at);
  ft_scheduler_cancellations_known (node->leader.scheduler, at);
}
