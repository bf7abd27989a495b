/* The machines that the leader knows, their zones, and the names that are gone or drained.
 *
 * Owns the machines and the zones. A name that is gone is kept as long as the leadership: a heartbeat or a
 * list that comes late must not bring the machine back. */
#pragma once
#include "core/machine.h"
#include "core/zone.h"

typedef struct {
  FtCoreContext *context;  /* borrowed */
  FtMachineQueues *queues; /* borrowed */
  GHashTable *machines;    /* name -> FtMachine, owned */
  GHashTable *zones;       /* name -> FtZone, owned */
  GHashTable *gone;        /* names returned or failed */
  GHashTable *drained;     /* names drained by operators */
} FtMachineTable;

/* An empty table. */
void ft_machine_table_init (FtMachineTable *table, FtCoreContext *context, FtMachineQueues *queues);

/* Frees the machines and the zones. Attempts leave their jobs, which must still exist. */
void ft_machine_table_clear (FtMachineTable *table);

/* Makes a machine of a name that is not known; borrowed. `addr` may be NULL. */
FtMachine *ft_machine_table_add (FtMachineTable *table, const char *name, const char *addr, const char *type,
                                 const char *zone, gboolean spot);

/* The machine of that name; borrowed, NULL: not known. */
FtMachine *ft_machine_table_find (const FtMachineTable *table, const char *name);

/* The name was a machine's that has been returned or has failed. */
gboolean ft_machine_table_is_gone (const FtMachineTable *table, const char *name);

/* The machine has been returned or has failed: all on it is over. It stays in the table while a request
 * that concerns it is in flight. */
void ft_machine_table_set_gone (FtMachineTable *table, FtMachine *machine, const char *reason);

/* By an operator. Remembered by name, also for a machine that is not known. */
void ft_machine_table_set_drained (FtMachineTable *table, const char *name, gboolean drained);

/* All machines are of the types of the context's catalog, which is new. */
void ft_machine_table_catalog_changed (FtMachineTable *table);

typedef gboolean (*FtMachinePredicate) (const FtMachine *machine);

/* For how many machines of the table the predicate is TRUE. */
guint ft_machine_table_count (const FtMachineTable *table, FtMachinePredicate predicate);

/* Machines that should be sending heartbeats. */
guint ft_machine_table_should_report_count (const FtMachineTable *table);
