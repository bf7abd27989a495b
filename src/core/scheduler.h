/* The leader's scheduler: events with time in, actions out. No I/O.
 *
 * One scheduler lives as long as one leadership; it is dropped, with all that
 * is unsaved, when the lease is refused or a higher token is seen. Times are
 * microseconds of the steady clock; walls are milliseconds of the time of day.
 * Strings and arrays passed in stay the caller's unless said otherwise. */
#pragma once
#include "core/tuning.h"
#include "core/types.h"
#include "core/write.h"

typedef struct _FtScheduler FtScheduler;

FtScheduler *ft_scheduler_new (const FtSettings *settings, FtCatalog *catalog, guint64 token, gint64 answer_grace_us,
                               gint64 now, guint32 seed);
void ft_scheduler_free (FtScheduler *scheduler);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtScheduler, ft_scheduler_free)

/* Operators' settings; copied. */
void ft_scheduler_set_tuning (FtScheduler *scheduler, const FtTuning *tuning);

/* ---- recovery: rows of the store, then loaded ---- */
/* Takes the spec. */
void ft_scheduler_load_job (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms);
void ft_scheduler_load_done (FtScheduler *scheduler, const char *ref, guint chunk, const char *bits);
/* A machine named by the registry row `row`. */
void ft_scheduler_load_machine (FtScheduler *scheduler, const char *row, const char *name, const char *addr,
                                const char *type, const char *zone, gboolean spot);
void ft_scheduler_loaded (FtScheduler *scheduler, gint64 now);
gboolean ft_scheduler_is_loaded (const FtScheduler *scheduler);

/* ---- jobs ---- */
/* A job accepted after the takeover. Takes the spec. */
void ft_scheduler_job_added (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms);
/* Its row was read. `age_us`: how long ago it was committed. */
void ft_scheduler_job_cancelled (FtScheduler *scheduler, const char *ref, gint64 age_us, gint64 now);
/* A job that others wait for and of which nothing is known: its row is to be read, and its end,
 * if it has one, to be told. Borrowed until the next call; NULL: none now. */
const char *ft_scheduler_next_unread_job (FtScheduler *scheduler, gint64 now);
/* `age_us`: how long ago it ended; negative: not known. */
void ft_scheduler_job_end_read (FtScheduler *scheduler, const char *ref, FtJobEnd end, gint64 age_us, gint64 now);
void ft_scheduler_set_catalog (FtScheduler *scheduler, FtCatalog *catalog);

typedef struct {
  gboolean known, cancelled;
  guint done, running;
} FtJobProgress;
FtJobProgress ft_scheduler_view (const FtScheduler *scheduler, const char *ref);

/* ---- workers ---- */
/* A heartbeat to us. The answer carries ft_scheduler_answer()'s commands. Returns
 * FALSE if the heartbeat shows a higher token: the caller must step down. */
gboolean ft_scheduler_heartbeat (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now);
/* Whether the lease is valid now; kept until the next such call, place or tick. */
void ft_scheduler_allow (FtScheduler *scheduler, gboolean may_start);
/* The commands for the answer to this report. `starts`: the lease allows it. */
GArray *ft_scheduler_answer (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now);

/* A direct request to one machine. Probes have no commands. */
typedef struct {
  char *machine, *addr;
  guint64 incarnation;
  GArray *commands; /* FtCommand */
} FtDirect;
void ft_direct_free (FtDirect *direct);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtDirect, ft_direct_free)
/* The next request to send, or NULL. */
FtDirect *ft_scheduler_next_direct (FtScheduler *scheduler, gint64 now);
typedef enum { FT_DIRECT_OK, FT_DIRECT_CONFLICT, FT_DIRECT_UNANSWERED } FtDirectResult;
/* `report` may be NULL. Returns FALSE if a higher token was seen. */
gboolean ft_scheduler_direct_done (FtScheduler *scheduler, const FtDirect *direct, FtDirectResult result,
                                   const FtWorkerHeartbeat *heartbeat, gint64 now);

/* ---- cloud ---- */
void ft_scheduler_listed (FtScheduler *scheduler, GArray *list, gint64 now);
typedef enum { FT_CLOUD_SCALE_OUT, FT_CLOUD_SCALE_IN } FtCloudOp;
typedef struct {
  FtCloudOp op;
  char *booking, *type, *zone;
  gboolean spot;
  guint count;
  GPtrArray *names; /* to return, or launched */
} FtCloudCall;
void ft_cloud_call_free (FtCloudCall *call);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtCloudCall, ft_cloud_call_free)
FtCloudCall *ft_scheduler_next_cloud (FtScheduler *scheduler, gint64 now);
typedef enum { FT_CLOUD_OK, FT_CLOUD_REFUSED, FT_CLOUD_FAILED } FtCloudResult;
/* For a launch that went through, `call->names` are the machines. A call that
 * failed is to be repeated by the caller of ft_scheduler_next_cloud(). */
void ft_scheduler_cloud_done (FtScheduler *scheduler, const FtCloudCall *call, FtCloudResult result, gint64 now);

/* ---- store ---- */
/* Writes for one transaction of at most `ops` changes; empty if none is due. `spare`: the state
 * service takes more changes than are urgent, so that what can wait may go as well.
 * Each batch ends with one of the two calls below before the next is asked for. */
GPtrArray *ft_scheduler_next_writes (FtScheduler *scheduler, guint ops, gboolean spare, gint64 now);
void ft_scheduler_writes_committed (FtScheduler *scheduler, GPtrArray *writes, gint64 now);
/* `conflicted` names the job whose row has changed, or is NULL: try again. */
void ft_scheduler_writes_failed (FtScheduler *scheduler, GPtrArray *writes, const char *conflicted, gint64 now);
/* The state service has refused a batch as invalid: its values may be above a limit that has
 * changed. Rows of the registry are written at half the size from now on. */
void ft_scheduler_lower_value_limit (FtScheduler *scheduler);
/* What the row of a conflicted job says: final done, or cancelled. */
/* It says open, at this revision: neither done nor cancelled. */
void ft_scheduler_job_still_open (FtScheduler *scheduler, const char *ref, guint64 revision, gint64 now);
void ft_scheduler_job_conflict_resolved (FtScheduler *scheduler, const char *ref, gboolean done, gint64 now);

/* ---- time ---- */
/* `may_start`: the lease is valid now. Placement, timeouts, fleet. */
void ft_scheduler_tick (FtScheduler *scheduler, gint64 now, gboolean may_start);
/* Runs a placement pass if anything has changed and the last one is a while ago. */
void ft_scheduler_place (FtScheduler *scheduler, gint64 now, gboolean may_start);
/* Somebody says that the job is cancelled: its tasks are stopped. The job's rows stay
 * until the cancellation is read. */
void ft_scheduler_cancellation_advised (FtScheduler *scheduler, const char *ref, gint64 now);
/* All cancellations committed before `at` have been passed on. */
void ft_scheduler_cancellations_known (FtScheduler *scheduler, gint64 at);
/* This controller answers no heartbeats now: that none come proves nothing. */
void ft_scheduler_unanswering (FtScheduler *scheduler, gint64 now);
/* This controller is behind with its heartbeats: silence up to now proves nothing. */
void ft_scheduler_late (FtScheduler *scheduler, gint64 now);
/* When a worker last showed our token; 0: none has yet. */
gint64 ft_scheduler_last_heard (const FtScheduler *scheduler);
/* Machines, jobs and attempts looked at so far, in whatever is done for heartbeats. */
guint ft_scheduler_looked_at (const FtScheduler *scheduler);
guint ft_scheduler_open_tasks (const FtScheduler *scheduler);
/* Machines that should be reporting. */
guint ft_scheduler_up (const FtScheduler *scheduler);

/* ---- for operators and the peers ---- */
/* An open job as operators see it; all borrowed. */
typedef struct {
  const char *ref, *job_class, *state;
  guint tasks, done, running;
  const char *why_waiting; /* empty: nothing of it waits */
} FtJobInfo;
typedef void (*FtJobVisitor) (const FtJobInfo *job, gpointer data);
void ft_scheduler_each_job (FtScheduler *scheduler, FtJobVisitor visit, gpointer data);
/* The jobs that a job needs and that are not done, and those that need it: new. */
GStrv ft_scheduler_job_dependencies (const FtScheduler *scheduler, const char *ref);
GStrv ft_scheduler_job_dependents (const FtScheduler *scheduler, const char *ref);
/* Jobs that are known to be open, and of them those that wait for others. */
void ft_scheduler_count_jobs (const FtScheduler *scheduler, guint *open, guint *waiting);
typedef void (*FtMachineVisitor) (const char *name, const char *state, const char *type, const char *zone,
                                  gboolean spot, guint64 incarnation, guint tasks, const char *unused_why,
                                  gpointer data);
void ft_scheduler_each_machine (FtScheduler *scheduler, FtMachineVisitor visit, gpointer data);
typedef void (*FtTeamVisitor) (const FtTeamLimit *limit, double cpus, double gpus, gpointer data);
void ft_scheduler_each_team (FtScheduler *scheduler, FtTeamVisitor visit, gpointer data);
gboolean ft_scheduler_knows (const FtScheduler *scheduler, const char *machine);
/* Remembered by name, also for a machine not known yet. FALSE: not known now. */
gboolean ft_scheduler_drain (FtScheduler *scheduler, const char *machine, gboolean drain);
