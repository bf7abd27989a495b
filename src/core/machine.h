/* The leader's record of a machine: its lifecycle, its attempts and whether new work may be started on it.
 *
 *     BOOTING ----> UP <----> SILENT        UP and SILENT follow the machine's heartbeats
 *        |          |           |
 *        +----------+-----------+---> TERMINATING ---> GONE
 *
 * A machine is added to the machine table when the cloud answers the request that launched it, when the cloud's list
 * names it, when its first heartbeat arrives, or when the registry is read after a failover. A machine in TERMINATING
 * gets no starts and can only become GONE; calls to return it are sent until the cloud confirms the return. A machine
 * that is GONE stays in the table while a request to it or about it is in flight.
 *
 * Machines are owned by the machine table. This module does not call the modules above it. Instead it puts a machine
 * into one of the queues of FtMachineQueues, and sets `placement_due` in the context when a placement pass may find
 * something to place. */
#pragma once
#include "core/attempt.h"
#include "core/context.h"
#include "core/reachability.h"
#include "core/types.h"
#include "core/worker_token.h"

typedef struct _FtZone FtZone;
typedef struct _FtRegistryRow FtRegistryRow;

typedef enum {
  FT_MACHINE_BOOTING,     /* launched; no heartbeat has arrived yet */
  FT_MACHINE_UP,          /* heartbeats of the machine arrive */
  FT_MACHINE_SILENT,      /* heartbeats of the machine have stopped arriving */
  FT_MACHINE_TERMINATING, /* the machine is being returned to the cloud and gets no starts */
  FT_MACHINE_GONE,        /* the machine has been returned to the cloud or has failed */
} FtMachineState;

/* Queues of machines that need a request. Each queue holds a machine at most once. The scheduler owns the queues;
 * this module fills them. */
typedef struct {
  GQueue direct_requests; /* FtMachine that may need a direct request; consumed by ft_direct_commands_next() */
  GQueue probes;          /* FtMachine that may need a probe; consumed by ft_probes_next() */
  GQueue terminating;     /* FtMachine in FT_MACHINE_TERMINATING; read by ft_cloud_calls_next() */
} FtMachineQueues;

/* Initializes the queues as empty. */
void ft_machine_queues_init (FtMachineQueues *queues);

/* Empties the queues; the machines are not freed. */
void ft_machine_queues_clear (FtMachineQueues *queues);

/* The requests to and about a machine. At most one command and one return call are in flight for a machine, and the
 * two are independent of each other. They are also independent of the queues: work that is decided on while a command
 * is in flight puts the machine into a queue again. */
typedef struct {
  gboolean direct_request_queued; /* the machine is in FtMachineQueues.direct_requests; set by
                                     ft_machine_queue_direct_request() */
  gboolean probe_queued;          /* the machine is in FtMachineQueues.probes; set by ft_machine_queue_probe() */
  gboolean command_in_flight;     /* a direct request or a probe has been sent and is not answered */
  gboolean return_in_flight;      /* a cloud call to return the machine has been sent and is not answered */
  gint64 return_at;               /* earliest time of the next cloud call to return the machine, in microseconds */
} FtMachineRequests;

/* Reasons for a quarantine, as bits. A machine may be quarantined for several reasons at once. */
typedef enum {
  FT_QUARANTINED_FAULTY = 1 << 0,         /* too many failures count against the machine; see fault.h */
  FT_QUARANTINED_START_IN_DOUBT = 1 << 1, /* a cancelled start got no answer for too long; see start_in_doubt.h */
} FtQuarantineReason;

/* Reasons against new starts on a machine, beside its state and its reachability. They are independent of each other:
 * an operator may drain a machine that is quarantined, and neither `start_unanswered` nor a single fault quarantines a
 * machine. */
typedef struct {
  gboolean drained;          /* an operator has drained the machine; the machine table keeps the name as well */
  guint quarantine;          /* set of FtQuarantineReason; changed by ft_machine_set_quarantined() only */
  gboolean start_unanswered; /* a direct start of this incarnation got no answer and may be executed late */
  guint faults;              /* failures in a row that count against the machine; see fault.h */
  guint64 last_failed;       /* revision of the job whose task last failed here; 0: no failure since a task completed */
} FtMachineFitness;

/* Why no new work may be started on a machine. */
typedef enum {
  FT_UNUSED_NONE,           /* new work may be started on the machine */
  FT_UNUSED_DRAINED,        /* an operator has drained it */
  FT_UNUSED_FAULTY,         /* it is quarantined as FT_QUARANTINED_FAULTY */
  FT_UNUSED_START_IN_DOUBT, /* it is quarantined as FT_QUARANTINED_START_IN_DOUBT */
  FT_UNUSED_NOTICE,         /* the cloud has announced that it takes the machine back */
  FT_UNUSED_UNRECONCILED,   /* this leader does not know yet what runs on it */
  FT_UNUSED_NOT_UP,         /* it is not in FT_MACHINE_UP */
  FT_UNUSED_UNREGISTERED,   /* no committed registry row names it */
  FT_UNUSED_TYPE_UNKNOWN,   /* the catalog does not have its type */
  FT_UNUSED_EXPIRED,        /* its worker lease has run out */
  FT_UNUSED_TOKEN_UNSEEN,   /* it has not acknowledged this leader's fencing token */
  FT_UNUSED_NOT_RECEIVING,  /* neither answers nor commands seem to reach it */
  FT_UNUSED_NOT_REPORTING,  /* its heartbeats reach no controller */
  FT_UNUSED_OVERDUE,        /* its last status is too old */
} FtUnusedReason;

/* Why a machine gets no direct commands. */
typedef enum {
  FT_COMMANDS_ALLOWED,      /* it gets direct commands */
  FT_COMMANDS_NO_ADDRESS,   /* its address is not known */
  FT_COMMANDS_NOT_UP,       /* it is not in FT_MACHINE_UP */
  FT_COMMANDS_UNRECONCILED, /* this leader does not know yet what runs on it */
  FT_COMMANDS_EXPIRED,      /* its incarnation has ended, or its worker lease has run out */
} FtCommandsAllowed;

/* What has been logged about a machine; changed by the functions of machine_log.h only. Times are in microseconds. */
typedef struct {
  FtCommandsAllowed commands;   /* whether the machine gets direct commands, as last logged */
  gint64 commands_at;           /* when that was determined; 0: not yet */
  gboolean commands_stopped;    /* a line has told that the machine gets none */
  FtHeartbeatOutcome unapplied; /* why the last heartbeats were not applied */
  guint unapplied_count;        /* heartbeats in a row that were not applied; 0: the last one was */
  gint64 unapplied_since;       /* arrival of the first of them */
  gint64 unapplied_last_at;     /* arrival of the last of them */
  gint64 unapplied_at;          /* when a line about such heartbeats was last logged */
  gint64 refused_at;            /* when it was last logged that an applied heartbeat is refused */
  gint64 stops_at;              /* when stops were last logged */
  guint returns_failed;         /* calls to return the machine that have failed */
} FtMachineLog;

struct _FtMachine {
  FtCoreContext *context;  /* borrowed */
  FtMachineQueues *queues; /* borrowed */
  char *name, *addr, *zone, *type_name;
  FtZone *zone_view;         /* the machine's zone; borrowed from the machine table */
  const FtMachineType *type; /* borrowed from the context's catalog; NULL: the catalog does not have the type */
  gboolean spot;
  FtMachineState state;          /* changed by ft_machine_set_state() only */
  guint64 incarnation, sequence; /* those of the machine's newest status */
  guint64 expired_incarnation;   /* incarnations up to this one have ended or expired and get no commands */
  FtReachability reachability;
  FtWorkerToken worker_token;    /* the tokens of the commands to its worker */
  gint64 launched_at;            /* when the machine was launched, as far as it is known; in microseconds */
  gint64 idle_since;             /* when the machine became idle, in microseconds; valid while it is idle */
  gint64 notice_until;           /* end of the interruption notice's period, in microseconds; 0: no notice */
  gboolean counted_unreconciled; /* the recovery counts the machine among the unreconciled ones */
  gboolean reconciled;           /* the machine has reported with this leader's token, or certainly runs no task */
  FtRegistryRow *row;            /* the registry row that names the machine; NULL: none yet */
  FtRegistryRow *previous_row;   /* the stored row that names the machine until `row` is stored; NULL: none */
  gboolean registered;           /* a committed registry row names the machine */
  gboolean listed_running;       /* the cloud's list showed the machine as running before its first heartbeat */
  FtMachineRequests requests;
  FtMachineFitness fitness;
  FtMachineLog log;
  double cpus, gpus, memory_gb; /* reserved for attempts that are not known to be over */
  GHashTable *attempts;         /* set of FtAttempt, owned */
  GHashTable *images;           /* names of the images that the machine is known to have cached */
};

/* Creates a machine in FT_MACHINE_BOOTING. Called by ft_machine_table_add(), which sets `zone_view` and
 * `fitness.drained`. `addr` may be NULL. */
FtMachine *ft_machine_new (FtCoreContext *context, FtMachineQueues *queues, const char *name, const char *addr,
                           const char *type, const char *zone, gboolean spot);

/* Frees the machine and its attempts, and removes it from the queues of direct requests and probes. The tasks of the
 * attempts do not change. Called by the machine table. */
void ft_machine_free (FtMachine *machine);

/* Changes the machine's state; no other function does. `reason` is logged. Returns FALSE if the lifecycle does not
 * have this transition; the state then stays. */
gboolean ft_machine_set_state (FtMachine *machine, FtMachineState to, const char *reason);

/* Returns the name of the state that operators see; static. */
const char *ft_machine_state_name (FtMachineState state);

/* Starts returning the machine: it gets no more starts, and calls to return it are sent until the cloud confirms the
 * return. `reason` is logged. */
void ft_machine_terminate (FtMachine *machine, const char *reason);

/* Sets the machine's address, which the cloud may have assigned or changed. */
void ft_machine_set_addr (FtMachine *machine, const char *addr);

/* Marks the machine as reconciled: this leader knows every attempt that the machine may run. The caller notifies the
 * recovery. */
void ft_machine_set_reconciled (FtMachine *machine);

/* Puts the machine into the queue of direct requests, since it may need one. */
void ft_machine_queue_direct_request (FtMachine *machine);

/* Puts the machine into the queue of probes, since it may need one. */
void ft_machine_queue_probe (FtMachine *machine);

/* Whether the machine should be sending heartbeats: it has been up, and is not being returned. */
gboolean ft_machine_should_report (const FtMachine *machine);

/* Quarantines the machine for the reason, or ends the quarantine for that reason. Returns TRUE if this is a change; the
 * caller then logs it. */
gboolean ft_machine_set_quarantined (FtMachine *machine, FtQuarantineReason reason, gboolean quarantined);

/* Whether the machine is quarantined, for any reason. */
gboolean ft_machine_is_quarantined (const FtMachine *machine);

/* Returns the first reason why no new work may be started on the machine now. */
FtUnusedReason ft_machine_unused_reason (const FtMachine *machine);

/* Whether new work may be started on the machine now. */
gboolean ft_machine_usable (const FtMachine *machine);

/* Whether the job's constraints allow the machine. */
gboolean ft_machine_allowed (const FtMachine *machine, const FtJobSpec *spec);

/* Returns how many tasks of the job the machine has room for. */
guint ft_machine_room (const FtMachine *machine, const FtJobSpec *spec);

/* Whether a request to or about the machine is in flight: its answer will name the machine. */
gboolean ft_machine_has_request_in_flight (const FtMachine *machine);

/* Whether the machine is idle: no attempt runs or may still start there, and none has a result that is not committed
 * yet. */
gboolean ft_machine_idle (const FtMachine *machine);

/* Returns the machine's attempt with number `id` of task `index` of the job `ref`; borrowed. NULL: there is none. */
FtAttempt *ft_machine_attempt (const FtMachine *machine, const char *ref, guint index, guint64 id);

/* ---- reachability ---- */

/* Whether the machine's heartbeats arrive, but neither answers nor commands seem to reach it. */
gboolean ft_machine_not_receiving (const FtMachine *machine);

/* Whether the machine answers commands, but its heartbeats reach no controller, so that tasks started there end when
 * its worker lease runs out. Only heartbeats are considered, and only the time in which this leader could have answered
 * them. */
gboolean ft_machine_not_reporting (const FtMachine *machine);
