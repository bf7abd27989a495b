/* Splitting rows. A row that was written under a larger value limit of the store stays as it is until a change of it
 * has to be written. Its machines then move to new rows. The old row is deleted only after
 * all of the new rows are committed, so that a committed row names each machine at any time. */
#include "core/registry.h"

#include <string.h>

/* ---- rows ---- */

static void
row_free (FtRegistryRow *row)
{
  g_ptr_array_unref (row->machines);
  g_free (row->id);
  g_free (row);
}

void
ft_registry_init (FtRegistry *registry, FtCoreContext *context, FtMachineTable *machine_table)
{
  registry->context = context;
  registry->machine_table = machine_table;
  registry->rows = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, (GDestroyNotify) row_free);
  registry->value_divisor = 1;
  g_queue_init (&registry->pending_rows);
  g_queue_init (&registry->drain_deletions);
}

void
ft_registry_clear (FtRegistry *registry)
{
  g_hash_table_unref (registry->rows);
  g_queue_clear (&registry->pending_rows);
  g_queue_clear_full (&registry->drain_deletions, g_free);
}

static gboolean
row_move_allowed (FtRegistryRowState from, FtRegistryRowState to)
{
  switch (from) {
  case FT_REGISTRY_ROW_IDLE:
    return to == FT_REGISTRY_ROW_QUEUED;
  case FT_REGISTRY_ROW_QUEUED: /* a queued row becomes idle if a split has moved its machines to other rows */
    return to == FT_REGISTRY_ROW_WRITING || to == FT_REGISTRY_ROW_IDLE;
  case FT_REGISTRY_ROW_WRITING:
    return to == FT_REGISTRY_ROW_WRITING_QUEUED || to == FT_REGISTRY_ROW_IDLE;
  case FT_REGISTRY_ROW_WRITING_QUEUED:
    return to == FT_REGISTRY_ROW_QUEUED;
  }
  return FALSE;
}

/* Changes the state of a row; no other function does. */
static void
set_row_state (FtRegistryRow *row, FtRegistryRowState to)
{
  g_return_if_fail (row_move_allowed (row->state, to));
  row->state = to;
}

static gboolean
row_is_queued (const FtRegistryRow *row)
{
  return row->state == FT_REGISTRY_ROW_QUEUED || row->state == FT_REGISTRY_ROW_WRITING_QUEUED;
}

static gboolean
row_is_in_flight (const FtRegistryRow *row)
{
  return row->state == FT_REGISTRY_ROW_WRITING || row->state == FT_REGISTRY_ROW_WRITING_QUEUED;
}

/* Queues the row for a write at `write_at`, or earlier if it is already queued for an earlier time. */
static void
queue_row (FtRegistry *registry, FtRegistryRow *row, gint64 write_at)
{
  if (row_is_queued (row)) {
    row->write_at = MIN (row->write_at, write_at);
    return;
  }
  set_row_state (row, row_is_in_flight (row) ? FT_REGISTRY_ROW_WRITING_QUEUED : FT_REGISTRY_ROW_QUEUED);
  row->write_at = write_at;
  g_queue_push_tail (&registry->pending_rows, row);
}

static void
queue_row_now (FtRegistry *registry, FtRegistryRow *row)
{
  queue_row (registry, row, registry->context->now);
}

/* Queues the row after a removal. The delay combines many removals in one write. */
static void
queue_row_later (FtRegistry *registry, FtRegistryRow *row)
{
  queue_row (registry, row, registry->context->now + ft_seconds (FT_REGISTRY_DELETE_AFTER_S));
}

static FtRegistryRow *
find_or_add_row (FtRegistry *registry, const char *id)
{
  FtRegistryRow *row = g_hash_table_lookup (registry->rows, id);
  if (row != NULL)
    return row;
  row = g_new0 (FtRegistryRow, 1);
  row->id = g_strdup (id);
  row->machines = g_ptr_array_new ();
  g_hash_table_insert (registry->rows, row->id, row);
  return row;
}

/* Returns the approximate size of the machine's entry in a row. */
static gsize
entry_bytes (const FtMachine *machine)
{
  return strlen (machine->name) + strlen (machine->addr) + strlen (machine->type_name) + strlen (machine->zone)
         + FT_REGISTRY_ENTRY_BYTES;
}

/* Returns the largest total size of the entries in a row, in bytes. */
static gsize
max_row_bytes (const FtRegistry *registry)
{
  double value_limit = registry->context->settings->value_kb * 1024.0 / registry->value_divisor;
  double body_limit = (double) FT_BODY_MAX / FT_REGISTRY_ROWS_AT_ONCE;
  return (gsize) (MIN (value_limit, body_limit) * FT_REGISTRY_ROW_SHARE);
}

void
ft_registry_lower_value_limit (FtRegistry *registry)
{
  if (registry->context->settings->value_kb / (registry->value_divisor * 2) >= FT_VALUE_KB_MIN)
    registry->value_divisor *= 2;
}

/* ---- machines join and leave rows ---- */

/* Returns the row that takes the next machine, with room for `bytes` more; a new row if necessary. */
static FtRegistryRow *
row_with_room (FtRegistry *registry, gsize bytes)
{
  if (registry->open_row == NULL || registry->open_row->bytes + bytes > max_row_bytes (registry)) {
    /* The fencing token makes the id unique among the rows of all leaderships. */
    g_autofree char *id
        = g_strdup_printf ("%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, registry->context->token, registry->next_row++);
    registry->open_row = find_or_add_row (registry, id);
  }
  return registry->open_row;
}

static void
join_row (FtRegistryRow *row, FtMachine *machine)
{
  machine->row = row;
  row->bytes += entry_bytes (machine);
  g_ptr_array_add (row->machines, machine);
}

static void
join_open_row (FtRegistry *registry, FtMachine *machine)
{
  join_row (row_with_room (registry, entry_bytes (machine)), machine);
  queue_row_now (registry, machine->row);
}

void
ft_registry_add (FtRegistry *registry, FtMachine *machine)
{
  if (machine->row != NULL || machine->state == FT_MACHINE_GONE || machine->addr == NULL)
    return;
  join_open_row (registry, machine);
}

void
ft_registry_load_entry (FtRegistry *registry, const char *id, FtMachine *machine)
{
  FtRegistryRow *row = find_or_add_row (registry, id);
  row->stored = TRUE;
  if (machine == NULL || machine->row != NULL) {
    /* The row names a machine that is gone, or one that another row names as well, since a split was not completed.
     * The next write of the row omits that machine. */
    queue_row_later (registry, row);
    return;
  }
  join_row (row, machine);
  machine->registered = TRUE;
}

/* Records that the machine no longer needs the row from which a split has moved it. */
static void
leave_previous_row (FtRegistry *registry, FtMachine *machine)
{
  FtRegistryRow *row = machine->previous_row;
  machine->previous_row = NULL;
  if (row != NULL && --row->moving == 0)
    queue_row_now (registry, row);
}

/* Splits a row that is too large: moves its machines to other rows. */
static void
split_row (FtRegistry *registry, FtRegistryRow *row)
{
  g_message ("registry row %s: split (%u machines, %" G_GSIZE_FORMAT " bytes)", row->id, row->machines->len,
             row->bytes);
  for (guint i = 0; i < row->machines->len; i++) {
    FtMachine *machine = g_ptr_array_index (row->machines, i);
    if (row->stored) {
      leave_previous_row (registry, machine);
      machine->previous_row = row;
      row->moving++;
    }
    join_open_row (registry, machine);
  }
  g_ptr_array_set_size (row->machines, 0);
  row->bytes = 0;
  if (row->moving == 0)
    queue_row_now (registry, row);
}

void
ft_registry_remove (FtRegistry *registry, FtMachine *machine)
{
  FtRegistryRow *row = machine->row;
  if (g_hash_table_contains (registry->machine_table->drained, machine->name))
    g_queue_push_tail (&registry->drain_deletions, g_strdup (machine->name));
  machine->registered = FALSE;
  leave_previous_row (registry, machine);
  if (row == NULL)
    return;
  machine->row = NULL;
  row->bytes -= MIN (row->bytes, entry_bytes (machine));
  g_ptr_array_remove_fast (row->machines, machine);
  queue_row_later (registry, row);
}

/* ---- writing ---- */

static FtWrite *
row_write (FtRegistryRow *row)
{
  FtWriteKind kind = row->machines->len > 0 ? FT_WRITE_REGISTRY_ROW : FT_WRITE_REGISTRY_ROW_DELETE;
  FtWrite *write = ft_write_new (kind, row->id);
  write->machines = ft_listed_new ();
  for (guint i = 0; i < row->machines->len; i++) {
    const FtMachine *machine = g_ptr_array_index (row->machines, i);
    FtListedMachine entry = { .name = g_strdup (machine->name),
                              .addr = g_strdup (machine->addr),
                              .type = g_strdup (machine->type_name),
                              .zone = g_strdup (machine->zone),
                              .spot = machine->spot };
    g_array_append_val (write->machines, entry);
  }
  return write;
}

void
ft_registry_collect_writes (FtRegistry *registry, GPtrArray *writes, guint max_rows)
{
  guint n = g_queue_get_length (&registry->pending_rows);
  for (guint i = 0; i < n && max_rows > 0; i++) {
    FtRegistryRow *row = g_queue_pop_head (&registry->pending_rows);
    if (row_is_in_flight (row) || row->write_at > registry->context->now) {
      g_queue_push_tail (&registry->pending_rows, row);
      continue;
    }
    if (row->bytes > max_row_bytes (registry)) {
      set_row_state (row, FT_REGISTRY_ROW_IDLE);
      split_row (registry, row);
      n = g_queue_get_length (&registry->pending_rows);
      i = 0;
      continue;
    }
    set_row_state (row, FT_REGISTRY_ROW_WRITING);
    g_ptr_array_add (writes, row_write (row));
    max_rows--;
  }
}

/* Records that a committed row names the machine, which may be sent commands from now on. */
static void
machine_committed (FtRegistry *registry, FtRegistryRow *row, const char *name)
{
  FtMachine *machine = g_hash_table_lookup (registry->machine_table->machines, name);
  if (machine == NULL || machine->row != row)
    return;
  leave_previous_row (registry, machine);
  if (machine->registered)
    return;
  machine->registered = TRUE;
  registry->context->placement_due = TRUE;
}

void
ft_registry_write_finished (FtRegistry *registry, const FtWrite *write, gboolean applied)
{
  FtRegistryRow *row = g_hash_table_lookup (registry->rows, write->name);
  if (row == NULL)
    return;
  set_row_state (row, row_is_queued (row) ? FT_REGISTRY_ROW_QUEUED : FT_REGISTRY_ROW_IDLE);
  if (!applied) {
    queue_row_now (registry, row);
    return;
  }
  row->stored = write->kind == FT_WRITE_REGISTRY_ROW;
  for (guint i = 0; i < write->machines->len; i++)
    machine_committed (registry, row, g_array_index (write->machines, FtListedMachine, i).name);
  if (!row->stored && row->state == FT_REGISTRY_ROW_IDLE && row->machines->len == 0 && row != registry->open_row)
    g_hash_table_remove (registry->rows, row->id);
}
