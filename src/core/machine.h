/* A machine as the leader knows it. */
#pragma once
#include "core/attempt.h"
#include "core/types.h"
#include "core/zone.h"

typedef struct _FtScheduler FtScheduler;
typedef struct _FtRegistryRow FtRegistryRow;

typedef enum {
  FT_MACHINE_BOOTING, /* launched, not heard from */
  FT_MACHINE_UP,
  FT_MACHINE_SILENT,      /* was heard, now is not */
  FT_MACHINE_TERMINATING, /* gets no starts; the cloud is being told */
  FT_MACHINE_GONE,
} FtMachineState;

struct _FtMachine {
  FtScheduler *scheduler; /* borrowed */
  char *name, *addr, *zone, *type_name;
  FtZone *zone_view;         /* of the scheduler's zones */
  const FtMachineType *type; /* of the scheduler's catalog; NULL if not in it */
  gboolean spot;
  FtMachineState state; /* changed by ft_machine_set_state() only */
  guint64 incarnation, sequence;
  guint64 expired_incarnation; /* incarnations up to here are over */
  gboolean acknowledged_token; /* it has shown our token: a heartbeat with a lower one is a late copy */
  guint64 answered;            /* highest sequence of this incarnation that we have answered */
  guint unacknowledged;        /* newer heartbeats in a row that show nothing of our answers */
  gint64 not_receiving_since;  /* 0: it hears us, for all we know */
  gint64 launched_at, last_status_at, last_answer, idle_since;
  gint64 last_heartbeat_at; /* its last heartbeat of its own, not the answer to a command of ours */
  gint64 notice_until;      /* 0: none */
  gint64 probe_at;
  guint probe_fails;             /* direct requests without answer since the last heartbeat */
  gint64 terminate_at;           /* earliest next try of a return */
  gboolean counted_unreconciled; /* among the scheduler's unreconciled ones */
  gboolean reconciled;           /* heard under our token, or certainly empty; ft_machine_set_reconciled() sets it */
  FtRegistryRow *row;            /* the registry row that names it; NULL: none yet */
  FtRegistryRow *split_row;      /* a stored row that names it until `row` is stored; NULL: none */
  gboolean registered;           /* that row is committed */
  gboolean direct_queued, probe_queued;
  gboolean drained; /* by an operator */
  gboolean quarantined;
  gboolean listed_running;
  gboolean command_in_flight, terminate_in_flight;
  gboolean in_doubt;            /* a direct start of this incarnation got no answer */
  guint faults;                 /* failures in a row that count against it; see fault.h */
  guint64 last_failed;          /* revision of the job that failed here last */
  double cpus, gpus, memory_gb; /* taken by attempts not known to be over */
  GHashTable *attempts;         /* set of FtAttempt, owned */
  GHashTable *images;           /* names known to be cached */
};

FtMachine *ft_machine_new (FtScheduler *scheduler, const char *name, const char *addr, const char *type,
                           const char *zone, gboolean spot);
void ft_machine_free (FtMachine *machine);
gboolean ft_machine_set_state (FtMachine *machine, FtMachineState to);
const char *ft_machine_state_name (FtMachineState state);
gboolean ft_machine_usable (const FtScheduler *scheduler, const FtMachine *machine);
void ft_machine_set_reconciled (FtMachine *machine);
/* The machine may want a direct request. */
void ft_machine_queue_direct (FtMachine *machine);
void ft_machine_queue_probe (FtMachine *machine);
guint ft_machine_room (const FtMachine *machine, const FtJobSpec *spec);
gboolean ft_machine_not_receiving (const FtMachine *machine);
gboolean ft_machine_not_reporting (const FtScheduler *scheduler, const FtMachine *machine);
/* How long a worker keeps its tasks after its last answered report, at most; and how long
 * nothing comes from a machine until it counts as silent. */
gint64 ft_machine_lease_us (const FtScheduler *scheduler);
gint64 ft_machine_silence_us (const FtScheduler *scheduler);
/* After how long without one a machine's report is overdue. */
gint64 ft_machine_overdue_us (const FtScheduler *scheduler);
/* Since when it could have reported to us, and has not. */
gint64 ft_machine_no_heartbeat_since (const FtScheduler *scheduler, const FtMachine *machine);
gboolean ft_machine_idle (const FtMachine *machine);
gboolean ft_machine_allowed (const FtMachine *machine, const FtJobSpec *spec);
FtAttempt *ft_machine_attempt (const FtMachine *machine, const char *ref, guint index, guint64 id);
void ft_machine_end_incarnation (FtScheduler *scheduler, FtMachine *machine);
void ft_machine_gone (FtScheduler *scheduler, FtMachine *machine, const char *why);
