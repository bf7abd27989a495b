/* Types shared by the modules of the core and by the layers around it (wire formats, node, tests):
 * settings, the cloud's catalog, submitted jobs, worker heartbeats and commands. Plain records without
 * behaviour; whoever holds one owns it, unless a comment says otherwise. */
#pragma once
#include <glib.h>

typedef enum { FT_PRIORITY_LOW, FT_PRIORITY_NORMAL, FT_PRIORITY_HIGH, FT_PRIORITY_PRODUCTION } FtPriority;

/* Arrays are independent tasks; a gang runs with all of its tasks or not at all; a service runs with
 * all of its tasks until it is cancelled. */
typedef enum { FT_KIND_ARRAY, FT_KIND_GANG, FT_KIND_SERVICE } FtJobKind;

/* How a job ended; final. */
typedef enum { FT_JOB_END_DONE, FT_JOB_END_CANCELLED } FtJobEnd;

typedef struct {
  char *name;
  double cpus, cpus_max; /* guaranteed and at most; 0: none */
  double gpus, gpus_max;
} FtTeamLimit;

/* The most that a team may use, of a limit in the settings: there 0 means that there is none. */
double ft_team_limit (double most);

/* What the core needs of the settings file. Owned by the configuration. */
typedef struct {
  char *member;
  FtTeamLimit *teams;
  guint n_teams;
  double heartbeat_s, lease_s, cancel_s; /* workers */
  double list_lag_s, cloud_rps;          /* cloud */
  /* Limits of the key-value store: the lower of those in force and of those announced for later. */
  double store_rps, store_write_rps;
  double value_kb; /* largest value of a row */
  guint txn_ops;   /* most changes of a transaction */
  guint size;      /* number of controllers */
} FtSettings;

/* A machine type of the cloud's catalog. */
typedef struct {
  char *name;
  double cpus, gpus, memory_gb;
  double cache_gb, fetch_gb_per_s;
  double price, spot_price; /* an hour */
  double boot_s;
  GStrv zones;
} FtMachineType;

/* The cloud's machine types: reference counted, immutable once it is filled. */
typedef struct {
  GPtrArray *types; /* FtMachineType, owned */
  int refs;
} FtCatalog;

/* An empty catalog, with one reference. */
FtCatalog *ft_catalog_new (void);
/* Adds a reference; returns the catalog. */
FtCatalog *ft_catalog_ref (FtCatalog *catalog);
/* Drops a reference, with the last one the catalog; NULL is ignored. */
void ft_catalog_unref (FtCatalog *catalog);
/* The type of that name; borrowed. NULL: not in the catalog, which may itself be NULL. */
const FtMachineType *ft_catalog_find (const FtCatalog *catalog, const char *name);
/* Frees a machine type; called by its catalog. */
void ft_machine_type_free (FtMachineType *type);

/* A job as it was submitted. Owned by whoever holds the pointer. */
typedef struct {
  char *ref;
  char *job_class;
  char *team;
  FtJobKind kind;
  FtPriority priority;
  guint tasks;
  double cpus, gpus, memory_gb;
  char *image;
  double image_gb;
  GStrv types; /* NULL: any */
  char *zone;  /* NULL: any */
  gboolean one_zone, spread, spot;
  double estimate_s, checkpoint_s, save_s;
  double deadline_s;        /* from the submission; 0: none */
  gint64 submitted_wall_ms; /* wall time of the acceptance */
  GStrv dependencies;       /* refs of the jobs that must be done before it; NULL: none */
  /* No task index from here on was ever sent to a machine. Raised by the leader, which commits the
   * raised watermark before it sends such a task. */
  guint dispatch_watermark;
} FtJobSpec;

/* Frees a spec. */
void ft_job_spec_free (FtJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtJobSpec, ft_job_spec_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtCatalog, ft_catalog_unref)

/* How far a worker is with a task. */
typedef enum {
  FT_TASK_PHASE_FETCHING,
  FT_TASK_PHASE_WAITING, /* has fetched its image, waits for the rest of its gang */
  FT_TASK_PHASE_RUNNING,
  FT_TASK_PHASE_CHECKPOINTING,
  FT_TASK_PHASE_EXITED,
} FtTaskPhase;

/* Why a task exited. */
typedef enum {
  FT_EXIT_NONE,
  FT_EXIT_DONE,
  FT_EXIT_STOPPED,
  FT_EXIT_ERROR,
  FT_EXIT_NO_ROOM,
  FT_EXIT_BUSY,
  FT_EXIT_UNKNOWN,
  FT_EXIT_GANG_TASK_ENDED, /* another task of its gang ended */
  FT_EXIT_GANG_INCOMPLETE, /* its gang did not assemble in time */
} FtExitReason;

/* One attempt in a worker heartbeat. */
typedef struct {
  char *job; /* the job's ref */
  guint index;
  guint64 attempt;
  FtTaskPhase state;
  FtExitReason exit_reason;
  gboolean saved;
} FtTaskStatus;

/* What a worker reports of its machine, by itself or in answer to a direct request. */
typedef struct {
  char *machine, *addr, *type, *zone;
  gboolean spot;
  guint64 incarnation; /* of the agent; only rises */
  guint64 sequence;    /* within the incarnation */
  guint64 token;       /* the highest fencing token that the worker has seen */
  double notice_s;     /* until the spot instance is taken away; negative: no notice */
  GArray *tasks;       /* FtTaskStatus */
} FtWorkerHeartbeat;

/* An empty heartbeat without a notice. */
FtWorkerHeartbeat *ft_worker_heartbeat_new (void);
/* Frees a heartbeat with its tasks. */
void ft_worker_heartbeat_free (FtWorkerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtWorkerHeartbeat, ft_worker_heartbeat_free)

typedef enum { FT_COMMAND_START, FT_COMMAND_STOP, FT_COMMAND_FORGET } FtCommandOp;

/* What a worker is to do with an attempt. */
typedef struct {
  FtCommandOp op;
  char *job;
  guint index;
  guint64 attempt;
  double grace_s;
} FtCommand;

/* A new array of FtCommand that frees its elements. */
GArray *ft_commands_new (void);

typedef enum { FT_LISTED_BOOTING, FT_LISTED_RUNNING, FT_LISTED_FAILED } FtListedState;

/* A machine in the cloud's list, or in a row of the machine registry (then without state and age). */
typedef struct {
  char *name, *addr, *type, *zone;
  gboolean spot;
  FtListedState state;
  double age_s;
} FtListedMachine;

/* A new array of FtListedMachine that frees its elements. */
GArray *ft_listed_new (void);
