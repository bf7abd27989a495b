#include "wire/scheduler_rows.h"

#include "core/constants.h"
#include "wire/fields.h"
#include "wire/job_rows.h"
#include "wire/machine_rows.h"
#include "wire/store_keys.h"

static void
apply_cancellation (FtScheduler *scheduler, const char *ref, const FtRow *row, gint64 now, gint64 wall_ms)
{
  gint64 age_us = MAX (0, wall_ms - ft_row_cancellation_time (row->value)) * FT_MILLISECOND;
  g_message ("job %s: cancellation read, committed at revision %" G_GUINT64_FORMAT " %.1f s ago", ref, row->revision,
             (double) age_us / FT_SECOND);
  ft_scheduler_job_cancelled (scheduler, ref, age_us, now);
}

gboolean
ft_row_apply_open (FtScheduler *scheduler, const FtRow *row, gboolean accepted_since, gint64 now, gint64 wall_ms,
                   GError **error)
{
  gboolean cancelled;
  g_autofree char *ref = ft_key_open_ref (row->key, &cancelled);
  if (ref == NULL || row->value == NULL)
    return TRUE;
  if (cancelled) {
    apply_cancellation (scheduler, ref, row, now, wall_ms);
    return TRUE;
  }
  FtJobSpec *spec = ft_row_open_parse_full (ref, row->value, error);
  if (spec == NULL) {
    g_prefix_error (error, "job %s: its row cannot be read, so it is not scheduled: ", ref);
    return FALSE;
  }
  if (accepted_since)
    ft_scheduler_job_added (scheduler, spec, ft_row_open_state_revision (row), now, wall_ms);
  else
    ft_scheduler_load_job (scheduler, spec, ft_row_open_state_revision (row), now, wall_ms);
  return TRUE;
}

static gboolean
apply_registry_row (FtScheduler *scheduler, const FtRow *row, GError **error)
{
  if (ft_row_machine_parse (scheduler, row))
    return TRUE;
  g_set_error (error, FT_WIRE_ERROR, FT_WIRE_ERROR_INVALID_FIELD, "machine %s: its row cannot be read", row->key);
  return FALSE;
}

gboolean
ft_row_apply (FtScheduler *scheduler, const FtRow *row, gint64 now, gint64 wall_ms, GError **error)
{
  g_autofree char *ref = NULL;
  guint chunk;
  if (g_str_has_prefix (row->key, FT_PREFIX_OPEN))
    return ft_row_apply_open (scheduler, row, ft_scheduler_is_loaded (scheduler), now, wall_ms, error);
  if (ft_key_drained_name (row->key) != NULL)
    ft_scheduler_drain (scheduler, ft_key_drained_name (row->key), TRUE);
  else if (g_str_has_prefix (row->key, FT_PREFIX_REGISTRY))
    return apply_registry_row (scheduler, row, error);
  else if (ft_key_chunk_parse (row->key, &ref, &chunk) && ft_row_chunk_bits (row->value) != NULL)
    ft_scheduler_load_done (scheduler, ref, chunk, ft_row_chunk_bits (row->value));
  return TRUE;
}
