/* The machine registry: rows in the key-value store that name every machine that may have been sent a command.
 *
 * The next leader has to reconcile exactly the machines in the registry, so a machine gets no command before the row
 * that names it is committed. Additions are urgent, since starts wait for them. Removals are not urgent: a name that
 * stays too long only costs the next leader a probe.
 *
 * A row names many machines, so that a large fleet causes few changes in the store. The registry owns its rows and the
 * queue of rows to write, and borrows the machines from the machine table. The scheduler calls it when rows are loaded,
 * other modules when a machine becomes known or is gone, and the write queue when it writes rows. */
#pragma once
#include "core/context.h"
#include "core/machine.h"
#include "core/machine_table.h"
#include "core/write.h"

/* Whether a row has changes that the store does not have yet. */
typedef enum {
  FT_REGISTRY_ROW_IDLE,           /* the row has no changes to write */
  FT_REGISTRY_ROW_QUEUED,         /* the row has changes and is in `pending_rows` */
  FT_REGISTRY_ROW_WRITING,        /* the row is in the batch that is in flight */
  FT_REGISTRY_ROW_WRITING_QUEUED, /* the row is in the batch that is in flight, has changed since, and is in
                                     `pending_rows` again */
} FtRegistryRowState;

struct _FtRegistryRow {
  char *id;
  GPtrArray *machines;      /* FtMachine, borrowed: the machines that the row names */
  gsize bytes;              /* approximate size of the row's value in the store */
  guint moving;             /* number of machines that a split moved to other rows which are not committed yet */
  FtRegistryRowState state; /* changed by set_row_state() in registry.c only */
  gboolean stored;          /* the store has a version of the row, perhaps an older one */
  gint64 write_at;          /* earliest time of the next write, in microseconds */
};

typedef struct {
  FtCoreContext *context;        /* borrowed */
  FtMachineTable *machine_table; /* borrowed */
  GHashTable *rows;              /* id -> FtRegistryRow, owned */
  GQueue pending_rows;           /* FtRegistryRow to write, borrowed from `rows` */
  FtRegistryRow *open_row;       /* the row to which new machines are added; NULL: none yet */
  guint64 next_row;              /* number of the next row that this leader creates */
  guint value_divisor;    /* the value limit of the settings is divided by this; it doubles when the store refuses
                             a batch as invalid */
  GQueue drain_deletions; /* names, owned, of drained machines that are gone and whose drain rows are to be deleted */
} FtRegistry;

/* Initializes an empty registry. It borrows the pointers, which must outlive it. */
void ft_registry_init (FtRegistry *registry, FtCoreContext *context, FtMachineTable *machine_table);
/* Frees the rows. Machines still point to their rows and must not be used any more. */
void ft_registry_clear (FtRegistry *registry);

/* Adds the machine to a row, unless a row names it already or its address is not known. The machine may be sent
 * commands once that row is committed (`machine->registered`). */
void ft_registry_add (FtRegistry *registry, FtMachine *machine);

/* Removes a machine that is gone from its row, and queues the deletion of its drain row if it was drained. */
void ft_registry_remove (FtRegistry *registry, FtMachine *machine);

/* Records that the row `id`, as read from the store, names the machine. `machine` is NULL if that machine is gone. */
void ft_registry_load_entry (FtRegistry *registry, const char *id, FtMachine *machine);

/* Halves the largest size of a row, down to FT_VALUE_KB_MIN, since the store has refused a batch as invalid. */
void ft_registry_lower_value_limit (FtRegistry *registry);

/* Adds the writes (FtWrite) of at most `max_rows` rows that are due to `writes`. */
void ft_registry_collect_writes (FtRegistry *registry, GPtrArray *writes, guint max_rows);

/* Records the result of a row's write. `applied` is TRUE if it is committed; otherwise the row is queued again. */
void ft_registry_write_finished (FtRegistry *registry, const FtWrite *write, gboolean applied);
