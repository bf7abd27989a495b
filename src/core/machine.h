/* A machine as the leader knows it: its lifecycle, what it holds and whether it may be used.
 *
 *     BOOTING ----> UP <----> SILENT        UP and SILENT follow the machine's heartbeats
 *        |          |           |
 *        +----------+-----------+---> TERMINATING ---> GONE
 *
 * A machine becomes known when a launch is answered, when the cloud lists it, when its first
 * heartbeat arrives or when the registry is read after a failover. TERMINATING is final but for GONE:
 * from then on it gets no starts, and return calls are sent until the cloud confirms. A machine
 * that is GONE stays in the table while a request that concerns it is in flight.
 *
 * Machines are owned by the machine table. They know nothing of the modules above: what these have
 * to do for a machine is put in one of the queues of FtMachineQueues, and that a placement pass may
 * find something is noted in the context. */
#pragma once
#include "core/attempt.h"
#include "core/context.h"
#include "core/reachability.h"
#include "core/types.h"

typedef struct _FtZone FtZone;
typedef struct _FtRegistryRow FtRegistryRow;

typedef enum {
  FT_MACHINE_BOOTING,     /* launched, no heartbeat yet */
  FT_MACHINE_UP,          /* its heartbeats come */
  FT_MACHINE_SILENT,      /* its heartbeats came, and no longer do */
  FT_MACHINE_TERMINATING, /* gets no starts; is being returned to the cloud */
  FT_MACHINE_GONE,        /* returned or failed */
} FtMachineState;

/* Machines that wait for something to be done for them. A machine is in each at most once. Owned
 * by the scheduler; filled by the machines. */
typedef struct {
  GQueue directs;     /* FtMachine that may want a direct request; emptied by the direct commands */
  GQueue probes;      /* FtMachine that may want a probe; emptied by the probes */
  GQueue terminating; /* FtMachine in FT_MACHINE_TERMINATING; read by the cloud calls */
} FtMachineQueues;

/* Empty queues. */
void ft_machine_queues_init (FtMachineQueues *queues);

/* Empties the queues; the machines are not freed. */
void ft_machine_queues_clear (FtMachineQueues *queues);

/* The requests that concern a machine. At most one command and one return call are in flight for it; each is
 * independent of the other, and of the queues: work decided while a command is in flight queues the machine
 * again. */
typedef struct {
  gboolean direct_queued;     /* is in FtMachineQueues.directs; set by ft_machine_queue_direct_request() */
  gboolean probe_queued;      /* is in FtMachineQueues.probes; set by ft_machine_queue_probe() */
  gboolean command_in_flight; /* a direct request or a probe has been sent and is not answered */
  gboolean return_in_flight;  /* a cloud call to return it has been sent and is not answered */
  gint64 return_at;           /* earliest next such call, in microseconds */
} FtMachineRequests;

/* What speaks against new starts on a machine, beside its state and its reachability. The facts are independent of
 * each other: an operator may drain a machine that is quarantined, and a doubt or a fault alone does not quarantine. */
typedef struct {
  gboolean drained;        /* by an operator; also kept by name in the machine table */
  gboolean quarantined;    /* faulty, or a start was in doubt for too long; never revoked */
  gboolean start_in_doubt; /* a direct start of this incarnation got no answer, so that it may be executed late */
  guint faults;            /* failures in a row that count against it; see fault.h */
  guint64 last_failed;     /* revision of the job that failed here last; 0: none since a task completed */
} FtMachineFitness;

struct _FtMachine {
  FtCoreContext *context;  /* borrowed */
  FtMachineQueues *queues; /* borrowed */
  char *name, *addr, *zone, *type_name;
  FtZone *zone_view;         /* its zone, of the machine table */
  const FtMachineType *type; /* of the context's catalog; NULL if not in it */
  gboolean spot;
  FtMachineState state;          /* changed by ft_machine_set_state() only */
  guint64 incarnation, sequence; /* of its newest status */
  guint64 expired_incarnation;   /* incarnations up to here are over */
  FtReachability reachability;
  gint64 launched_at;
  gint64 idle_since;             /* with ft_machine_idle(): since when */
  gint64 notice_until;           /* when its interruption notice ends; 0: none */
  gboolean counted_unreconciled; /* counted by the recovery among the unreconciled machines */
  gboolean reconciled;           /* reported under our token, or certainly empty; ft_machine_set_reconciled() sets it */
  FtRegistryRow *row;            /* the registry row that names it; NULL: none yet */
  FtRegistryRow *split_row;      /* a stored row that names it until `row` is stored; NULL: none */
  gboolean registered;           /* that row is committed */
  gboolean listed_running;       /* the cloud's list named it as running before any heartbeat */
  FtMachineRequests requests;
  FtMachineFitness fitness;
  double cpus, gpus, memory_gb; /* taken by attempts not known to be over */
  GHashTable *attempts;         /* set of FtAttempt, owned */
  GHashTable *images;           /* names known to be cached */
};

/* A machine in FT_MACHINE_BOOTING. Called by ft_machine_table_add(), which sets its zone view and whether it is
 * drained. `addr` may be NULL. */
FtMachine *ft_machine_new (FtCoreContext *context, FtMachineQueues *queues, const char *name, const char *addr,
                           const char *type, const char *zone, gboolean spot);

/* Called by the machine table. Ends its attempts without a trace, and takes it out of the queues of requests. */
void ft_machine_free (FtMachine *machine);

/* The one place where a machine's state changes. `reason` is logged. FALSE: a move that the lifecycle does
 * not have; refused. */
gboolean ft_machine_set_state (FtMachine *machine, FtMachineState to, const char *reason);

/* The state's name as operators see it. */
const char *ft_machine_state_name (FtMachineState state);

/* Begins its return: it gets no more starts, and return calls are sent until the cloud confirms. */
void ft_machine_terminate (FtMachine *machine, const char *reason);

/* The cloud may have given it an address, or another one. */
void ft_machine_set_addr (FtMachine *machine, const char *addr);

/* All that the machine may run unseen is known. The caller notifies the recovery. */
void ft_machine_set_reconciled (FtMachine *machine);

/* The machine may want a direct request. */
void ft_machine_queue_direct_request (FtMachine *machine);

/* The machine may want a probe. */
void ft_machine_queue_probe (FtMachine *machine);

/* Its heartbeats should arrive: it has been up, and is not being returned. */
gboolean ft_machine_should_report (const FtMachine *machine);

/* New work may be started on it now. */
gboolean ft_machine_usable (const FtMachine *machine);

/* The job's constraints allow the machine. */
gboolean ft_machine_allowed (const FtMachine *machine, const FtJobSpec *spec);

/* How many tasks of this kind the machine has room for. */
guint ft_machine_room (const FtMachine *machine, const FtJobSpec *spec);

/* A request that concerns the machine is in flight: its answer will name it. */
gboolean ft_machine_has_request_in_flight (const FtMachine *machine);

/* Nothing is, or may still come to be, on the machine, and no result there is needed. */
gboolean ft_machine_idle (const FtMachine *machine);

/* The attempt of that identity on the machine; NULL: none. */
FtAttempt *ft_machine_attempt (const FtMachine *machine, const char *ref, guint index, guint64 id);

/* ---- reachability ---- */

/* Its heartbeats arrive, but neither answers nor commands seem to reach it. */
gboolean ft_machine_not_receiving (const FtMachine *machine);

/* Commands reach it, but its heartbeats reach no controller: what is started there ends with its worker
 * lease. Judged by its own heartbeats alone, over the time in which this leader could have answered them. */
gboolean ft_machine_not_reporting (const FtMachine *machine);
