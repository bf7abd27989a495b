/* The registry: a committed superset of the machines that may have been sent a
 * command. Additions are urgent, since starts wait for them; removals are not.
 *
 * A row that was written under a larger limit of the state service stays as it is while
 * nothing of it changes. When it must be written its machines move to new rows; the old row
 * is deleted once all of these are stored, so that each machine is named at any moment. */
#include "core/scheduler_private.h"

#include <string.h>

void
ft_registry_row_free (FtRegistryRow *row)
{
  g_ptr_array_unref (row->machines);
  g_free (row->id);
  g_free (row);
}

static FtRegistryRow *
find_or_add_row (FtScheduler *scheduler, const char *id)
{
  FtRegistryRow *row = g_hash_table_lookup (scheduler->registry.rows, id);
  if (row != NULL)
    return row;
  row = g_new0 (FtRegistryRow, 1);
  row->id = g_strdup (id);
  row->machines = g_ptr_array_new ();
  g_hash_table_insert (scheduler->registry.rows, row->id, row);
  return row;
}

static gsize
entry_bytes (const FtMachine *machine)
{
  return strlen (machine->name) + strlen (machine->addr) + strlen (machine->type_name) + strlen (machine->zone)
         + FT_REGISTRY_ENTRY_BYTES;
}

static void
queue_row (FtScheduler *scheduler, FtRegistryRow *row, gint64 write_at)
{
  if (row->write_queued) {
    row->write_at = MIN (row->write_at, write_at);
    return;
  }
  row->write_queued = TRUE;
  row->write_at = write_at;
  g_queue_push_tail (&scheduler->registry.pending_rows, row);
}

/* The most that the entries of a row may take. */
static gsize
row_bytes_most (const FtScheduler *scheduler)
{
  double largest = MIN (scheduler->context.settings->value_kb * 1024.0 / scheduler->registry.value_divisor,
                        (double) FT_BODY_MAX / FT_REGISTRY_ROWS_AT_ONCE);
  return (gsize) (largest * FT_REGISTRY_ROW_SHARE);
}

static FtRegistryRow *
row_with_room (FtScheduler *scheduler, gsize bytes)
{
  if (scheduler->registry.open_row == NULL
      || scheduler->registry.open_row->bytes + bytes > row_bytes_most (scheduler)) {
    /* The token makes the name unique: no row of an earlier leadership has it. */
    g_autofree char *id = g_strdup_printf ("%" G_GUINT64_FORMAT "-%" G_GUINT64_FORMAT, scheduler->context.token,
                                           scheduler->registry.next_row++);
    scheduler->registry.open_row = find_or_add_row (scheduler, id);
  }
  return scheduler->registry.open_row;
}

static void
join (FtRegistryRow *row, FtMachine *machine)
{
  machine->row = row;
  row->bytes += entry_bytes (machine);
  g_ptr_array_add (row->machines, machine);
}

static void
join_new_row (FtScheduler *scheduler, FtMachine *machine)
{
  join (row_with_room (scheduler, entry_bytes (machine)), machine);
  queue_row (scheduler, machine->row, scheduler->context.now);
}

void
ft_registry_add (FtScheduler *scheduler, FtMachine *machine)
{
  if (machine->row != NULL || machine->state == FT_MACHINE_GONE || machine->addr == NULL)
    return;
  join_new_row (scheduler, machine);
}

void
ft_registry_loaded (FtScheduler *scheduler, const char *id, FtMachine *machine)
{
  FtRegistryRow *row = find_or_add_row (scheduler, id);
  row->stored = TRUE;
  if (machine == NULL || machine->row != NULL) {
    /* Named by another row as well, after a split that did not end: one is enough. */
    queue_row (scheduler, row, scheduler->context.now + (gint64) (FT_REGISTRY_DELETE_AFTER_S * FT_SECOND));
    return;
  }
  join (row, machine);
  machine->registered = TRUE;
}

/* The machine needs the row that it was moved from no more. */
static void
leave_split_row (FtScheduler *scheduler, FtMachine *machine)
{
  FtRegistryRow *row = machine->split_row;
  machine->split_row = NULL;
  if (row != NULL && --row->moving == 0)
    queue_row (scheduler, row, scheduler->context.now);
}

/* Moves the machines of a row that is too large to new rows. */
static void
split (FtScheduler *scheduler, FtRegistryRow *row)
{
  g_message ("roster row %s: split, %u machines", row->id, row->machines->len);
  for (guint i = 0; i < row->machines->len; i++) {
    FtMachine *machine = g_ptr_array_index (row->machines, i);
    if (row->stored) {
      leave_split_row (scheduler, machine);
      machine->split_row = row;
      row->moving++;
    }
    join_new_row (scheduler, machine);
  }
  g_ptr_array_set_size (row->machines, 0);
  row->bytes = 0;
  if (row->moving == 0)
    queue_row (scheduler, row, scheduler->context.now);
}

/* A name that stays a while costs the next leader a probe, nothing else. */
void
ft_registry_remove (FtScheduler *scheduler, FtMachine *machine)
{
  FtRegistryRow *row = machine->row;
  if (g_hash_table_contains (scheduler->machine_table.drained, machine->name))
    g_queue_push_tail (&scheduler->registry.drain_deletions, g_strdup (machine->name));
  machine->registered = FALSE;
  leave_split_row (scheduler, machine);
  if (row == NULL)
    return;
  machine->row = NULL;
  row->bytes -= MIN (row->bytes, entry_bytes (machine));
  g_ptr_array_remove_fast (row->machines, machine);
  queue_row (scheduler, row, scheduler->context.now + (gint64) (FT_REGISTRY_DELETE_AFTER_S * FT_SECOND));
}

static FtWrite *
write_of (FtRegistryRow *row)
{
  FtWrite *write
      = ft_write_new (row->machines->len > 0 ? FT_WRITE_REGISTRY_ROW : FT_WRITE_REGISTRY_ROW_DELETE, row->id);
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
ft_registry_writes (FtScheduler *scheduler, GPtrArray *writes, guint most)
{
  guint n = g_queue_get_length (&scheduler->registry.pending_rows);
  for (guint i = 0; i < n && most > 0; i++) {
    FtRegistryRow *row = g_queue_pop_head (&scheduler->registry.pending_rows);
    if (row->in_flight || row->write_at > scheduler->context.now) {
      g_queue_push_tail (&scheduler->registry.pending_rows, row);
      continue;
    }
    row->write_queued = FALSE;
    if (row->bytes > row_bytes_most (scheduler)) {
      split (scheduler, row);
      n = g_queue_get_length (&scheduler->registry.pending_rows);
      i = 0;
      continue;
    }
    row->in_flight = TRUE;
    g_ptr_array_add (writes, write_of (row));
    most--;
  }
}

void
ft_registry_written (FtScheduler *scheduler, const FtWrite *write, gboolean applied)
{
  FtRegistryRow *row = g_hash_table_lookup (scheduler->registry.rows, write->name);
  if (row == NULL)
    return;
  row->in_flight = FALSE;
  if (!applied) {
    queue_row (scheduler, row, scheduler->context.now);
    return;
  }
  row->stored = write->kind == FT_WRITE_REGISTRY_ROW;
  for (guint i = 0; i < write->machines->len; i++) {
    const FtListedMachine *entry = &g_array_index (write->machines, FtListedMachine, i);
    FtMachine *machine = g_hash_table_lookup (scheduler->machine_table.machines, entry->name);
    if (machine == NULL || machine->row != row)
      continue;
    leave_split_row (scheduler, machine);
    if (machine->registered)
      continue;
    machine->registered = TRUE;
    scheduler->context.placement_due = TRUE;
  }
  if (!row->stored && !row->write_queued && row->machines->len == 0 && row != scheduler->registry.open_row)
    g_hash_table_remove (scheduler->registry.rows, row->id);
}
