#include "net/leader_rows.h"

#include "core/constants.h"
#include "net/node.h"

static gint64
wall_ms (void)
{
  return g_get_real_time () / FT_MILLISECOND;
}

static void
take_cancellation (FtNode *node, const char *ref, const json_t *value, gint64 now)
{
  gint64 age_us = MAX (0, wall_ms () - ft_row_cancellation_time (value)) * FT_MILLISECOND;
  ft_scheduler_job_cancelled (node->leader.scheduler, ref, age_us, now);
}

void
ft_leader_take_open_row (FtNode *node, const FtRow *row, gboolean accepted_since)
{
  gboolean cancelled;
  g_autofree char *ref = ft_key_open_ref (row->key, &cancelled);
  gint64 now = g_get_monotonic_time ();
  if (ref == NULL || row->value == NULL)
    return;
  if (cancelled) {
    take_cancellation (node, ref, row->value, now);
    return;
  }
  g_autoptr (GError) error = NULL;
  FtJobSpec *spec = ft_row_open_parse_full (ref, row->value, &error);
  if (spec == NULL)
    g_warning ("node %s: job %s: its row cannot be read, so it is not scheduled: %s", node->config->member, ref,
               error->message);
  else if (accepted_since)
    ft_scheduler_job_added (node->leader.scheduler, spec, ft_row_open_revision (row), now, wall_ms ());
  else
    ft_scheduler_load_job (node->leader.scheduler, spec, ft_row_open_revision (row), now, wall_ms ());
}

static void
take_registry_row (FtNode *node, const FtRow *row)
{
  if (!ft_row_machine_parse (node->leader.scheduler, row))
    g_warning ("node %s: machine %s: its row cannot be read", node->config->member, row->key);
}

void
ft_leader_take_row (FtNode *node, const FtRow *row)
{
  g_autofree char *ref = NULL;
  guint chunk;
  if (g_str_has_prefix (row->key, FT_PREFIX_OPEN)) {
    /* When a watch fell behind, the rows are read again: only jobs accepted meanwhile are new. */
    ft_leader_take_open_row (node, row, ft_scheduler_is_loaded (node->leader.scheduler));
  } else if (ft_key_drained_name (row->key) != NULL) {
    ft_scheduler_drain (node->leader.scheduler, ft_key_drained_name (row->key), TRUE);
  } else if (g_str_has_prefix (row->key, FT_PREFIX_REGISTRY)) {
    take_registry_row (node, row);
  } else if (ft_key_chunk_parse (row->key, &ref, &chunk) && ft_row_chunk_bits (row->value) != NULL) {
    ft_scheduler_load_done (node->leader.scheduler, ref, chunk, ft_row_chunk_bits (row->value));
  }
}

void
ft_leader_cancellations_known (FtNode *node, gint64 at)
{
  ft_lease_cancellations_known (node->lease, at);
  ft_scheduler_cancellations_known (node->leader.scheduler, at);
}
