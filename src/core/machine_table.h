/* The table of the leader's machines and their zones, and of the names of machines that are gone or drained.
 *
 * The table owns the machines and the zones. It keeps the name of a machine that is gone until the leadership ends, so
 * that a late heartbeat or an outdated list does not add the machine again. */
#pragma once
#include "core/machine.h"
#include "core/zone.h"

typedef struct {
  FtCoreContext *context;  /* borrowed */
  FtMachineQueues *queues; /* borrowed */
  GHashTable *machines;    /* name -> FtMachine, owned */
  GHashTable *zones;       /* name -> FtZone, owned */
  GHashTable *gone;    /* name -> guint64, owned: machines that have been returned or have failed, with the incarnation
                          that they had last */
  GHashTable *drained; /* names of machines that operators have drained */
} FtMachineTable;

/* Initializes the table as empty. `context` and `queues` are borrowed and must outlive it. */
void ft_machine_table_init (FtMachineTable *table, FtCoreContext *context, FtMachineQueues *queues);

/* Frees the machines, with their attempts, and the zones. The jobs of the attempts must still exist, since each attempt
 * is removed from its job. */
void ft_machine_table_clear (FtMachineTable *table);

/* Adds a machine, whose name the table must not have yet, and returns it; borrowed. `addr` may be NULL. */
FtMachine *ft_machine_table_add (FtMachineTable *table, const char *name, const char *addr, const char *type,
                                 const char *zone, gboolean spot);

/* Returns the machine of that name; borrowed. NULL: the table has none. */
FtMachine *ft_machine_table_find (const FtMachineTable *table, const char *name);

/* Whether a machine of that name has been returned or has failed. */
gboolean ft_machine_table_is_gone (const FtMachineTable *table, const char *name);

/* Forgets that the machine is gone if it reports an incarnation that began after that: it is back under its old name,
 * or was returned late. Returns whether it did. */
gboolean ft_machine_table_readmit (FtMachineTable *table, const char *name, guint64 incarnation);

/* Marks the machine as returned or failed and ends all attempts on it. `reason` is logged. The machine stays in the
 * table while a request to or about it is in flight. */
void ft_machine_table_set_gone (FtMachineTable *table, FtMachine *machine, const char *reason);

/* Drains the machine of that name for an operator, or ends its drain. The name is kept even if the table has no such
 * machine yet. */
void ft_machine_table_set_drained (FtMachineTable *table, const char *name, gboolean drained);

/* Looks up the types of all machines again, since the context has a new catalog. */
void ft_machine_table_catalog_changed (FtMachineTable *table);

typedef gboolean (*FtMachinePredicate) (const FtMachine *machine);

/* Returns the number of machines for which the predicate is TRUE. */
guint ft_machine_table_count (const FtMachineTable *table, FtMachinePredicate predicate);

/* Returns the number of machines that should be sending heartbeats, see ft_machine_should_report(). */
guint ft_machine_table_should_report_count (const FtMachineTable *table);
