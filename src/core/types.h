/* Types shared by the modules of the core and by the layers around it (wire formats, node, tests):
 * settings, the cloud's catalog, submitted jobs, worker heartbeats and commands. They are plain records
 * without behaviour. Whoever holds a record owns it, unless a comment says otherwise. */
#pragma once
#include <glib.h>

typedef enum { FT_PRIORITY_LOW, FT_PRIORITY_NORMAL, FT_PRIORITY_HIGH, FT_PRIORITY_PRODUCTION } FtPriority;

typedef enum {
  FT_KIND_ARRAY,   /* its tasks are independent of each other */
  FT_KIND_GANG,    /* either all of its tasks run, or none */
  FT_KIND_SERVICE, /* all of its tasks run until the job is cancelled */
} FtJobKind;

/* How a job ended. An end is final. */
typedef enum { FT_JOB_END_DONE, FT_JOB_END_CANCELLED } FtJobEnd;

/* What a team may use of the fleet: its guaranteed share and its limit. */
typedef struct {
  char *name;
  double cpus;     /* CPUs that the team is guaranteed; 0: none */
  double cpus_max; /* most CPUs that the team may use; 0: unlimited */
  double gpus;     /* GPUs that the team is guaranteed; 0: none */
  double gpus_max; /* most GPUs that the team may use; 0: unlimited */
} FtTeamLimit;

/* Returns a team's maximum, `cpus_max` or `gpus_max`, as a number to compare with: G_MAXDOUBLE if it is
 * unlimited. */
double ft_team_limit (double maximum);

/* The part of the settings file that the core needs. Owned by the configuration. */
typedef struct {
  char *member;       /* this controller's name */
  FtTeamLimit *teams; /* the teams; an array of `n_teams` entries, owned */
  guint n_teams;
  double heartbeat_s; /* seconds between two heartbeats of a worker */
  double lease_s;     /* a worker's lease: seconds for which its tasks run on after its last answered heartbeat */
  double cancel_s;    /* seconds within which the tasks of a cancelled job must have stopped */
  double list_lag_s;  /* seconds by which the cloud's machine list may lag behind; the core does not use it */
  double cloud_rps;   /* requests per second that the cloud accepts */
  /* Each limit of the key-value store is the lower of the value in force and the value announced for later. */
  double store_rps;       /* requests per second that the store accepts */
  double store_write_rps; /* changes per second that the store accepts */
  double value_kb;        /* largest value of a row in the store, in KiB */
  guint txn_ops;          /* most changes in one transaction of the store */
  guint size;             /* number of controllers */
} FtSettings;

/* A machine type in the cloud's catalog. */
typedef struct {
  char *name;
  double cpus;           /* CPUs of a machine */
  double gpus;           /* GPUs of a machine */
  double memory_gb;      /* memory of a machine, in GB */
  double cache_gb;       /* size of a machine's image cache, in GB */
  double fetch_gb_per_s; /* rate at which a machine fetches images, in GB per second */
  double price;          /* price per hour of an ordinary machine */
  double spot_price;     /* price per hour of a spot machine */
  double boot_s;         /* seconds from the launch to the first heartbeat */
  GStrv zones;           /* zones that offer the type */
} FtMachineType;

/* The cloud's machine types. Reference counted, and immutable once it is filled. */
typedef struct {
  GPtrArray *types; /* FtMachineType, owned */
  int refs;
} FtCatalog;

/* Returns an empty catalog with one reference. */
FtCatalog *ft_catalog_new (void);
/* Adds a reference; returns the catalog. */
FtCatalog *ft_catalog_ref (FtCatalog *catalog);
/* Drops a reference and frees the catalog with the last one; NULL is ignored. */
void ft_catalog_unref (FtCatalog *catalog);
/* Returns the machine type of that name, borrowed; NULL if the catalog does not have it or is itself NULL. */
const FtMachineType *ft_catalog_find (const FtCatalog *catalog, const char *name);
/* Frees a machine type; called by its catalog. */
void ft_machine_type_free (FtMachineType *type);

/* A job as the user submitted it. Owned by whoever holds the pointer. */
typedef struct {
  char *ref;       /* the job's unique name, chosen by the user */
  char *job_class; /* class by which service objectives are counted */
  char *team;
  FtJobKind kind;
  FtPriority priority;
  guint tasks;                  /* number of tasks */
  double cpus;                  /* CPUs of each task */
  double gpus;                  /* GPUs of each task */
  double memory_gb;             /* memory of each task, in GB */
  char *image;                  /* container image of the tasks */
  double image_gb;              /* size of the image, in GB */
  GStrv types;                  /* allowed machine types; NULL: any */
  char *zone;                   /* required zone; NULL: any */
  gboolean one_zone;            /* all tasks must run in the same zone */
  gboolean spread;              /* at most half of the tasks, rounded up, may run in the same zone */
  gboolean spot;                /* the tasks may run on spot machines */
  double estimate_s;            /* expected run time of a task, in seconds */
  double checkpoint_interval_s; /* seconds between two checkpoints of a task; 0: it takes none */
  double checkpoint_duration_s; /* seconds that a task needs to write a checkpoint */
  double deadline_s;            /* seconds from the submission to the deadline; 0: no deadline */
  gint64 submitted_wall_ms;     /* time of day at which the job was accepted, in milliseconds */
  GStrv dependencies;           /* refs of the jobs that must be done before this one starts; NULL: none */
  guint dispatch_watermark;     /* no task with this index or a higher one has ever been sent to a machine; the leader
                                   commits a raised watermark before it sends a task below it */
} FtJobSpec;

/* Frees a job spec; NULL is ignored. */
void ft_job_spec_free (FtJobSpec *spec);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtJobSpec, ft_job_spec_free)
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtCatalog, ft_catalog_unref)

/* The progress of a task on its worker. */
typedef enum {
  FT_TASK_PHASE_FETCHING, /* the worker fetches the task's image */
  FT_TASK_PHASE_WAITING,  /* the image is there; the task waits for the other tasks of its gang */
  FT_TASK_PHASE_RUNNING,
  FT_TASK_PHASE_CHECKPOINTING, /* the task writes a checkpoint */
  FT_TASK_PHASE_EXITED,
} FtTaskPhase;

/* Why an attempt of a task exited, as its worker reports it. */
typedef enum {
  FT_EXIT_NONE,            /* the attempt has not exited */
  FT_EXIT_DONE,            /* the task completed */
  FT_EXIT_STOPPED,         /* the leader had the attempt stopped */
  FT_EXIT_ERROR,           /* the task failed */
  FT_EXIT_NO_ROOM,         /* the worker has too few resources left for the task */
  FT_EXIT_BUSY,            /* another attempt of the task still runs on the worker */
  FT_EXIT_UNKNOWN,         /* protocol: "no_such"; counts as a failure of the task, but not against its machine */
  FT_EXIT_GANG_TASK_ENDED, /* another task of its gang ended */
  FT_EXIT_GANG_INCOMPLETE, /* its gang did not assemble in time */
} FtExitReason;

/* The status of one attempt in a worker heartbeat. */
typedef struct {
  char *job;       /* the job's ref */
  guint index;     /* index of the task within its job */
  guint64 attempt; /* number of the attempt */
  FtTaskPhase state;
  FtExitReason exit_reason; /* FT_EXIT_NONE unless `state` is FT_TASK_PHASE_EXITED */
  gboolean saved;           /* unused: no module sets or reads it */
} FtTaskStatus;

/* The status of a machine, as its worker reports it in a heartbeat or in the answer to a direct request. */
typedef struct {
  char *machine; /* name of the machine */
  char *addr;    /* address at which the worker accepts direct requests */
  char *type;    /* name of the machine type */
  char *zone;
  gboolean spot;       /* the machine is a spot instance */
  guint64 incarnation; /* incarnation of the worker's agent; only rises */
  guint64 sequence;    /* number of the status within the incarnation */
  guint64 token;       /* the highest fencing token that the worker has seen */
  double notice_s;     /* seconds until the cloud takes the spot instance away; negative: no interruption notice */
  GArray *tasks;       /* FtTaskStatus, owned: the worker's task list */
} FtWorkerHeartbeat;

/* What becomes of a worker's heartbeat. */
typedef enum {
  FT_HEARTBEAT_SUPERSEDED,          /* it shows a higher token than this leader's: the leader must step down */
  FT_HEARTBEAT_APPLIED,             /* its status has been applied */
  FT_HEARTBEAT_OLDER,               /* a newer status of its incarnation has been applied */
  FT_HEARTBEAT_FORMER_INCARNATION,  /* a later incarnation of its worker has reported */
  FT_HEARTBEAT_EXPIRED_INCARNATION, /* its incarnation has ended, or its worker lease has run out */
  FT_HEARTBEAT_FORMER_TOKEN,        /* its worker has shown a higher token of this leader before */
  FT_HEARTBEAT_MACHINE_GONE,        /* its machine has been returned or has failed */
  FT_HEARTBEAT_NOT_LOADED,          /* this leader has not read the registry yet */
} FtHeartbeatOutcome;

/* Returns an empty heartbeat without an interruption notice. */
FtWorkerHeartbeat *ft_worker_heartbeat_new (void);
/* Frees a heartbeat with its task list; NULL is ignored. */
void ft_worker_heartbeat_free (FtWorkerHeartbeat *heartbeat);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtWorkerHeartbeat, ft_worker_heartbeat_free)

typedef enum {
  FT_COMMAND_START,  /* starts the attempt */
  FT_COMMAND_STOP,   /* stops the attempt within the grace period of the command */
  FT_COMMAND_FORGET, /* removes an exited attempt from the worker's task list */
} FtCommandOp;

/* A command to a worker that concerns one attempt. */
typedef struct {
  FtCommandOp op;
  char *job;       /* the job's ref */
  guint index;     /* index of the task within its job */
  guint64 attempt; /* number of the attempt */
  double grace_s;  /* seconds that a stopped attempt has to write a checkpoint */
} FtCommand;

/* Returns a new array of FtCommand that frees its elements. */
GArray *ft_commands_new (void);

/* The state of a machine in the cloud's machine list. */
typedef enum { FT_LISTED_BOOTING, FT_LISTED_RUNNING, FT_LISTED_FAILED } FtListedState;

/* A machine in the cloud's machine list, or in a row of the machine registry, which has no state and no age. */
typedef struct {
  char *name;
  char *addr; /* address of its worker */
  char *type; /* name of the machine type */
  char *zone;
  gboolean spot; /* the machine is a spot instance */
  FtListedState state;
  double age_s; /* seconds since the machine was launched */
} FtListedMachine;

/* Returns a new array of FtListedMachine that frees its elements. */
GArray *ft_listed_new (void);
