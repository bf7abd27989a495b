/* The core's own data model, for the core's modules only. Everything here
 * belongs to one FtScheduler and dies with it, that is with the leadership. */
#pragma once
#include "core/constants.h"
#include "core/dependency.h"
#include "core/recent_map.h"
#include "core/scheduler.h"
#include "core/spot_risk.h"
#include "core/tuning.h"
#include "core/types.h"
#include "core/zone.h"

typedef struct _FtJob FtJob;
typedef struct _FtTeam FtTeam;
typedef struct _FtMachine FtMachine;
typedef struct _FtAttempt FtAttempt;
typedef struct _FtRegistryRow FtRegistryRow;

typedef enum {
  FT_TASK_UNKNOWN,  /* after a takeover: may be on a machine not yet heard from */
  FT_TASK_QUEUED,   /* on no machine */
  FT_TASK_STARTING, /* bound; the start is decided, no heartbeat shows it yet */
  FT_TASK_FETCHING,
  FT_TASK_RUNNING,
  FT_TASK_CHECKPOINTING,
  FT_TASK_FINISHED,  /* reported done, not committed yet */
  FT_TASK_DONE,      /* done and committed */
  FT_TASK_CANCELLED, /* its job was cancelled and it is on no machine */
} FtTaskState;

typedef struct {
  guint8 state; /* FtTaskState; changed by ft_task_set_state() only */
  guint8 fails;
  gint64 not_before;
  FtAttempt *attempt; /* the binding, owned by its machine; NULL when unbound */
  FtMachine *avoid;   /* where it failed last; compared only */
} FtTask;

typedef enum {
  FT_JOB_WAITING, /* for jobs that it needs: nothing of it is placed, and it counts nowhere */
  FT_JOB_OPEN,
  FT_JOB_CANCELLING, /* tasks are being stopped */
  FT_JOB_ENDED,      /* final state committed; about to be freed */
} FtJobState;

struct _FtJob {
  FtScheduler *scheduler; /* borrowed; NULL in tests of the job alone */
  FtJobSpec *spec;
  FtJobState state;
  guint64 revision; /* revision of the job's row while it is open */
  FtTeam *team;
  FtTask *tasks;
  guint counts[FT_TASK_CANCELLED + 1];
  guint scan_from;          /* no queued task has a lower index */
  GHashTable *written;      /* chunks of the done-set that are in the store */
  GHashTable *dirty_chunks; /* chunks with finished, uncommitted tasks */
  GHashTable *attempts;     /* set of FtAttempt of this job, borrowed */
  gboolean write_queued;    /* waits in the scheduler's queue of jobs to write */
  guint wanted_watermark;   /* the dispatch watermark (spec->dispatch_watermark) that placed tasks need */
  gboolean watermark_in_flight;
  gint64 chunk_at; /* earliest next write of a chunk */
  gboolean final_in_flight, conflicted;
  gint64 accepted_at;
  gint64 ready_at;               /* from when it could be placed: accepted, and all that it needs done */
  gint64 deadline_at;            /* its own, or the earliest of those that need it; 0: none */
  FtPriority priority;           /* its own, or the highest of those that need it */
  gboolean dependency_cancelled; /* a job that it needs is cancelled, and so it will be */
  gint64 cancelled_at;           /* when its cancellation was committed, for all we know */
  gboolean cancellation_read;    /* from its row, not from a hint */
  gboolean guaranteed, too_late;
  gboolean begun;   /* a task of it has been placed, or was found done or on a machine */
  gboolean starved; /* it has waited to begin for as long as any may */
  const FtMachine *failed_on[FT_MISTAKEN_MACHINES]; /* different machines, the first few; compared only */
  guint n_failed_on;
  gint64 failed_after; /* longest run of a task that failed */
  gint64 not_before;
  gint64 no_room_pass; /* pass in which no machine had room */
};

struct _FtTeam {
  const FtTeamLimit *limit; /* borrowed */
  double cpus, gpus;        /* bound on machines */
  double unknown_cpus, unknown_gpus;
};

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

struct _FtAttempt {
  guint64 id;
  FtJob *job; /* NULL: the job is not open (any more) */
  char *job_ref;
  guint index;
  FtMachine *machine;
  guint64 incarnation;
  gboolean bound;    /* task->attempt is this */
  gboolean reserved; /* counted in the machine's and the team's use */
  FtTeam *team;
  double cpus, gpus, memory_gb;
  gboolean shown, listed, exited, running, has_image;
  gboolean stop_wanted, stop_sent, forget_ok;
  double grace_s;
  guint64 sent_sequence; /* report whose answer carried the start; 0: none */
  gboolean by_direct;    /* a direct start was sent; a copy of it may come late */
  gint64 exited_at;
  gboolean done;              /* exited with a result, which its worker keeps */
  gboolean direct_in_flight;  /* a direct start is on its way */
  gboolean direct_unanswered; /* a direct start may still be executed, late */
  gint64 placed_at, running_at, placed_pass;
};

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

struct _FtScheduler {
  const FtSettings *settings;
  FtCatalog *catalog;
  guint64 token;
  gint64 now, took_over_at, answer_grace_us;
  gint64 loaded_at; /* when the rows were read */
  GRand *random;
  guint64 next_attempt, next_booking;
  FtTuning tuning;
  GHashTable *drained; /* names drained by operators */
  gboolean loaded, recovered, may_start, placement_due;
  gint64 pass;
  FtTeam *teams;
  GHashTable *jobs;                /* ref -> FtJob, owned */
  FtRecentMap *ended_jobs;         /* jobs whose end this leader has committed or read: ref -> FtJobEnd */
  FtDependencyGraph *dependencies; /* of the open jobs */
  GHashTable *machines;            /* name -> FtMachine, owned */
  GHashTable *zones;               /* name -> FtZone, owned */
  GHashTable *gone;                /* names returned or failed */
  GHashTable *pools;               /* "type/zone/kind" -> FtPool, owned */
  GPtrArray *order;                /* open jobs in order of placement, as of the last pass */
  GPtrArray *waiting;              /* those of them that had tasks to place */
  gint64 next_pass, next_preempt;
  GPtrArray *victims;  /* scratch of a pass: FtAttempt that may be stopped, youngest first; NULL: not made */
  guint stops_pending; /* with `victims`: stops under way */
  guint looked_at;     /* machines and jobs looked at so far: what bounds of work are tested on */
  GQueue pending_jobs; /* FtJob that may have something to write */
  GQueue directs;      /* FtMachine that may want a direct request */
  GQueue probes;       /* FtMachine to be asked whether they are there */
  guint probes_in_flight;
  gint64 last_heard;                /* report under our token: proof that workers hear us */
  gint64 last_tick, on_time_since;  /* silence before the latter proves nothing: we were late ourselves */
  gint64 answering_since;           /* until then reports went unanswered */
  gint64 cloud_answered_at;         /* 0: never */
  gint64 cancellations_known_until; /* all cancellations before that time are known */
  GQueue terminating;               /* FtMachine to be terminated */
  GHashTable *rows;                 /* id -> FtRegistryRow, owned */
  guint value_divisor;              /* what refusals have lowered the largest value by */
  gboolean wrote_registry;          /* the last batch had registry rows in it */
  GQueue pending_rows;              /* FtRegistryRow */
  FtRegistryRow *open_row;          /* the one that takes new machines */
  guint64 next_row;
  guint unreconciled; /* machines not reconciled, and what they can hold */
  double unreconciled_cpus, unreconciled_gpus;
  GQueue drain_deletions; /* names whose operators' marks go */
  GQueue chunk_deletions; /* FtWrite left over: chunk rows to delete */
  gint64 next_autoscale;
  FtSpotRisk spot_risk;
  gint64 spot_observed_at; /* up to when `spot_risk` counts machine-hours; 0: not begun */
  gint64 silent_window_at;
  guint silent_terminated;
  gint64 unseen_cancellation_us; /* age of the oldest cancellation of which tasks may run unseen; 0: none */
  gboolean store_unreachable;    /* so long without sight of cancellations that silent machines must go */
  guint open_tasks;
};

static inline gint64
ft_seconds (double seconds)
{
  return (gint64) (seconds * FT_SECOND);
}

/* task.c */
gboolean ft_task_set_state (FtJob *job, guint index, FtTaskState to);

/* job.c */
/* Open, or waiting if it names jobs that it needs; ft_job_set_state() opens it then. */
FtJob *ft_job_new (FtJobSpec *spec, FtTeam *team, guint64 revision, FtTaskState initial);
void ft_job_free (FtJob *job);
gboolean ft_job_set_state (FtJob *job, FtJobState to);
const char *ft_job_state_name (FtJobState state);
guint ft_job_live (const FtJob *job); /* tasks bound to machines */
guint ft_job_finished (const FtJob *job);
void ft_job_mark_chunk_dirty (FtJob *job, guint index);
guint ft_job_chunks (const FtJob *job);
char *ft_job_chunk_bits (const FtJob *job, guint chunk);
/* The tasks that such bits name: a new array of their indexes. */
GArray *ft_job_chunk_tasks (const FtJob *job, guint chunk, const char *bits);

/* journal.c */
FtWrite *ft_write_new (FtWriteKind kind, const char *name);

/* open_jobs.c: the jobs that are open, their life and what they wait for */
void ft_open_jobs_init (FtScheduler *scheduler);
void ft_open_jobs_clear (FtScheduler *scheduler);
/* Nothing of the job starts any more, and what runs is stopped; `at`: when its cancellation was committed. */
void ft_job_cancel (FtScheduler *scheduler, FtJob *job, gint64 at);
/* Its end is in the store: frees the job; what is left of it on machines is stopped. */
void ft_job_end (FtScheduler *scheduler, FtJob *job, FtJobEnd end);

/* worker_reports.c: what a heartbeat tells of its machine and of the attempts there.
 * `is_heartbeat`: it came by itself, not as the answer to a direct command. */
void ft_machine_apply_status (FtScheduler *scheduler, FtMachine *machine, const FtWorkerHeartbeat *heartbeat,
                              gboolean is_heartbeat);

/* commands.c */
/* Since when the machine is silent, for all we can tell. */
gint64 ft_machine_silent_since (const FtScheduler *scheduler, const FtMachine *machine);
/* The ordinary gap between two heartbeats is over: a probe tells whether the
 * machine or only the exchange is lost. */
gboolean ft_machine_heartbeat_overdue (const FtScheduler *scheduler, const FtMachine *machine);
gboolean ft_machine_wants_probe (const FtScheduler *scheduler, const FtMachine *machine);

/* machine.c */
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
/* The job may have something to write. */
void ft_job_queue_write (FtJob *job);
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
FtAttempt *ft_attempt_new (FtMachine *machine, FtJob *job, const char *ref, guint index, guint64 id);
void ft_attempt_reserve (FtAttempt *attempt);
void ft_attempt_release (FtAttempt *attempt);
void ft_attempt_bind (FtAttempt *attempt, FtTaskState state);
void ft_attempt_want_stop (FtAttempt *attempt, double grace_s);
/* The attempt is known to be over, without a result; frees it unless its exit is still listed. */
void ft_attempt_end (FtScheduler *scheduler, FtAttempt *attempt);
void ft_machine_end_incarnation (FtScheduler *scheduler, FtMachine *machine);
void ft_machine_gone (FtScheduler *scheduler, FtMachine *machine, const char *why);

/* quota.c */
FtTeam *ft_quota_team (FtScheduler *scheduler, const char *name);
gboolean ft_quota_allows (const FtScheduler *scheduler, const FtTeam *team, const FtJobSpec *spec);
guint ft_quota_count (const FtScheduler *scheduler, const FtTeam *team, const FtJobSpec *spec);
void ft_quota_mark_guaranteed (FtScheduler *scheduler);

/* placement.c */
void ft_placement_pass (FtScheduler *scheduler);
/* What one machine has room for again, without a pass over all. */
void ft_placement_fill (FtScheduler *scheduler, FtMachine *machine);
void ft_placement_forget (FtScheduler *scheduler, FtJob *job);

/* registry.c */
void ft_registry_row_free (FtRegistryRow *row);
void ft_registry_add (FtScheduler *scheduler, FtMachine *machine);
void ft_registry_remove (FtScheduler *scheduler, FtMachine *machine);
/* A row as read from the store names the machine; NULL: it names one that is gone. */
void ft_registry_loaded (FtScheduler *scheduler, const char *id, FtMachine *machine);
/* Rows that are due, as writes; `most` at a time. */
void ft_registry_writes (FtScheduler *scheduler, GPtrArray *writes, guint most);
void ft_registry_written (FtScheduler *scheduler, const FtWrite *write, gboolean applied);

/* preempt.c */
gboolean ft_preempt_for (FtScheduler *scheduler, FtJob *job);

/* recovery.c */
void ft_recovery_tick (FtScheduler *scheduler);
void ft_recovery_recount (FtScheduler *scheduler);
void ft_recovery_uncount (FtMachine *machine);
void ft_recovery_unreconciled (const FtScheduler *scheduler, double *cpus, double *gpus);
