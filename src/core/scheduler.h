/* The leader's scheduler: takes events with their times, and returns actions. It does no I/O.
 *
 * The scheduler is the facade of the core. It owns the core's modules, sets the time of each event and passes the
 * event to the modules that it concerns. The node (src/net) calls it and does the I/O: the node passes in rows,
 * heartbeats and results, and requests the next write, direct request or cloud call.
 *
 * A scheduler exists for one leadership. It is freed, with everything that is not written, when the lease is lost or a
 * higher fencing token is seen. `now` is in microseconds of the steady clock, `wall_ms` in milliseconds of the time of
 * day. Unless a comment says otherwise, the caller keeps the ownership of the strings and arrays that it passes. */
#pragma once
#include "core/cloud_call.h"
#include "core/direct_command.h"
#include "core/tuning.h"
#include "core/types.h"
#include "core/worker_token.h"
#include "core/write.h"

typedef struct _FtScheduler FtScheduler;

/* Returns a new scheduler; free it with ft_scheduler_free(). `settings` is borrowed and must outlive it. It keeps a
 * reference of its own to `catalog`. `tokens` are the worker tokens of this leadership, the last of which is its
 * fencing token. `answer_grace_us`: see ft_lease_new(). `seed` seeds all random choices. */
FtScheduler *ft_scheduler_new (const FtSettings *settings, FtCatalog *catalog, FtWorkerTokenRange tokens,
                               gint64 answer_grace_us, gint64 now, guint32 seed);
/* Frees the scheduler with everything that is not written; NULL is ignored. */
void ft_scheduler_free (FtScheduler *scheduler);
G_DEFINE_AUTOPTR_CLEANUP_FUNC (FtScheduler, ft_scheduler_free)

/* Sets the operators' settings; `tuning` is copied. */
void ft_scheduler_set_tuning (FtScheduler *scheduler, const FtTuning *tuning);

/* ---- recovery: the rows of the store, then ft_scheduler_loaded() ---- */
/* Adds an open job from its row, which was read at `revision`. Takes ownership of the spec. */
void ft_scheduler_load_job (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms);
/* Adds a chunk of a job's done-set; to be called after ft_scheduler_load_job() for the job. */
void ft_scheduler_load_done (FtScheduler *scheduler, const char *ref, guint chunk, const char *bits);
/* Adds a machine that the registry row `row` names. */
void ft_scheduler_load_machine (FtScheduler *scheduler, const char *row, const char *name, const char *addr,
                                const char *type, const char *zone, gboolean spot);
/* All rows have been read: from now on heartbeats are processed and writes are due. */
void ft_scheduler_loaded (FtScheduler *scheduler, gint64 now);
/* Returns TRUE once ft_scheduler_loaded() has been called. */
gboolean ft_scheduler_is_loaded (const FtScheduler *scheduler);

/* ---- jobs ---- */
/* Adds a job that was accepted after the failover. Takes ownership of the spec. */
void ft_scheduler_job_added (FtScheduler *scheduler, FtJobSpec *spec, guint64 revision, gint64 now, gint64 wall_ms);
/* The row of the job's cancellation was read. `age_us`: time since the cancellation was committed, in microseconds. */
void ft_scheduler_job_cancelled (FtScheduler *scheduler, const char *ref, gint64 age_us, gint64 now);
/* Returns the ref of a job that other jobs depend on and whose row is to be read now, because this leader knows neither
 * the job nor its end. The caller reports an end that it reads by ft_scheduler_job_end_read(). The ref is borrowed
 * until the next call; NULL: no row is to be read now. */
const char *ft_scheduler_next_unread_job (FtScheduler *scheduler, gint64 now);
/* The row of the job shows that the job has ended. `age_us`: time since then, in microseconds; negative: unknown. */
void ft_scheduler_job_end_read (FtScheduler *scheduler, const char *ref, FtJobEnd end, gint64 age_us, gint64 now);
/* Replaces the catalog of the cloud's machine types. The scheduler keeps a reference of its own. */
void ft_scheduler_set_catalog (FtScheduler *scheduler, FtCatalog *catalog);

/* The progress of an open job. */
typedef struct {
  gboolean open_at_leader; /* the job is open at this leader; if it is not, all other fields are 0 */
  gboolean cancelled;
  guint done, running; /* number of tasks */
} FtJobProgress;
/* Returns the progress of the job `ref`. */
FtJobProgress ft_scheduler_job_progress (const FtScheduler *scheduler, const char *ref);

/* ---- workers ---- */
/* A worker has sent a heartbeat to this leader. The caller answers it as ft_scheduler_answer() says, and steps down if
 * the function returns FT_HEARTBEAT_SUPERSEDED. */
FtHeartbeatOutcome ft_scheduler_heartbeat (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now);
/* Sets whether tasks may be started, that is, whether the lease is valid. The value holds until the next call of this
 * function, ft_scheduler_place() or ft_scheduler_tick(). */
void ft_scheduler_set_may_start (FtScheduler *scheduler, gboolean may_start);
/* Returns the commands (FtCommand) for the answer to this heartbeat; the caller frees the array. NULL: the heartbeat
 * must not be answered with status 200, which would renew the worker's lease. The commands contain starts only if
 * ft_scheduler_set_may_start() allows them. `token` (out, may be NULL) is the worker token that the
 * answer carries. */
GArray *ft_scheduler_answer (FtScheduler *scheduler, const FtWorkerHeartbeat *heartbeat, gint64 now, guint64 *token);

/* Returns the next command or probe to send to a worker, which the caller frees; NULL: there is none. */
FtDirectRequest *ft_scheduler_next_direct_request (FtScheduler *scheduler, gint64 now);
/* A direct request has ended. `heartbeat`: the status in the worker's answer; may be NULL. Returns FALSE if the status
 * shows a higher token: the caller must step down. */
gboolean ft_scheduler_direct_request_done (FtScheduler *scheduler, const FtDirectRequest *direct, FtDirectResult result,
                                           const FtWorkerHeartbeat *heartbeat, gint64 now);

/* ---- cloud ---- */
/* The cloud has answered with its complete list of machines (FtListedMachine). */
void ft_scheduler_machines_listed (FtScheduler *scheduler, GArray *list, gint64 now);
/* Returns the next call to the cloud, which the caller frees; NULL: there is none. */
FtCloudCall *ft_scheduler_next_cloud (FtScheduler *scheduler, gint64 now);
/* A call to the cloud has ended. After a successful launch, `call->names` are the launched machines. The scheduler
 * returns a failed call again from ft_scheduler_next_cloud(), after a pause. */
void ft_scheduler_cloud_done (FtScheduler *scheduler, const FtCloudCall *call, FtCloudResult result, gint64 now);

/* ---- store ---- */
/* Returns the writes (FtWrite) for one transaction of at most `ops` changes, which the caller frees; the array is empty
 * if no write is due. `spare`: the store takes more changes than the urgent ones, so that the batch may contain writes
 * that can wait. The caller ends each batch with one of the two calls below before it requests the next batch. */
GPtrArray *ft_scheduler_next_writes (FtScheduler *scheduler, guint ops, gboolean spare, gint64 now);
/* The batch is committed. The call may end jobs. */
void ft_scheduler_writes_committed (FtScheduler *scheduler, GPtrArray *writes, gint64 now);
/* Nothing of the batch is committed; later batches contain its writes again. `conflicted` is the ref of the job whose
 * row is not at the revision that the write was conditional on, or NULL. The caller reads the row of that job and
 * reports the result by one of the two calls below. */
void ft_scheduler_writes_failed (FtScheduler *scheduler, GPtrArray *writes, const char *conflicted, gint64 now);
/* The row of a conflicted job shows at `revision` that the job is open, that is, neither done nor cancelled. */
void ft_scheduler_job_still_open (FtScheduler *scheduler, const char *ref, guint64 revision, gint64 now);
/* The row of a conflicted job shows that the job is done (`done` is TRUE) or cancelled; both are final. */
void ft_scheduler_job_conflict_resolved (FtScheduler *scheduler, const char *ref, gboolean done, gint64 now);
/* The store has refused a batch as invalid: its limit on the size of a value may have become lower. From now on, rows
 * of the registry are written at half the size. */
void ft_scheduler_lower_value_limit (FtScheduler *scheduler);

/* ---- time ---- */
/* Processes timeouts, runs a placement pass and scales the fleet; to be called at regular intervals. `may_start`: the
 * lease is valid now. */
void ft_scheduler_tick (FtScheduler *scheduler, gint64 now, gboolean may_start);
/* Runs a placement pass if one is due and FT_PASS_EVERY_S have passed since the last one. `may_start`: the lease is
 * valid now. */
void ft_scheduler_place (FtScheduler *scheduler, gint64 now, gboolean may_start);
/* A peer reports that the job is cancelled. The report is advisory: the job's tasks are stopped, but its rows stay
 * until the cancellation is read from the store. */
void ft_scheduler_advisory_cancellation (FtScheduler *scheduler, const char *ref, gint64 now);
/* All cancellations that were committed before `at` have been passed to ft_scheduler_job_cancelled(). */
void ft_scheduler_set_cancellations_known_until (FtScheduler *scheduler, gint64 at);
/* This controller does not answer heartbeats at present, so that missing heartbeats prove nothing about a machine. */
void ft_scheduler_not_answering (FtScheduler *scheduler, gint64 now);
/* This controller was late in processing heartbeats, so that the silence of a machine up to `now` proves nothing. */
void ft_scheduler_was_late (FtScheduler *scheduler, gint64 now);
/* Returns the time of the last heartbeat that showed the token of this leadership; 0: there was none. */
gint64 ft_scheduler_last_heartbeat_at (const FtScheduler *scheduler);
/* Returns the number of machines, jobs and attempts that the core has examined so far. Tests use it to bound the work
 * that an event causes. */
guint ft_scheduler_examined (const FtScheduler *scheduler);
/* Returns the number of tasks of all open jobs. */
guint ft_scheduler_open_tasks (const FtScheduler *scheduler);
/* Returns the number of machines that should be sending heartbeats. */
guint ft_scheduler_count_expected_machines (const FtScheduler *scheduler);

/* ---- for operators and the peers ---- */
/* An open job as operators see it; all strings are borrowed. */
typedef struct {
  const char *ref, *job_class, *state;
  guint tasks, done, running;
  const char *why_waiting; /* empty: no task of the job waits */
} FtJobInfo;
typedef void (*FtJobVisitor) (const FtJobInfo *job, gpointer data);
/* Calls `visit` for each open job, in no particular order. */
void ft_scheduler_each_job (FtScheduler *scheduler, FtJobVisitor visit, gpointer data);
/* Returns the refs of the job's dependencies that are not done, in a new NULL-terminated array. */
GStrv ft_scheduler_job_dependencies (const FtScheduler *scheduler, const char *ref);
/* Returns the refs of the jobs that depend on the job, in a new NULL-terminated array. */
GStrv ft_scheduler_job_dependents (const FtScheduler *scheduler, const char *ref);
/* Counts the open jobs that are not being cancelled, and those among them that wait for dependencies. */
void ft_scheduler_count_jobs (const FtScheduler *scheduler, guint *open, guint *waiting);
/* The machines that are up, as operators see them. */
typedef struct {
  guint up;          /* machines whose heartbeats arrive */
  guint unused;      /* of those, machines that may get no new work */
  guint quarantined; /* of those, machines that are quarantined */
  guint overdue;     /* machines in any state that may run tasks cancelled over half of cancel_s ago */
} FtMachineCounts;
/* Counts the machines by what operators have to know of them. */
FtMachineCounts ft_scheduler_count_machines (const FtScheduler *scheduler);
/* The strings are borrowed. `unused_why`: why the machine gets no new tasks; empty: it may get some. */
typedef void (*FtMachineVisitor) (const char *name, const char *state, const char *type, const char *zone,
                                  gboolean spot, guint64 incarnation, guint tasks, const char *unused_why,
                                  gpointer data);
/* Calls `visit` for each known machine, in no particular order. */
void ft_scheduler_each_machine (FtScheduler *scheduler, FtMachineVisitor visit, gpointer data);
/* `cpus` and `gpus`: what the team uses now. `limit` is borrowed. */
typedef void (*FtTeamVisitor) (const FtTeamLimit *limit, double cpus, double gpus, gpointer data);
/* Calls `visit` for each team of the settings. */
void ft_scheduler_each_team (FtScheduler *scheduler, FtTeamVisitor visit, gpointer data);
/* Returns TRUE if a machine of that name is known. */
gboolean ft_scheduler_has_machine (const FtScheduler *scheduler, const char *machine);
/* Drains the machine, or ends its drain. The name is stored, so that the drain also holds for a machine that becomes
 * known later. Returns FALSE if no machine of that name is known now. */
gboolean ft_scheduler_drain (FtScheduler *scheduler, const char *machine, gboolean drain);
