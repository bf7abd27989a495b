/* Types shared by the modules of the core and by the layers round it.
 * Standard terms only: machine, token, incarnation, sequence, team, attempt. */
#pragma once
#include <glib.h>

typedef enum { FT_PRIORITY_LOW, FT_PRIORITY_NORMAL, FT_PRIORITY_HIGH, FT_PRIORITY_PRODUCTION } FtPriority;

/* Arrays are independent tasks; a gang runs whole or not at all; a service runs
 * whole until it is cancelled. */
typedef enum { FT_KIND_ARRAY, FT_KIND_GANG, FT_KIND_SERVICE } FtJobKind;

/* How a job ended; final. */
typedef enum { FT_JOB_END_DONE, FT_JOB_END_CANCELLED } FtJobEnd;

typedef struct {
  char *name;
  double cpus, cpus_max; /* guaranteed and at most; 0: none */
  double gpus, gpus_max;
} FtTeamLimit;

/* The most that a team may use; 0 in the settings means that there is no limit. */
double ft_team_limit (double most);

/* What the core needs of the settings file. Owned by the configuration. */
typedef struct {
  char *member;
  FtTeamLimit *teams;
  guint n_teams;
  double heartbeat_s, lease_s, cancel_s; /* workers */
  double list_lag_s, cloud_rps;          /* cloud */
  /* Limits of the state service: the lower of those in force and of those announced for later. */
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

/* The catalog: reference counted, immutable. */
typedef struct {
  GPtrArray *types; /* FtMachineType, owned */
  int refs;
} FtCatalog;

FtCatalog *ft_catalog_new (void);
FtCatalog *ft_catalog_ref (FtCatalog *catalog);
void ft_catalog_unref (FtCatalog *catalog);
const FtMachineType *ft_catalog_find (const FtCatalog *catalog, const char *name);
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
  /* The mark: no task from here on has ever been sent to a machine. Raised by the
   * leader, and committed before it sends one. */
  guint dispatch_watermark;
} FtJobSpec;

void ft_job_spec_free (FtJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtJobSpec, ft_job_spec_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtCatalog, ft_catalog_unref)

typedef enum {
  FT_TASK_PHASE_FETCHING,
  FT_TASK_PHASE_WAITING, /* has its image, waits for the rest of its gang */
  FT_TASK_PHASE_RUNNING,
  FT_TASK_PHASE_CHECKPOINTING,
  FT_TASK_PHASE_EXITED,
} FtTaskPhase;

typedef enum {
  FT_EXIT_NONE,
  FT_EXIT_DONE,
  FT_EXIT_STOPPED,
  FT_EXIT_ERROR,
  FT_EXIT_NO_ROOM,
  FT_EXIT_BUSY,
  FT_EXIT_UNKNOWN,
  FT_EXIT_PEERS, /* another task of its gang ended */
  FT_EXIT_ALONE, /* its gang did not come together in time */
} FtExitReason;

typedef struct {
  char *job; /* job's ref */
  guint index;
  guint64 attempt;
  FtTaskPhase state;
  FtExitReason exit_reason;
  gboolean saved;
} FtTaskStatus;

typedef struct {
  char *machine, *addr, *type, *zone;
  gboolean spot;
  guint64 incarnation, sequence, token;
  double notice_s; /* negative: none */
  GArray *tasks;   /* FtTaskStatus */
} FtWorkerHeartbeat;

FtWorkerHeartbeat *ft_worker_heartbeat_new (void);
void ft_worker_heartbeat_free (FtWorkerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtWorkerHeartbeat, ft_worker_heartbeat_free)

typedef enum { FT_COMMAND_START, FT_COMMAND_STOP, FT_COMMAND_FORGET } FtCommandOp;

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

typedef struct {
  char *name, *addr, *type, *zone;
  gboolean spot;
  FtListedState state;
  double age_s;
} FtListedMachine;

GArray *ft_listed_new (void);
