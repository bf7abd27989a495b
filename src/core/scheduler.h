/* The leader's scheduler: events and their times in, actions out. No I/O.
 *
 * The facade of the core: it owns the core's modules, sets the time of each event and hands it to the
 * modules that it concerns. Called by the node (src/net), which does the I/O: it feeds in rows,
 * heartbeats and results, and requests the next write, direct request or cloud call.
 *
 * One scheduler lives as long as one leadership; it is dropped, with all that is not written, when
 * the lease is lost or a higher fencing token is seen. `now` is in microseconds of the steady clock,
 * `wall_ms` in milliseconds of the time of day. Strings and arrays passed in stay the caller's unless
 * said otherwise. */
#pragma once
#include "core/cloud_call.h"
#include "core/direct_command.h"
#include "core/tuning.h"
#include "core/types.h"
#include "core/write.h"

typedef struct _FtScheduler FtScheduler;

/* `settings` is borrowed. `token`: the fencing token of this leadership. `answer_grace_us`: see
 * ft_lease_new(). `seed`: of all random choices. */
FtScheduler *ft_scheduler_new (const FtSettings *settings, FtCatalog *catalog, guint64 token, gint64 answer_grace_us,
                               gint64 now, guint32 seed);
/* Frees it with all that is not written; NULL is ignored. */
void ft_scheduler_free (FtScheduler *scheduler);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtScheduler, ft_scheduler_free)

/* Operators' settings; copied. */
void ft_scheduler_set_tuning (FtScheduler *scheduler, const FtTuning *tuning);

/* ---- recovery: the rows of the store, then ft_scheduler_loaded() ---- */
/* An open job's row, at that revision. Takes the spec. */
void ft_scheduler_load_job (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms);
/* A chunk of a job's done-set; after the row of its job. */
void ft_scheduler_load_done (FtScheduler *scheduler, const char *ref, guint chunk, const char *bits);
/* A machine named by the registry row `row`. */
void ft_scheduler_load_machine (FtScheduler *scheduler, const char *row, const char *name, const char *addr,
                                const char *type, const char *zone, gboolean spot);
/* All rows have been read: heartbeats count and writes are due from here on. */
void ft_scheduler_loaded (FtScheduler *scheduler, gint64 now);
/* TRUE once ft_scheduler_loaded() has been called. */
gboolean ft_scheduler_is_loaded (const FtScheduler *scheduler);

/* ---- jobs ---- */
/* A job accepted after the failover. Takes the spec. */
void ft_scheduler_job_added (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms);
/* The row of the job's cancellation was read. `age_us`: how long ago it was committed. */
void ft_scheduler_job_cancelled (FtScheduler *scheduler, const char *ref, gint64 age_us, gint64 now);
/* A job that others depend on and of which nothing is known: its row is to be read, and its end, if it
 * has one, reported by ft_scheduler_job_end_read(). Borrowed until the next call; NULL: none now. */
const char *ft_scheduler_next_unread_job (FtScheduler *scheduler, gint64 now);
/* `age_us`: how long ago it ended; negative: not known. */
void ft_scheduler_job_end_read (FtScheduler *scheduler, const char *ref, FtJobEnd end, gint64 age_us, gint64 now);
/* The cloud's machine types have changed. Keeps a reference of its own. */
void ft_scheduler_set_catalog (FtScheduler *scheduler, FtCatalog *catalog);

/* An open job's progress. `known`: the job is open here; if not, the rest is 0. */
typedef struct {
  gboolean known, cancelled;
  guint done, running; /* tasks */
} FtJobProgress;
/* How far the job of that ref is. */
FtJobProgress ft_scheduler_job_progress (const FtScheduler *scheduler, const char *ref);

/* ---- workers ---- */
/* A heartbeat to us. The answer carries ft_scheduler_answer()'s commands. Returns
 * FALSE if the heartbeat shows a higher token: the caller must step down. */
gboolean ft_scheduler_heartbeat (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now);
/* Whether the lease is valid now; kept until the next such call, place or tick. */
void ft_scheduler_set_may_start (FtScheduler *scheduler, gboolean may_start);
/* The commands for the answer to this heartbeat. `starts`: the lease allows it. */
GArray *ft_scheduler_answer (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now);

/* The next request to send, or NULL. */
FtDirectRequest *ft_scheduler_next_direct (FtScheduler *scheduler, gint64 now);
/* `heartbeat` may be NULL. Returns FALSE if a higher token was seen. */
gboolean ft_scheduler_direct_done (FtScheduler *scheduler, const FtDirectRequest *direct, FtDirectResult result,
                                   const FtWorkerHeartbeat *heartbeat, gint64 now);

/* ---- cloud ---- */
void ft_scheduler_machines_listed (FtScheduler *scheduler, GArray *list, gint64 now);
/* The next request to the cloud, or NULL. */
FtCloudCall *ft_scheduler_next_cloud (FtScheduler *scheduler, gint64 now);
/* For a launch that went through, `call->names` are the machines. A call that
 * failed is to be repeated by the caller of ft_scheduler_next_cloud(). */
void ft_scheduler_cloud_done (FtScheduler *scheduler, const FtCloudCall *call, FtCloudResult result, gint64 now);

/* ---- store ---- */
/* Writes (FtWrite) for one transaction of at most `ops` changes; empty if none is due. `spare`: the
 * store takes more changes than are urgent, so that what can wait may be written too.
 * Each batch ends with one of the two calls below before the next is requested. */
GPtrArray *ft_scheduler_next_writes (FtScheduler *scheduler, guint ops, gboolean spare, gint64 now);
/* The batch is committed. May end jobs. */
void ft_scheduler_writes_committed (FtScheduler *scheduler, GPtrArray *writes, gint64 now);
/* Nothing of the batch is committed; all of it will be returned again. `conflicted` names the job whose
 * row is not at the revision that the write was conditional on, or is NULL: its row is to be read, and
 * reported by one of the two calls below. */
void ft_scheduler_writes_failed (FtScheduler *scheduler, GPtrArray *writes, const char *conflicted, gint64 now);
/* The row of a conflicted job says that it is open, at this revision: neither done nor cancelled. */
void ft_scheduler_job_still_open (FtScheduler *scheduler, const char *ref, guint64 revision, gint64 now);
/* The row of a conflicted job says that it is done, or else cancelled; either is final. */
void ft_scheduler_job_conflict_resolved (FtScheduler *scheduler, const char *ref, gboolean done, gint64 now);
/* The store has refused a batch as invalid: its values may be above a limit that has changed. Rows of
 * the registry are written at half the size from now on. */
void ft_scheduler_lower_value_limit (FtScheduler *scheduler);

/* ---- time ---- */
/* Timeouts, placement and fleet; to be called at regular intervals. `may_start`: the lease is valid now. */
void ft_scheduler_tick (FtScheduler *scheduler, gint64 now, gboolean may_start);
/* Runs a placement pass if anything has changed and the last pass is a while ago. */
void ft_scheduler_place (FtScheduler *scheduler, gint64 now, gboolean may_start);
/* Advisory: a peer reports that the job is cancelled. Its tasks are stopped; the job's rows stay
 * until the cancellation is read. */
void ft_scheduler_cancellation_advised (FtScheduler *scheduler, const char *ref, gint64 now);
/* All cancellations committed before `at` have been passed to ft_scheduler_job_cancelled(). */
void ft_scheduler_cancellations_known (FtScheduler *scheduler, gint64 at);
/* This controller answers no heartbeats now: that none comes proves nothing. */
void ft_scheduler_not_answering (FtScheduler *scheduler, gint64 now);
/* This controller is behind with its heartbeats: silence up to now proves nothing. */
void ft_scheduler_was_late (FtScheduler *scheduler, gint64 now);
/* When a worker last showed our token; 0: none has yet. */
gint64 ft_scheduler_last_heartbeat_at (const FtScheduler *scheduler);
/* Machines, jobs and attempts looked at so far, in whatever is done for heartbeats. */
guint ft_scheduler_examined (const FtScheduler *scheduler);
/* Tasks of all open jobs. */
guint ft_scheduler_open_tasks (const FtScheduler *scheduler);
/* Machines that should be reporting. */
guint ft_scheduler_count_expected_machines (const FtScheduler *scheduler);

/* ---- for operators and the peers ---- */
/* An open job as operators see it; all borrowed. */
typedef struct {
  const char *ref, *job_class, *state;
  guint tasks, done, running;
  const char *why_waiting; /* empty: nothing of it waits */
} FtJobInfo;
typedef void (*FtJobVisitor) (const FtJobInfo *job, gpointer data);
/* Visits all open jobs, in no order. */
void ft_scheduler_each_job (FtScheduler *scheduler, FtJobVisitor visit, gpointer data);
/* Refs of the job's dependencies that are not done: new, NULL-terminated. */
GStrv ft_scheduler_job_dependencies (const FtScheduler *scheduler, const char *ref);
/* Refs of the jobs that depend on the job: new, NULL-terminated. */
GStrv ft_scheduler_job_dependents (const FtScheduler *scheduler, const char *ref);
/* Jobs that are known to be open, and of them those that wait for dependencies. */
void ft_scheduler_count_jobs (const FtScheduler *scheduler, guint *open, guint *waiting);
typedef void (*FtMachineVisitor) (const char *name, const char *state, const char *type, const char *zone,
                                  gboolean spot, guint64 incarnation, guint tasks, const char *unused_why,
                                  gpointer data);
/* Visits all machines that are known, in no order. */
void ft_scheduler_each_machine (FtScheduler *scheduler, FtMachineVisitor visit, gpointer data);
typedef void (*FtTeamVisitor) (const FtTeamLimit *limit, double cpus, double gpus, gpointer data);
/* Visits all teams of the settings, with what they use now. */
void ft_scheduler_each_team (FtScheduler *scheduler, FtTeamVisitor visit, gpointer data);
/* Whether a machine of that name is known. */
gboolean ft_scheduler_has_machine (const FtScheduler *scheduler, const char *machine);
/* Remembered by name, also for a machine not known yet. FALSE: not known now. */
gboolean ft_scheduler_drain (FtScheduler *scheduler, const char *machine, gboolean drain);
