/* The machine registry: a committed superset of the machines that may have been sent a command. */
#pragma once
#include "core/scheduler.h"

typedef struct _FtMachine FtMachine;
typedef struct _FtRegistryRow FtRegistryRow;

/* A row of the registry names many machines, so that a large fleet costs few
 * changes at the store. */
struct _FtRegistryRow {
  char *id;
  GPtrArray *machines; /* FtMachine, borrowed */
  gsize bytes;         /* about what its value takes */
  guint moving;        /* machines that leave it in a split and are not stored in their new row yet */
  gboolean write_queued, in_flight, stored;
  gint64 write_at; /* earliest write, for what is not urgent */
};

typedef struct {
  GHashTable *rows;        /* id -> FtRegistryRow, owned */
  GQueue pending_rows;     /* FtRegistryRow */
  FtRegistryRow *open_row; /* the one that takes new machines */
  guint64 next_row;
  guint value_divisor;    /* what refusals have lowered the largest value by */
  GQueue drain_deletions; /* names whose operators' marks go */
} FtRegistry;

void ft_registry_row_free (FtRegistryRow *row);
void ft_registry_add (FtScheduler *scheduler, FtMachine *machine);
void ft_registry_remove (FtScheduler *scheduler, FtMachine *machine);
/* A row as read from the store names the machine; NULL: it names one that is gone. */
void ft_registry_loaded (FtScheduler *scheduler, const char *id, FtMachine *machine);
/* Rows that are due, as writes; `most` at a time. */
void ft_registry_writes (FtScheduler *scheduler, GPtrArray *writes, guint most);
void ft_registry_written (FtScheduler *scheduler, const FtWrite *write, gboolean applied);
