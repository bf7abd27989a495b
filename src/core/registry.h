/* The machine registry: a committed superset of the machines that may have been sent a command.
 *
 * The next leader has to reconcile exactly the machines named there, so a machine gets no command
 * before its row is committed. Additions are urgent, since starts wait for them; removals are not: a
 * name that stays a while costs the next leader one probe.
 *
 * A row of the store names many machines, so that a large fleet costs few changes. Owns the rows and
 * the queue of those to be written; machines are borrowed from the machine table. Called by the
 * scheduler when rows are loaded, by whatever makes a machine known or gone, and by the write queue. */
#pragma once
#include "core/context.h"
#include "core/machine.h"
#include "core/machine_table.h"
#include "core/write.h"

/* What of a row is on its way to the store. */
typedef enum {
  FT_REGISTRY_ROW_IDLE,           /* nothing to write */
  FT_REGISTRY_ROW_QUEUED,         /* in `pending_rows` */
  FT_REGISTRY_ROW_WRITING,        /* in the batch that is in flight */
  FT_REGISTRY_ROW_WRITING_QUEUED, /* the same, and changed since: in `pending_rows` again */
} FtRegistryRowState;

struct _FtRegistryRow {
  char *id;
  GPtrArray *machines;      /* FtMachine, borrowed */
  gsize bytes;              /* about what its value takes in the store */
  guint moving;             /* machines moved out by a split whose new row is not committed yet */
  FtRegistryRowState state; /* changed by set_row_state() in registry.c only */
  gboolean stored;          /* the store has the row, whatever it says */
  gint64 write_at;          /* earliest write, for what is not urgent */
};

typedef struct {
  FtCoreContext *context;        /* borrowed */
  FtMachineTable *machine_table; /* borrowed */
  GHashTable *rows;              /* id -> FtRegistryRow, owned */
  GQueue pending_rows;           /* FtRegistryRow */
  FtRegistryRow *open_row;       /* the one that takes new machines */
  guint64 next_row;
  guint value_divisor;    /* by what refusals of the store have lowered the largest value */
  GQueue drain_deletions; /* names of machines that are gone and whose drain rows are to be deleted; owned */
} FtRegistry;

/* An empty registry. The pointers are borrowed and must outlive it. */
void ft_registry_init (FtRegistry *registry, FtCoreContext *context, FtMachineTable *machine_table);
/* Frees the rows. Machines that point to them must not be used any more. */
void ft_registry_clear (FtRegistry *registry);

/* Names the machine in a row, if it is in none and has an address. It may be sent commands once that
 * row is committed (`machine->registered`). */
void ft_registry_add (FtRegistry *registry, FtMachine *machine);

/* The machine is gone: takes it out of its row and queues the deletion of its drain row, if any. */
void ft_registry_remove (FtRegistry *registry, FtMachine *machine);

/* The row `id`, as read from the store, names the machine; NULL: it names one that is gone. */
void ft_registry_load_entry (FtRegistry *registry, const char *id, FtMachine *machine);

/* The store has refused a batch as invalid: rows are made at half the size from now on. */
void ft_registry_lower_value_limit (FtRegistry *registry);

/* Adds the rows that are due to `writes` (FtWrite), `most` at a time. */
void ft_registry_collect_writes (FtRegistry *registry, GPtrArray *writes, guint most);

/* What became of such a write; one that was not applied is queued again. */
void ft_registry_write_finished (FtRegistry *registry, const FtWrite *write, gboolean applied);
